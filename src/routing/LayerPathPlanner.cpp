#include "routing/LayerPathPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace parsleyring {

static constexpr double UnreachableCost =
    std::numeric_limits<double>::infinity();

// Each stage of a path waits for the forward pass that its engine is running.
static constexpr double StageMilliseconds = 20;
// Penalties that keep a path inside the failure domain of its request unless
// the domain has no whole path left, and else inside another one: each crossing
// sends the state of all prompt tokens over a connection that all requests
// share, and a path over two domains fails if either is lost. A path that lies
// in another domain as a whole sends only the request and the events.
static constexpr double DomainEntryMilliseconds = 600;
static constexpr double DomainCrossingMilliseconds = 1500;
// Callers notice the time to the first event and the pauses between events. The
// time to the last event counts less: it only keeps memory in use.
static constexpr double StepTimeWeight = 0.6;
// Penalties that spread the use of memory and of slots evenly. An engine whose
// memory is full preempts its newest requests, and one without a free slot
// makes requests wait for the end of another one.
static constexpr double FillMilliseconds = 600;
static constexpr double FullShare = 0.92;
static constexpr double FullMilliseconds = 2500;

double LayerPathPlanner::cacheCapacity(const EngineModel &Model,
                                       const CardKind &Card,
                                       LayerRange Layers) {
  double FreeMegabytes =
      Card.m_MemoryMegabytes -
      Model.m_LayerMegabytes * (Layers.m_End - Layers.m_First);
  return std::max(0.0, FreeMegabytes) * 1e6 /
         (Model.m_CacheBytesPerToken / Model.m_Layers);
}

double LayerPathPlanner::memoryFill(const EngineModel &Model,
                                    const FleetEndpoint &Endpoint,
                                    double LoadFactor, double Tokens) {
  const LayerRange &HeldLayers = Endpoint.m_Entry.m_Layers;
  const CardKind *Card = Model.cardKind(Endpoint.m_Entry.m_CardKind);
  double Capacity = Card ? cacheCapacity(Model, *Card, HeldLayers) : 0;
  double UsedCapacity =
      (Endpoint.m_Tokens + Endpoint.m_PeerTokens) * LoadFactor +
      Tokens * (HeldLayers.m_End - HeldLayers.m_First);
  return Capacity > 0 ? UsedCapacity / Capacity : 1;
}

double LayerPathPlanner::slotFill(const FleetEndpoint &Endpoint,
                                  double LoadFactor) {
  if (Endpoint.m_Entry.m_Slots == 0)
    return 0;
  double Running =
      (Endpoint.m_RunningAsFirst + Endpoint.m_PeerRunningAsFirst) * LoadFactor;
  return (Running + 1) / Endpoint.m_Entry.m_Slots;
}

static double fillPenalty(double Fill) {
  double Penalty = FillMilliseconds * Fill * Fill;
  if (Fill >= FullShare)
    Penalty += FullMilliseconds * (1 + Fill - FullShare);
  return Penalty;
}

namespace {

/// An endpoint that may be used, with its cost per layer.
struct Candidate {
  FleetTable::Handle m_Endpoint;
  std::size_t m_Domain = 0;
  double m_MillisecondsPerLayer = 0;
  bool m_MayBeFirst = true;
};

/// The cheapest path to a layer boundary whose last endpoint is in one failure
/// domain.
struct PartialPath {
  double m_Cost = UnreachableCost;
  std::size_t m_FromBoundary = 0;
  std::size_t m_FromDomain = 0;
  const Candidate *m_LastCandidate = nullptr;
};

class PathSearch {
public:
  PathSearch(const EngineModel &Model,
             const std::vector<FleetTable::Handle> &Endpoints,
             const PathQuery &Query, Time Now);

  /// With UsesWholeRanges, each endpoint is used up to the end of its range.
  LayerPath run(bool UsesWholeRanges);

private:
  std::size_t domainIndex(const std::string &Name);
  double costPerLayer(const FleetEndpoint &Endpoint,
                      const CardKind &Card) const;
  double domainCrossingCost() const;
  bool isClosed(std::size_t From, std::size_t To) const;
  void extend(std::size_t Boundary, std::size_t Domain, bool UsesWholeRanges);
  LayerPath trace(std::size_t Domain) const;

  const EngineModel &m_Model;
  const PathQuery &m_Query;
  const Time m_Now;
  std::vector<std::string> m_Domains;
  std::vector<Candidate> m_Candidates;
  std::vector<std::uint32_t> m_Boundaries;
  /// By boundary and domain.
  std::vector<std::vector<PartialPath>> m_PartialPaths;
};

} // namespace

static bool contains(const std::vector<FleetTable::Handle> &Endpoints,
                     const FleetTable::Handle &Endpoint) {
  return std::find(Endpoints.begin(), Endpoints.end(), Endpoint) !=
         Endpoints.end();
}

PathSearch::PathSearch(const EngineModel &Model,
                       const std::vector<FleetTable::Handle> &Endpoints,
                       const PathQuery &Query, Time Now)
    : m_Model(Model), m_Query(Query), m_Now(Now) {
  domainIndex(Query.m_FailureDomain);
  std::set<std::uint32_t> Boundaries{Query.m_Layers.m_First,
                                     Query.m_Layers.m_End};
  auto AddBoundary = [&](std::uint32_t Layer) {
    if (Layer > Query.m_Layers.m_First && Layer < Query.m_Layers.m_End)
      Boundaries.insert(Layer);
  };
  for (const FleetTable::Handle &Endpoint : Endpoints) {
    const EndpointEntry &Entry = Endpoint->m_Entry;
    const CardKind *Card = Model.cardKind(Entry.m_CardKind);
    bool IsExcluded = contains(Query.m_Excluded, Endpoint);
    if (!Card || IsExcluded || !Endpoint->canServe(Now) ||
        Entry.m_Layers.m_End <= Entry.m_Layers.m_First)
      continue;
    m_Candidates.push_back({Endpoint, domainIndex(Entry.m_FailureDomain),
                            costPerLayer(*Endpoint, *Card),
                            !contains(Query.m_NotFirst, Endpoint)});
    AddBoundary(Entry.m_Layers.m_First);
    AddBoundary(Entry.m_Layers.m_End);
  }
  m_Boundaries.assign(Boundaries.begin(), Boundaries.end());
  if (Query.m_NextEndpoint)
    domainIndex(Query.m_NextEndpoint->m_Entry.m_FailureDomain);
}

std::size_t PathSearch::domainIndex(const std::string &Name) {
  auto Found = std::find(m_Domains.begin(), m_Domains.end(), Name);
  if (Found != m_Domains.end())
    return Found - m_Domains.begin();
  m_Domains.push_back(Name);
  return m_Domains.size() - 1;
}

double PathSearch::costPerLayer(const FleetEndpoint &Endpoint,
                                const CardKind &Card) const {
  // Squared, because the queue of a slow engine also shrinks more slowly.
  double SlowdownFactor = std::pow(std::max(1.0, Endpoint.pace(m_Now)), 2);
  double Running =
      (Endpoint.m_Running + Endpoint.m_PeerRunning) * m_Query.m_LoadFactor;
  double Step = (m_Model.m_StepMilliseconds +
                 m_Model.m_StepMillisecondsPerSequence * (Running + 1)) *
                Card.m_StepFactor * SlowdownFactor;
  double Prefill = m_Query.m_PromptTokens /
                   m_Model.m_PrefillTokensPerMillisecond *
                   Card.m_PrefillFactor * SlowdownFactor;
  double Compute = StepTimeWeight * Step * m_Query.m_AnswerTokens + Prefill;
  double Fill = LayerPathPlanner::memoryFill(
      m_Model, Endpoint, m_Query.m_LoadFactor,
      m_Query.m_PromptTokens + m_Query.m_AnswerTokens);
  double Layers =
      Endpoint.m_Entry.m_Layers.m_End - Endpoint.m_Entry.m_Layers.m_First;
  return (Compute / m_Model.m_Layers + fillPenalty(Fill) / Layers) *
         (1 + 4 * Endpoint.failureRate(m_Now));
}

double PathSearch::domainCrossingCost() const {
  double Megabits =
      m_Query.m_PromptTokens * m_Model.m_ActivationBytesPerToken * 8 / 1e6;
  double Transfer = m_Model.m_PipeMegabitsPerSecond > 0
                        ? Megabits / m_Model.m_PipeMegabitsPerSecond * 1000
                        : 0;
  return DomainCrossingMilliseconds + Transfer;
}

bool PathSearch::isClosed(std::size_t From, std::size_t To) const {
  return std::find(m_Query.m_ClosedLinks.begin(), m_Query.m_ClosedLinks.end(),
                   DomainLink(m_Domains[From], m_Domains[To])) !=
         m_Query.m_ClosedLinks.end();
}

void PathSearch::extend(std::size_t Boundary, std::size_t Domain,
                        bool UsesWholeRanges) {
  const double CostSoFar = m_PartialPaths[Boundary][Domain].m_Cost;
  const std::uint32_t First = m_Boundaries[Boundary];
  for (const Candidate &Next : m_Candidates) {
    const LayerRange &HeldLayers = Next.m_Endpoint->m_Entry.m_Layers;
    if (HeldLayers.m_First > First || HeldLayers.m_End <= First ||
        (First == 0 && !Next.m_MayBeFirst))
      continue;
    double Cost = CostSoFar + StageMilliseconds;
    // A section of a path joins a request that already has its slot.
    if (First == 0)
      Cost += fillPenalty(
          LayerPathPlanner::slotFill(*Next.m_Endpoint, m_Query.m_LoadFactor));
    if (First > 0 && Next.m_Domain != Domain && isClosed(Domain, Next.m_Domain))
      continue;
    if (Next.m_Domain != Domain)
      Cost += First == 0 ? DomainEntryMilliseconds : domainCrossingCost();
    for (std::size_t End = Boundary + 1;
         End < m_Boundaries.size() && m_Boundaries[End] <= HeldLayers.m_End;
         ++End) {
      bool IsRangeEnd = End + 1 == m_Boundaries.size() ||
                        m_Boundaries[End + 1] > HeldLayers.m_End;
      if (UsesWholeRanges && !IsRangeEnd)
        continue;
      double Total =
          Cost + Next.m_MillisecondsPerLayer * (m_Boundaries[End] - First);
      PartialPath &Cheapest = m_PartialPaths[End][Next.m_Domain];
      if (Total < Cheapest.m_Cost)
        Cheapest = {Total, Boundary, Domain, &Next};
    }
  }
}

LayerPath PathSearch::trace(std::size_t Domain) const {
  LayerPath Path;
  std::size_t Boundary = m_Boundaries.size() - 1;
  while (Boundary > 0) {
    const PartialPath &Step = m_PartialPaths[Boundary][Domain];
    Path.push_back(
        {Step.m_LastCandidate->m_Endpoint,
         {m_Boundaries[Step.m_FromBoundary], m_Boundaries[Boundary]}});
    Domain = Step.m_FromDomain;
    Boundary = Step.m_FromBoundary;
  }
  std::reverse(Path.begin(), Path.end());
  return Path;
}

LayerPath PathSearch::run(bool UsesWholeRanges) {
  m_PartialPaths.assign(m_Boundaries.size(),
                        std::vector<PartialPath>(m_Domains.size()));
  m_PartialPaths[0][0].m_Cost = 0;
  for (std::size_t Boundary = 0; Boundary + 1 < m_Boundaries.size(); ++Boundary)
    for (std::size_t Domain = 0; Domain < m_Domains.size(); ++Domain)
      if (m_PartialPaths[Boundary][Domain].m_Cost < UnreachableCost)
        extend(Boundary, Domain, UsesWholeRanges);
  std::size_t Best = 0;
  double BestCost = UnreachableCost;
  for (std::size_t Domain = 0; Domain < m_Domains.size(); ++Domain) {
    double Cost = m_PartialPaths.back()[Domain].m_Cost;
    if (m_Query.m_NextEndpoint &&
        m_Query.m_NextEndpoint->m_Entry.m_FailureDomain != m_Domains[Domain])
      Cost +=
          isClosed(Domain,
                   domainIndex(m_Query.m_NextEndpoint->m_Entry.m_FailureDomain))
              ? UnreachableCost
              : domainCrossingCost();
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = Domain;
    }
  }
  return BestCost < UnreachableCost ? trace(Best) : LayerPath();
}

std::vector<DomainLink> linkCrossings(const LayerPath &Path,
                                      const std::string &FromDomain,
                                      const FleetTable::Handle &NextEndpoint) {
  std::vector<DomainLink> Crossings;
  std::string Last = FromDomain;
  auto Enter = [&](const std::string &Domain) {
    if (!Last.empty() && Last != Domain)
      Crossings.emplace_back(Last, Domain);
    Last = Domain;
  };
  for (const PathStage &Part : Path)
    Enter(Part.m_Endpoint->m_Entry.m_FailureDomain);
  if (NextEndpoint)
    Enter(NextEndpoint->m_Entry.m_FailureDomain);
  return Crossings;
}

static bool hasRepeatedEndpoint(const LayerPath &Path) {
  std::set<const FleetEndpoint *> Seen;
  for (const PathStage &Part : Path)
    if (!Seen.insert(Part.m_Endpoint.get()).second)
      return true;
  return false;
}

LayerPath
LayerPathPlanner::plan(const EngineModel &Model,
                       const std::vector<FleetTable::Handle> &Endpoints,
                       const PathQuery &Query, Time Now) {
  PathSearch Search(Model, Endpoints, Query, Now);
  LayerPath Path = Search.run(false);
  // The search remembers only the last endpoint of each partial path, so a path
  // can return to an endpoint whose range it left early. A path that uses each
  // endpoint up to the end of its range cannot.
  if (hasRepeatedEndpoint(Path))
    Path = Search.run(true);
  return Path;
}

std::optional<Time>
LayerPathPlanner::restEnd(const EngineModel &Model,
                          const std::vector<FleetTable::Handle> &Endpoints,
                          const PathQuery &Query, Time Now) {
  bool HasResting = false;
  // Times at which an endpoint becomes available, and whether it rests until
  // then.
  std::map<Time, bool> Returns;
  for (const FleetTable::Handle &Endpoint : Endpoints) {
    EndpointAvailability Availability = Endpoint->availability(Now);
    bool IsResting = Availability == EndpointAvailability::Resting;
    HasResting = HasResting || IsResting;
    if (IsResting || Availability == EndpointAvailability::Suspect)
      Returns[Endpoint->availableAt()] |= IsResting;
  }
  if (!HasResting || !plan(Model, Endpoints, Query, Now).empty())
    return std::nullopt;
  // Endpoints only become available with time, so the first time with a path
  // is found by bisection.
  std::vector<std::pair<Time, bool>> Sorted(Returns.begin(), Returns.end());
  auto First = std::partition_point(
      Sorted.begin(), Sorted.end(), [&](const std::pair<Time, bool> &Return) {
        return plan(Model, Endpoints, Query, Return.first).empty();
      });
  if (First == Sorted.end() || !First->second)
    return std::nullopt;
  return First->first;
}

} // namespace parsleyring
