#include "routing/RoutePlanner.h"

#include "routing/AttemptTable.h"
#include "routing/LeavingEndpointTable.h"
#include "routing/RouteExclusions.h"
#include "routing/RouteStrategy.h"
#include "routing/SlotDivision.h"
#include "routing/StallTracker.h"

#include <algorithm>

namespace parsleyring {

static constexpr const char *DefaultStrategy = "estimated-cost";
/// Limits the size of the audit record for a large pool.
static constexpr std::size_t MaxCandidatesPerBoundary = 8;

/// Tried in this order. Endpoints that failed the request are allowed before
/// those quarantined for stalls, and these before those whose failure domain is
/// believed to be unreachable. A stall can have another cause than the
/// endpoint: if the machine of this VM is overloaded, all endpoints seem to
/// stall, and if a failure domain is cut off, routes through it stall, which
/// also counts against their stages in other domains.
static constexpr StageFilter FilterSequence[] = {
    {true, false, false, false}, {true, true, false, false},
    {true, true, false, true},   {true, false, true, false},
    {true, true, true, false},   {true, true, true, true},
};

class RoutePlanner::Implementation {
public:
  Implementation(const std::string &OwnFailureDomain, std::uint64_t Seed)
      : m_Random(Seed), m_OwnDomain(m_Links.domainNumber(OwnFailureDomain)),
        m_OwnDomainName(OwnFailureDomain) {
    m_Links.apply({});
    useStrategy(DefaultStrategy);
  }

  void useStrategy(const std::string &Name);
  void updateEndpointFlags();
  std::vector<StageOption> options(Time Now, const RouteQuery &Query,
                                   const CostModel &Costs) const;
  RoutePlan plan(Time Now, const RouteQuery &Query);
  void fillPlan(RoutePlan &Plan, StageGraph &Graph, const CostModel &Costs,
                const std::vector<std::size_t> &Route) const;

  RandomSource m_Random;
  LinkTable m_Links;
  std::size_t m_OwnDomain;
  std::string m_OwnDomainName;
  EndpointTable m_Endpoints;
  LeavingEndpointTable m_LeavingEndpoints;
  AttemptTable m_Attempts;
  StallTracker m_Stalls;
  std::string m_StrategyName;
  std::unique_ptr<RouteStrategy> m_Strategy;
  std::vector<std::string> m_UnreachableDomains;
  std::uint32_t m_RouterCount = 1;
  Preference m_Preference = Preference::Recovery;
};

void RoutePlanner::Implementation::useStrategy(const std::string &Name) {
  if (m_Strategy && Name == m_StrategyName)
    return;
  auto Chosen = RouteStrategy::create(Name);
  // Documents are validated before; an unknown name must not stop the service.
  m_StrategyName = Chosen ? Name : DefaultStrategy;
  m_Strategy =
      Chosen ? std::move(Chosen) : RouteStrategy::create(DefaultStrategy);
}

void RoutePlanner::Implementation::updateEndpointFlags() {
  for (const auto &[Pool, Members] : m_Endpoints.pools())
    for (Endpoint *Member : Members) {
      Member->m_IsLeaving = m_LeavingEndpoints.isLeaving(Member->m_Spec.m_Name);
      const std::string &Domain = Member->m_Spec.m_FailureDomain;
      Member->m_IsDomainReachable =
          Domain == m_OwnDomainName ||
          std::find(m_UnreachableDomains.begin(), m_UnreachableDomains.end(),
                    Domain) == m_UnreachableDomains.end();
    }
}

std::vector<StageOption>
RoutePlanner::Implementation::options(Time Now, const RouteQuery &Query,
                                      const CostModel &Costs) const {
  const std::vector<Endpoint *> &Members = m_Endpoints.pool(Query.m_Pool);
  std::vector<StageOption> Result;
  Result.reserve(Members.size());
  for (std::size_t Position = 0; Position < Members.size(); ++Position) {
    const Endpoint *Member = Members[Position];
    const EndpointSpec &Spec = Member->m_Spec;
    LayerRange Layers = Query.m_Layers ? Spec.m_Layers : LayerRange{0, 1};
    if (Layers.m_First >= Layers.m_End ||
        Layers.m_End > std::max(Query.m_Layers, 1U) || Member->m_IsLeaving ||
        !Member->m_Health.canServe(Now))
      continue;
    StageOption Option;
    Option.m_Endpoint = Member;
    Option.m_Position = Position;
    Option.m_Layers = Layers;
    Option.m_Requests = Member->m_Load.requests(Now);
    Option.m_Load = Option.m_Requests / std::max(Spec.m_Slots, 1U);
    Option.m_Estimate = Costs.estimate(*Member);
    Option.m_CostMicros = Costs.stageMicros(Option.m_Estimate, Option.m_Load);
    Option.m_FailedBefore =
        std::find(Query.m_Avoid.begin(), Query.m_Avoid.end(), Spec.m_Name) !=
        Query.m_Avoid.end();
    Option.m_IsStallQuarantined = Member->m_Health.isStallQuarantined(Now);
    Result.push_back(Option);
  }
  SlotDivision(Now, m_RouterCount).apply(Result);
  return Result;
}

RoutePlan RoutePlanner::Implementation::plan(Time Now,
                                             const RouteQuery &Query) {
  RoutePlan Plan;
  Plan.m_Strategy = m_StrategyName;
  CostModel Costs(Now, Query, m_Links, m_OwnDomain);
  StageGraph Graph(std::max(Query.m_Layers, 1U), options(Now, Query, Costs));
  RouteContext Context{Now, Query.m_Pool, Costs, m_Random};
  StageFilter Used;
  for (StageFilter Filter : FilterSequence) {
    bool HasFreeRoute = Graph.select(Filter);
    Filter.m_NeedsFreeSlot = HasFreeRoute;
    Used = Filter;
    if (!HasFreeRoute && !Graph.select(Filter))
      continue;
    Plan.m_Status = HasFreeRoute ? PlanStatus::Planned : PlanStatus::Saturated;
    fillPlan(Plan, Graph, Costs, m_Strategy->choose(Graph, Context));
    break;
  }
  Plan.m_Excluded =
      routeExclusions(Now, m_Endpoints.pool(Query.m_Pool), Graph, Used);
  return Plan;
}

void RoutePlanner::Implementation::fillPlan(
    RoutePlan &Plan, StageGraph &Graph, const CostModel &Costs,
    const std::vector<std::size_t> &Route) const {
  const std::vector<StageOption> &Options = Graph.options();
  std::size_t FirstDomain = Options[Route.front()].m_Endpoint->m_Domain;
  std::size_t LastDomain = FirstDomain;
  double Micros = Costs.entryMicros(FirstDomain);
  for (std::size_t Index : Route) {
    const StageOption &Option = Options[Index];
    std::size_t Domain = Option.m_Endpoint->m_Domain;
    Micros += Option.m_Estimate.m_WaitMicros +
              Option.m_Estimate.m_PrefillMicros +
              Option.m_Estimate.m_TokenMicros;
    if (Index != Route.front())
      Micros += m_Links.oneWayMicros(LastDomain, Domain);
    LastDomain = Domain;
    const EndpointSpec &Spec = Option.m_Endpoint->m_Spec;
    if (Plan.m_Status == PlanStatus::Planned)
      Plan.m_Route.push_back({{Spec.m_Name, Spec.m_Layers}, Spec.m_Address});
  }
  if (Route.size() > 1)
    Micros += m_Links.oneWayMicros(LastDomain, FirstDomain);
  Plan.m_EstimatedFirstToken = Duration(static_cast<std::int64_t>(Micros));

  for (std::size_t Boundary = 0; Boundary + 1 < Graph.boundaryCount();
       ++Boundary) {
    auto [First, End] = Graph.usableAt(Boundary);
    std::vector<std::size_t> Shown(
        Graph.usable().begin() + static_cast<std::ptrdiff_t>(First),
        Graph.usable().begin() + static_cast<std::ptrdiff_t>(End));
    std::size_t Count = std::min(Shown.size(), MaxCandidatesPerBoundary);
    std::partial_sort(
        Shown.begin(), Shown.begin() + static_cast<std::ptrdiff_t>(Count),
        Shown.end(), [&](std::size_t Left, std::size_t Right) {
          return Options[Left].m_CostMicros < Options[Right].m_CostMicros;
        });
    for (std::size_t At = 0; At < Shown.size(); ++At) {
      bool IsChosen =
          std::find(Route.begin(), Route.end(), Shown[At]) != Route.end();
      if (At < Count || IsChosen)
        Plan.m_Candidates.push_back(
            {Options[Shown[At]].m_Endpoint->m_Spec.m_Name,
             Options[Shown[At]].m_CostMicros, Options[Shown[At]].m_Layers,
             Options[Shown[At]].m_IsStallQuarantined});
    }
  }
}

RoutePlanner::RoutePlanner(const std::string &OwnFailureDomain,
                           std::uint64_t Seed)
    : m_Implementation(
          std::make_unique<Implementation>(OwnFailureDomain, Seed)) {}

RoutePlanner::~RoutePlanner() = default;

void RoutePlanner::apply(const std::shared_ptr<const Document> &Configuration) {
  m_Implementation->m_Endpoints.apply(*Configuration,
                                      m_Implementation->m_Links);
  m_Implementation->useStrategy(Configuration->m_Policy.m_RouteStrategy);
  m_Implementation->m_Preference = Configuration->m_Policy.m_Preference;
  m_Implementation->updateEndpointFlags();
}

RoutePlan RoutePlanner::plan(Time Now, const RouteQuery &Query) {
  return m_Implementation->plan(Now, Query);
}

void RoutePlanner::noteStarted(Time Now, AttemptNumber Attempt,
                               const std::vector<Stage> &Route) {
  RoutedAttempt *Started = m_Implementation->m_Attempts.add(Attempt);
  if (!Started)
    return;
  Started->m_StartedAt = Started->m_ProgressAt = Now;
  const LinkTable &Links = m_Implementation->m_Links;
  std::size_t OwnDomain = m_Implementation->m_OwnDomain;
  double CurrentMicros = 0;
  for (const Stage &Part : Route) {
    Endpoint *Used = m_Implementation->m_Endpoints.find(Part.m_Hop.m_Endpoint);
    if (!Used)
      continue;
    double HopMicros =
        Started->m_Stages.empty()
            ? 0
            : Links.oneWayMicros(Started->m_Stages.back()->m_Domain,
                                 Used->m_Domain);
    Started->m_Stages.push_back(Used);
    Used->m_Load.noteStarted(Now, Links.oneWay(OwnDomain, Used->m_Domain));
    Used->m_Health.noteStarted(Attempt);
    Started->m_ExpectedMicros += Used->m_Spec.m_TokenMicros + HopMicros;
    CurrentMicros +=
        Used->m_Spec.m_TokenMicros * Used->m_Slowdown.ratio(Now) + HopMicros;
  }
  if (Started->m_Stages.empty())
    return;
  std::size_t First = Started->m_Stages.front()->m_Domain;
  std::size_t Last = Started->m_Stages.back()->m_Domain;
  double ReturnMicros = Route.size() > 1 ? Links.oneWayMicros(Last, First) : 0;
  Started->m_ExpectedMicros =
      std::max(Started->m_ExpectedMicros + ReturnMicros, 1.0);
  Started->m_IntervalMicros = CurrentMicros + ReturnMicros;
  Started->m_RoundTrip =
      Links.oneWay(OwnDomain, First) + Links.oneWay(First, OwnDomain);
}

void RoutePlanner::noteToken(Time Now, AttemptNumber Attempt) {
  if (RoutedAttempt *Known = m_Implementation->m_Attempts.find(Attempt))
    AttemptTable::noteToken(Now, *Known);
}

void RoutePlanner::noteEnded(Time Now, AttemptNumber Attempt,
                             AttemptResult Result,
                             const std::string &FailedEndpoint) {
  RoutedAttempt *Ended = m_Implementation->m_Attempts.find(Attempt);
  if (!Ended)
    return;
  const LinkTable &Links = m_Implementation->m_Links;
  std::size_t OwnDomain = m_Implementation->m_OwnDomain;
  Endpoint *Responsible = nullptr;
  for (Endpoint *Used : Ended->m_Stages) {
    Used->m_Load.noteEnded(Now, Links.oneWay(Used->m_Domain, OwnDomain));
    if (!Responsible || Used->m_Spec.m_Name == FailedEndpoint)
      Responsible = Used;
  }
  switch (Responsible ? Result : AttemptResult::Cancelled) {
  case AttemptResult::Finished:
    for (Endpoint *Used : Ended->m_Stages)
      Used->m_Health.noteSuccess(Ended->m_StartedAt);
    break;
  case AttemptResult::ConnectFailed:
  case AttemptResult::ConnectionLost:
    Responsible->m_Health.noteFailure(Now, Ended->m_StartedAt);
    break;
  case AttemptResult::RefusedNotRun:
    Responsible->m_Load.noteRefused(Now);
    Responsible->m_Health.noteSuccess(Ended->m_StartedAt);
    break;
  case AttemptResult::RefusedLeaving:
  case AttemptResult::Rejected:
    Responsible->m_Health.noteSuccess(Ended->m_StartedAt);
    break;
  case AttemptResult::TimedOut:
  case AttemptResult::Malformed:
    Responsible->m_Health.noteTimeout(Now, Attempt);
    break;
  case AttemptResult::Cancelled:
    break;
  }
  for (Endpoint *Used : Ended->m_Stages)
    Used->m_Health.noteEnded(Attempt);
  m_Implementation->m_Attempts.remove(Attempt);
}

Duration RoutePlanner::progressTimeout(AttemptNumber Attempt) const {
  const RoutedAttempt *Known = m_Implementation->m_Attempts.find(Attempt);
  return AttemptTable::progressTimeout(Known ? *Known : RoutedAttempt(),
                                       m_Implementation->m_Preference);
}

std::vector<std::string> RoutePlanner::noteStalled(Time Now,
                                                   AttemptNumber Attempt) {
  RoutedAttempt *Stalled = m_Implementation->m_Attempts.find(Attempt);
  if (!Stalled || Stalled->m_IsStalled)
    return {};
  Stalled->m_IsStalled = true;
  for (Endpoint *Used : Stalled->m_Stages)
    Used->m_Health.noteTimeout(Now, Attempt);
  std::vector<std::string> Suspects =
      AttemptTable::stallSuspects(Now, *Stalled);
  if (Suspects.empty())
    return {};
  std::string Blamed = m_Implementation->m_Stalls.noteStall(Now, Suspects);
  if (Blamed.empty())
    return {};
  if (Endpoint *Known = m_Implementation->m_Endpoints.find(Blamed))
    Known->m_Health.quarantine(Now, QuarantineReason::Stalls);
  return {Blamed};
}

void RoutePlanner::noteLoad(Time Now, const LoadReported &Report) {
  Endpoint *Known = m_Implementation->m_Endpoints.find(Report.m_Endpoint);
  if (Known && Known->m_Load.isOutdated(Now, Report.m_ReportedAt))
    return;
  bool IsRestarted = m_Implementation->m_LeavingEndpoints.noteIncarnation(
      Report.m_Endpoint, Report.m_Incarnation);
  if (!Known)
    return;
  Known->m_IsLeaving = isLeaving(Report.m_Endpoint);
  if (IsRestarted) {
    Known->m_Health.noteRestarted(Now);
    Known->m_Load.resetReport();
    Known->m_Prefixes.reset();
    Known->m_Slowdown = SlowdownEstimate();
  }
  Known->m_Load.noteReport(Now, Report.m_ReportedAt,
                           Report.m_Running + Report.m_Waiting);
  Known->m_SlotShareRounding = m_Implementation->m_Random.uniform();
  Known->m_Prefixes.noteCachedPrefixes(Report.m_ReportedAt,
                                       Report.m_CachedPrefixes);
}

bool RoutePlanner::markLeaving(Time, const std::string &Name,
                               const std::string &Incarnation) {
  bool IsNew =
      m_Implementation->m_LeavingEndpoints.setLeaving(Name, Incarnation);
  if (Endpoint *Known = m_Implementation->m_Endpoints.find(Name))
    Known->m_IsLeaving = isLeaving(Name);
  return IsNew;
}

bool RoutePlanner::isLeaving(const std::string &Endpoint) const {
  return m_Implementation->m_LeavingEndpoints.isLeaving(Endpoint);
}

Duration RoutePlanner::quarantine(Time Now, const std::string &Name) {
  Endpoint *Known = m_Implementation->m_Endpoints.find(Name);
  return Known ? Known->m_Health.quarantine(Now, QuarantineReason::WrongResult)
               : Duration::zero();
}

void RoutePlanner::setUnreachableDomains(
    const std::vector<std::string> &Domains) {
  m_Implementation->m_UnreachableDomains = Domains;
  m_Implementation->updateEndpointFlags();
}

void RoutePlanner::setRouterCount(std::uint32_t Routers) {
  m_Implementation->m_RouterCount = std::max(Routers, 1U);
}

std::vector<EndpointStatus> RoutePlanner::status(Time Now) const {
  std::vector<EndpointStatus> Result;
  for (const auto &[Pool, Members] : m_Implementation->m_Endpoints.pools())
    for (const Endpoint *Known : Members) {
      const std::string &Name = Known->m_Spec.m_Name;
      EndpointStatus Status;
      Status.m_Endpoint = Name;
      Status.m_Pool = Pool;
      Status.m_Incarnation =
          m_Implementation->m_LeavingEndpoints.incarnation(Name);
      Status.m_Outstanding = Known->m_Load.outstanding();
      Status.m_EstimatedRunning = Known->m_Load.requests(Now);
      Status.m_IsLeaving = isLeaving(Name);
      Status.m_IsQuarantined = Known->m_Health.isQuarantined(Now);
      Status.m_IsUnavailable = Known->m_Health.isUnavailable();
      Result.push_back(Status);
    }
  return Result;
}

} // namespace parsleyring
