#include "routing/RoutePlanner.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace parsleyring {

static constexpr Duration QuarantineTime = std::chrono::seconds(30);
static constexpr Duration UnavailableTime = std::chrono::seconds(1);
static constexpr Duration ShortestProgressTimeout =
    std::chrono::milliseconds(150);
static constexpr std::size_t StallsToQuarantine = 3;

struct EndpointState {
  EndpointSpec m_Spec;
  std::string m_Pool;
  std::string m_Incarnation;
  std::uint32_t m_Outstanding = 0;
  std::size_t m_Stalls = 0;
  bool m_IsLeaving = false;
  Time m_QuarantinedUntil{};
  Time m_UnavailableUntil{};

  bool canServe(Time Now) const {
    return !m_IsLeaving && Now >= m_QuarantinedUntil &&
           Now >= m_UnavailableUntil;
  }
};

class RoutePlanner::Implementation {
public:
  std::map<std::string, EndpointState> m_Endpoints;
  std::map<AttemptNumber, std::vector<Stage>> m_Attempts;
  std::string m_Strategy;

  EndpointState *find(const std::string &Name) {
    auto Found = m_Endpoints.find(Name);
    return Found == m_Endpoints.end() ? nullptr : &Found->second;
  }

  std::vector<Stage> search(Time Now, const RouteQuery &Query,
                            bool NeedsFreeSlot);
};

std::vector<Stage> RoutePlanner::Implementation::search(Time Now,
                                                        const RouteQuery &Query,
                                                        bool NeedsFreeSlot) {
  std::uint32_t Layers = std::max(Query.m_Layers, 1U);
  std::vector<double> Cost(Layers + 1, std::numeric_limits<double>::max());
  std::vector<const EndpointState *> Best(Layers + 1, nullptr);
  Cost[Layers] = 0;
  for (std::uint32_t Boundary = Layers; Boundary-- > 0;)
    for (const auto &[Name, Endpoint] : m_Endpoints) {
      LayerRange Range =
          Query.m_Layers ? Endpoint.m_Spec.m_Layers : LayerRange{0, 1};
      bool IsFull = Endpoint.m_Outstanding >= Endpoint.m_Spec.m_Slots;
      if (Range.m_First != Boundary || Range.m_End <= Boundary ||
          Range.m_End > Layers || Endpoint.m_Pool != Query.m_Pool ||
          !Endpoint.canServe(Now) || (NeedsFreeSlot && IsFull) ||
          Cost[Range.m_End] == std::numeric_limits<double>::max())
        continue;
      double Load = (1.0 + Endpoint.m_Outstanding) / Endpoint.m_Spec.m_Slots;
      bool IsAvoided =
          std::count(Query.m_Avoid.begin(), Query.m_Avoid.end(), Name) != 0;
      double Own =
          Endpoint.m_Spec.m_TokenMicros * (1 + Load) + (IsAvoided ? 1e9 : 0);
      if (Own + Cost[Range.m_End] < Cost[Boundary]) {
        Cost[Boundary] = Own + Cost[Range.m_End];
        Best[Boundary] = &Endpoint;
      }
    }
  std::vector<Stage> Route;
  for (std::uint32_t Boundary = 0; Boundary < Layers;) {
    const EndpointState *Endpoint = Best[Boundary];
    if (!Endpoint)
      return {};
    Route.push_back({{Endpoint->m_Spec.m_Name, Endpoint->m_Spec.m_Layers},
                     Endpoint->m_Spec.m_Address});
    Boundary = Query.m_Layers ? Endpoint->m_Spec.m_Layers.m_End : 1;
  }
  return Route;
}

RoutePlanner::RoutePlanner(const std::string &, std::uint64_t)
    : m_Implementation(std::make_unique<Implementation>()) {}
RoutePlanner::~RoutePlanner() = default;

void RoutePlanner::apply(const std::shared_ptr<const Document> &Configuration) {
  std::map<std::string, EndpointState> Old;
  Old.swap(m_Implementation->m_Endpoints);
  m_Implementation->m_Strategy = Configuration->m_Policy.m_RouteStrategy;
  for (const Pool &From : Configuration->m_Pools)
    for (const EndpointSpec &Spec : From.m_Endpoints) {
      EndpointState &State = m_Implementation->m_Endpoints[Spec.m_Name];
      State = Old[Spec.m_Name];
      State.m_Spec = Spec;
      State.m_Pool = From.m_Name;
    }
}

RoutePlan RoutePlanner::plan(Time Now, const RouteQuery &Query) {
  RoutePlan Plan;
  Plan.m_Strategy = m_Implementation->m_Strategy;
  Plan.m_Route = m_Implementation->search(Now, Query, true);
  if (!Plan.m_Route.empty())
    Plan.m_Status = PlanStatus::Planned;
  else if (!m_Implementation->search(Now, Query, false).empty())
    Plan.m_Status = PlanStatus::Saturated;
  return Plan;
}

void RoutePlanner::noteStarted(Time, AttemptNumber Attempt,
                               const std::vector<Stage> &Route) {
  m_Implementation->m_Attempts[Attempt] = Route;
  for (const Stage &Part : Route)
    if (EndpointState *Endpoint = m_Implementation->find(Part.m_Hop.m_Endpoint))
      ++Endpoint->m_Outstanding;
}

void RoutePlanner::noteToken(Time, AttemptNumber) {}

void RoutePlanner::noteEnded(Time Now, AttemptNumber Attempt,
                             AttemptResult Result,
                             const std::string &FailedEndpoint) {
  auto Found = m_Implementation->m_Attempts.find(Attempt);
  if (Found == m_Implementation->m_Attempts.end())
    return;
  std::vector<Stage> Route = std::move(Found->second);
  m_Implementation->m_Attempts.erase(Found);
  for (const Stage &Part : Route)
    if (EndpointState *Endpoint = m_Implementation->find(Part.m_Hop.m_Endpoint))
      if (Endpoint->m_Outstanding > 0)
        --Endpoint->m_Outstanding;
  if (Result != AttemptResult::ConnectFailed &&
      Result != AttemptResult::ConnectionLost)
    return;
  EndpointState *Failed = m_Implementation->find(
      FailedEndpoint.empty() ? Route.front().m_Hop.m_Endpoint : FailedEndpoint);
  if (Failed)
    Failed->m_UnavailableUntil = Now + UnavailableTime;
}

Duration RoutePlanner::progressTimeout(AttemptNumber) const {
  return ShortestProgressTimeout;
}

std::vector<std::string> RoutePlanner::noteStalled(Time Now,
                                                   AttemptNumber Attempt) {
  std::vector<std::string> Quarantined;
  auto Found = m_Implementation->m_Attempts.find(Attempt);
  if (Found == m_Implementation->m_Attempts.end())
    return Quarantined;
  EndpointState *First =
      m_Implementation->find(Found->second.front().m_Hop.m_Endpoint);
  if (First && ++First->m_Stalls >= StallsToQuarantine) {
    quarantine(Now, First->m_Spec.m_Name);
    Quarantined.push_back(First->m_Spec.m_Name);
  }
  return Quarantined;
}

void RoutePlanner::noteLoad(Time, const LoadReported &Report) {
  EndpointState *Endpoint = m_Implementation->find(Report.m_Endpoint);
  if (!Endpoint || Endpoint->m_Incarnation == Report.m_Incarnation)
    return;
  Endpoint->m_Incarnation = Report.m_Incarnation;
  Endpoint->m_IsLeaving = false;
}

bool RoutePlanner::markLeaving(Time, const std::string &Name,
                               const std::string &) {
  EndpointState *Endpoint = m_Implementation->find(Name);
  return Endpoint && !std::exchange(Endpoint->m_IsLeaving, true);
}

bool RoutePlanner::isLeaving(const std::string &Name) const {
  const EndpointState *Endpoint = m_Implementation->find(Name);
  return Endpoint && Endpoint->m_IsLeaving;
}

Duration RoutePlanner::quarantine(Time Now, const std::string &Name) {
  EndpointState *Endpoint = m_Implementation->find(Name);
  if (!Endpoint)
    return Duration::zero();
  Endpoint->m_Stalls = 0;
  Endpoint->m_QuarantinedUntil = Now + QuarantineTime;
  return QuarantineTime;
}

void RoutePlanner::setUnreachableDomains(const std::vector<std::string> &) {}

std::vector<EndpointStatus> RoutePlanner::status(Time Now) const {
  std::vector<EndpointStatus> Result;
  for (const auto &[Name, Endpoint] : m_Implementation->m_Endpoints) {
    EndpointStatus Status;
    Status.m_Endpoint = Name;
    Status.m_Pool = Endpoint.m_Pool;
    Status.m_Incarnation = Endpoint.m_Incarnation;
    Status.m_Outstanding = Endpoint.m_Outstanding;
    Status.m_EstimatedRunning = Endpoint.m_Outstanding;
    Status.m_IsLeaving = Endpoint.m_IsLeaving;
    Status.m_IsQuarantined = Now < Endpoint.m_QuarantinedUntil;
    Status.m_IsUnavailable = Now < Endpoint.m_UnavailableUntil;
    Result.push_back(Status);
  }
  return Result;
}

const std::vector<std::string> &routeStrategyNames() {
  static const std::vector<std::string> Names{
      "round-robin", "least-outstanding", "two-choices", "estimated-cost"};
  return Names;
}

} // namespace parsleyring
