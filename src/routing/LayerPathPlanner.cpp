#include "routing/LayerPathPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace parsleyring {

static constexpr double Unreachable = std::numeric_limits<double>::infinity();

// Each part waits for the pass that its engine is in.
static constexpr double PartMilliseconds = 20;
// Keeps paths inside a failure domain unless it has no whole path left: the
// connection between failure domains is shared by all requests, and a path
// over two of them is exposed to the loss of either.
static constexpr double CrossingMilliseconds = 600;
// Callers see the time to the first event and the pauses between events. The
// time to the last event counts less: it keeps memory in use.
static constexpr double StepTimeWeight = 0.6;
// Memory binds before arithmetic, so it is spread evenly: an engine whose
// memory is full preempts its newest requests.
static constexpr double FillMilliseconds = 600;
static constexpr double FullShare = 0.92;
static constexpr double FullMilliseconds = 2500;

double LayerPathPlanner::cacheCapacity(const EngineModel &Model,
                                       const CardKind &Card,
                                       LayerRange Layers) {
  double Free = Card.m_MemoryMegabytes -
                Model.m_LayerMegabytes * (Layers.m_End - Layers.m_First);
  return std::max(0.0, Free) * 1e6 /
         (Model.m_CacheBytesPerToken / Model.m_Layers);
}

double LayerPathPlanner::memoryFill(const EngineModel &Model,
                                    const FleetEndpoint &Endpoint,
                                    double LoadFactor, double Tokens) {
  const LayerRange &Held = Endpoint.m_Entry.m_Layers;
  const CardKind *Card = Model.cardKind(Endpoint.m_Entry.m_CardKind);
  double Capacity = Card ? cacheCapacity(Model, *Card, Held) : 0;
  double Used = (Endpoint.m_Tokens + Endpoint.m_PeerTokens) * LoadFactor +
                Tokens * (Held.m_End - Held.m_First);
  return Capacity > 0 ? Used / Capacity : 1;
}

namespace {

/// An endpoint that may take a part, with its cost for one layer.
struct Candidate {
  FleetTable::Handle m_Endpoint;
  std::size_t m_Domain = 0;
  double m_MillisecondsPerLayer = 0;
};

/// The cheapest way to a layer that ends in a failure domain.
struct Reached {
  double m_Cost = Unreachable;
  std::size_t m_FromBoundary = 0;
  std::size_t m_FromDomain = 0;
  const Candidate *m_Last = nullptr;
};

class PathSearch {
public:
  PathSearch(const EngineModel &Model,
             const std::vector<FleetTable::Handle> &Endpoints,
             const PathDemand &Demand, Time Now);

  /// With IsWholeRange, an endpoint is used up to the end of its range.
  LayerPath run(bool IsWholeRange);

private:
  std::size_t domainIndex(const std::string &Name);
  double costPerLayer(const FleetEndpoint &Endpoint,
                      const CardKind &Card) const;
  double crossingCost() const;
  void extend(std::size_t Boundary, std::size_t Domain, bool IsWholeRange);
  LayerPath trace(std::size_t Domain) const;

  const EngineModel &m_Model;
  const PathDemand &m_Demand;
  const Time m_Now;
  std::vector<std::string> m_Domains;
  std::vector<Candidate> m_Candidates;
  std::vector<std::uint32_t> m_Boundaries;
  std::vector<std::vector<Reached>> m_Reached; ///< By boundary and domain.
};

} // namespace

PathSearch::PathSearch(const EngineModel &Model,
                       const std::vector<FleetTable::Handle> &Endpoints,
                       const PathDemand &Demand, Time Now)
    : m_Model(Model), m_Demand(Demand), m_Now(Now) {
  domainIndex(Demand.m_FailureDomain);
  std::set<std::uint32_t> Boundaries{Demand.m_Layers.m_First,
                                     Demand.m_Layers.m_End};
  auto NoteBoundary = [&](std::uint32_t Layer) {
    if (Layer > Demand.m_Layers.m_First && Layer < Demand.m_Layers.m_End)
      Boundaries.insert(Layer);
  };
  for (const FleetTable::Handle &Endpoint : Endpoints) {
    const EndpointEntry &Entry = Endpoint->m_Entry;
    const CardKind *Card = Model.cardKind(Entry.m_CardKind);
    bool IsExcluded =
        std::find(Demand.m_Excluded.begin(), Demand.m_Excluded.end(),
                  Endpoint) != Demand.m_Excluded.end();
    if (!Card || IsExcluded || !Endpoint->canServe(Now) ||
        Entry.m_Layers.m_End <= Entry.m_Layers.m_First)
      continue;
    m_Candidates.push_back({Endpoint, domainIndex(Entry.m_FailureDomain),
                            costPerLayer(*Endpoint, *Card)});
    NoteBoundary(Entry.m_Layers.m_First);
    NoteBoundary(Entry.m_Layers.m_End);
  }
  m_Boundaries.assign(Boundaries.begin(), Boundaries.end());
  if (Demand.m_Next)
    domainIndex(Demand.m_Next->m_Entry.m_FailureDomain);
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
  // A slow engine also works off less of what waits for it, so it is avoided
  // by more than its pace.
  double Pace = std::pow(std::max(1.0, Endpoint.pace(m_Now)), 2);
  double Running =
      (Endpoint.m_Running + Endpoint.m_PeerRunning) * m_Demand.m_LoadFactor;
  double Step = (m_Model.m_StepMilliseconds +
                 m_Model.m_StepMillisecondsPerSequence * (Running + 1)) *
                Card.m_StepFactor * Pace;
  double Read = m_Demand.m_PromptTokens /
                m_Model.m_PrefillTokensPerMillisecond * Card.m_PrefillFactor *
                Pace;
  double Busy = StepTimeWeight * Step * m_Demand.m_AnswerTokens + Read;
  double Fill = LayerPathPlanner::memoryFill(
      m_Model, Endpoint, m_Demand.m_LoadFactor,
      m_Demand.m_PromptTokens + m_Demand.m_AnswerTokens);
  double Layers =
      Endpoint.m_Entry.m_Layers.m_End - Endpoint.m_Entry.m_Layers.m_First;
  double Memory = FillMilliseconds * Fill * Fill;
  if (Fill >= FullShare)
    Memory += FullMilliseconds * (1 + Fill - FullShare);
  return (Busy / m_Model.m_Layers + Memory / Layers) *
         (1 + 4 * Endpoint.m_FailureRate);
}

double PathSearch::crossingCost() const {
  double Megabits =
      m_Demand.m_PromptTokens * m_Model.m_ActivationBytesPerToken * 8 / 1e6;
  double Transfer = m_Model.m_PipeMegabitsPerSecond > 0
                        ? Megabits / m_Model.m_PipeMegabitsPerSecond * 1000
                        : 0;
  return CrossingMilliseconds + Transfer;
}

void PathSearch::extend(std::size_t Boundary, std::size_t Domain,
                        bool IsWholeRange) {
  const double CostSoFar = m_Reached[Boundary][Domain].m_Cost;
  const std::uint32_t First = m_Boundaries[Boundary];
  for (const Candidate &Next : m_Candidates) {
    const LayerRange &Held = Next.m_Endpoint->m_Entry.m_Layers;
    if (Held.m_First > First || Held.m_End <= First)
      continue;
    double Cost = CostSoFar + PartMilliseconds;
    if (Next.m_Domain != Domain)
      Cost += crossingCost();
    for (std::size_t End = Boundary + 1;
         End < m_Boundaries.size() && m_Boundaries[End] <= Held.m_End; ++End) {
      bool IsRangeEnd =
          End + 1 == m_Boundaries.size() || m_Boundaries[End + 1] > Held.m_End;
      if (IsWholeRange && !IsRangeEnd)
        continue;
      double Total =
          Cost + Next.m_MillisecondsPerLayer * (m_Boundaries[End] - First);
      Reached &Target = m_Reached[End][Next.m_Domain];
      if (Total < Target.m_Cost)
        Target = {Total, Boundary, Domain, &Next};
    }
  }
}

LayerPath PathSearch::trace(std::size_t Domain) const {
  LayerPath Path;
  std::size_t Boundary = m_Boundaries.size() - 1;
  while (Boundary > 0) {
    const Reached &Step = m_Reached[Boundary][Domain];
    Path.push_back(
        {Step.m_Last->m_Endpoint,
         {m_Boundaries[Step.m_FromBoundary], m_Boundaries[Boundary]}});
    Domain = Step.m_FromDomain;
    Boundary = Step.m_FromBoundary;
  }
  std::reverse(Path.begin(), Path.end());
  return Path;
}

LayerPath PathSearch::run(bool IsWholeRange) {
  m_Reached.assign(m_Boundaries.size(), std::vector<Reached>(m_Domains.size()));
  m_Reached[0][0].m_Cost = 0;
  for (std::size_t Boundary = 0; Boundary + 1 < m_Boundaries.size(); ++Boundary)
    for (std::size_t Domain = 0; Domain < m_Domains.size(); ++Domain)
      if (m_Reached[Boundary][Domain].m_Cost < Unreachable)
        extend(Boundary, Domain, IsWholeRange);
  std::size_t Best = 0;
  double BestCost = Unreachable;
  for (std::size_t Domain = 0; Domain < m_Domains.size(); ++Domain) {
    double Cost = m_Reached.back()[Domain].m_Cost;
    if (m_Demand.m_Next &&
        m_Demand.m_Next->m_Entry.m_FailureDomain != m_Domains[Domain])
      Cost += crossingCost();
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = Domain;
    }
  }
  return BestCost < Unreachable ? trace(Best) : LayerPath();
}

static bool hasRepeatedEndpoint(const LayerPath &Path) {
  std::set<const FleetEndpoint *> Seen;
  for (const PathPart &Part : Path)
    if (!Seen.insert(Part.m_Endpoint.get()).second)
      return true;
  return false;
}

LayerPath
LayerPathPlanner::plan(const EngineModel &Model,
                       const std::vector<FleetTable::Handle> &Endpoints,
                       const PathDemand &Demand, Time Now) {
  PathSearch Search(Model, Endpoints, Demand, Now);
  LayerPath Path = Search.run(false);
  // The search knows only the last endpoint of each way, so a way can return
  // to an endpoint that it has left early. Ways that use each endpoint up to
  // the end of its range cannot.
  if (hasRepeatedEndpoint(Path))
    Path = Search.run(true);
  return Path;
}

} // namespace parsleyring
