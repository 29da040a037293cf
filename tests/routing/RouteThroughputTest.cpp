#include "routing/RoutePlanner.h"

#include "routing/RandomSource.h"

#include "support/RoutingDocument.h"
#include "support/TestMain.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <queue>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Layers = 32;
constexpr std::uint32_t Tokens = 100;
constexpr Duration ReportInterval = 1s;
constexpr Duration ReportLag = 200ms;
constexpr Duration WarmUp = 5s;
constexpr Duration MeasuredTime = 15s;

struct SimulatedEvent {
  enum class Kind { Arrival, End, Sample, Report };
  Time m_At;
  std::uint64_t m_Order = 0; ///< Breaks ties between steps of the same time.
  Kind m_Kind = Kind::Arrival;
  std::size_t m_Router = 0;
  AttemptNumber m_Attempt = 0;
  LoadReported m_Report;

  bool operator<(const SimulatedEvent &Other) const {
    return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
  }
};

/// Several planners, which see the same late reports, send requests to
/// simulated endpoints. At each stage, a request takes its number of tokens
/// times the token time of the endpoint, and proportionally longer if the
/// endpoint runs more requests than it has slots.
class RouteSimulation {
public:
  RouteSimulation(const std::vector<EndpointSpec> &Endpoints,
                  const std::string &Strategy, std::size_t Routers) {
    auto Configuration = routingDocument(Endpoints, Strategy);
    for (std::size_t Router = 0; Router < Routers; ++Router) {
      m_Planners.push_back(std::make_unique<RoutePlanner>("a", Router + 1));
      m_Planners.back()->apply(Configuration);
      m_Planners.back()->setRouterCount(static_cast<std::uint32_t>(Routers));
    }
    m_Waiting.resize(Routers);
    Duration Offset{};
    for (const EndpointSpec &Spec : Endpoints) {
      m_Specs[Spec.m_Name] = Spec;
      SimulatedEvent Sample;
      Sample.m_Kind = SimulatedEvent::Kind::Sample;
      Sample.m_Report.m_Endpoint = Spec.m_Name;
      Sample.m_Report.m_Incarnation = "one";
      push(Offset += ReportInterval / static_cast<int>(Endpoints.size()),
           Sample);
    }
  }

  /// Returns the completed requests per second at this arrival rate.
  double run(double ArrivalsPerSecond) {
    m_ArrivalsPerSecond = ArrivalsPerSecond;
    push(Duration(), SimulatedEvent());
    Time Start = m_Now;
    while (m_Now < Start + WarmUp + MeasuredTime) {
      SimulatedEvent Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      m_IsMeasured = m_Now >= Start + WarmUp;
      handle(Next);
    }
    return m_Completed / std::chrono::duration<double>(MeasuredTime).count();
  }
  double meanMillis() const { return m_TotalMillis / m_Completed; }

private:
  void push(Duration Delay, SimulatedEvent Next) {
    Next.m_At = m_Now + Delay;
    Next.m_Order = ++m_LastOrder;
    m_Events.push(Next);
  }

  void handle(SimulatedEvent &Next) {
    switch (Next.m_Kind) {
    case SimulatedEvent::Kind::Arrival:
      Next.m_Router = m_Random.below(m_Planners.size());
      m_Waiting[Next.m_Router].push(m_Now);
      dispatch(Next.m_Router);
      // The time between arrivals is uniform between 0 and twice the mean.
      push(Duration(1 + static_cast<int>(2e6 * m_Random.uniform() /
                                         m_ArrivalsPerSecond)),
           SimulatedEvent());
      break;
    case SimulatedEvent::Kind::End:
      finish(Next);
      break;
    case SimulatedEvent::Kind::Sample:
      Next.m_Report.m_ReportedAt = m_Now;
      Next.m_Report.m_Running = m_Running[Next.m_Report.m_Endpoint];
      push(ReportInterval, Next);
      Next.m_Kind = SimulatedEvent::Kind::Report;
      push(ReportLag, Next);
      break;
    case SimulatedEvent::Kind::Report:
      for (std::size_t Router = 0; Router < m_Planners.size(); ++Router) {
        m_Planners[Router]->noteLoad(m_Now, Next.m_Report);
        dispatch(Router);
      }
      break;
    }
  }

  void dispatch(std::size_t Router) {
    RouteQuery Query;
    Query.m_Pool = "pool";
    Query.m_Layers = Layers;
    Query.m_MaxTokens = 2 * Tokens;
    while (!m_Waiting[Router].empty()) {
      RoutePlan Plan = m_Planners[Router]->plan(m_Now, Query);
      if (Plan.m_Status != PlanStatus::Planned)
        return;
      SimulatedEvent End;
      End.m_Kind = SimulatedEvent::Kind::End;
      End.m_Router = Router;
      End.m_Attempt = ++m_LastAttempt;
      m_Planners[Router]->noteStarted(m_Now, End.m_Attempt, Plan.m_Route);
      double Micros = 0;
      for (const Stage &Part : Plan.m_Route) {
        const EndpointSpec &Spec = m_Specs[Part.m_Hop.m_Endpoint];
        double Load = double(++m_Running[Spec.m_Name]) / Spec.m_Slots;
        Micros += Tokens * Spec.m_TokenMicros * std::max(Load, 1.0);
      }
      m_Attempts[End.m_Attempt] = {Plan.m_Route, m_Waiting[Router].front()};
      m_Waiting[Router].pop();
      push(
          Duration(static_cast<int>(Micros * (0.8 + 0.4 * m_Random.uniform()))),
          End);
    }
  }

  void finish(const SimulatedEvent &End) {
    auto [Route, Arrived] = m_Attempts[End.m_Attempt];
    m_Attempts.erase(End.m_Attempt);
    for (const Stage &Part : Route)
      --m_Running[Part.m_Hop.m_Endpoint];
    m_Planners[End.m_Router]->noteEnded(m_Now, End.m_Attempt,
                                        AttemptResult::Finished);
    if (m_IsMeasured) {
      ++m_Completed;
      m_TotalMillis +=
          std::chrono::duration<double, std::milli>(m_Now - Arrived).count();
    }
    dispatch(End.m_Router);
  }

  struct Attempt {
    std::vector<Stage> m_Route;
    Time m_Arrived;
  };

  std::vector<std::unique_ptr<RoutePlanner>> m_Planners;
  std::vector<std::queue<Time>> m_Waiting; ///< Arrival times, by router.
  std::map<std::string, EndpointSpec> m_Specs;
  std::map<std::string, std::uint32_t> m_Running;
  std::map<AttemptNumber, Attempt> m_Attempts;
  std::priority_queue<SimulatedEvent> m_Events;
  RandomSource m_Random{7};
  Time m_Now{1000s};
  std::uint64_t m_LastOrder = 0;
  AttemptNumber m_LastAttempt = 0;
  double m_ArrivalsPerSecond = 0;
  bool m_IsMeasured = false;
  double m_Completed = 0;
  double m_TotalMillis = 0;
};

/// Endpoints with the whole model each, with token times of 1 to 6 ms.
std::vector<EndpointSpec> wholeModelEndpoints() {
  std::vector<EndpointSpec> Endpoints;
  for (std::uint32_t Count = 0; Count < 30; ++Count)
    Endpoints.push_back(endpointSpec("e" + std::to_string(Count), {0, Layers},
                                     1000 * (1 + Count % 6)));
  return Endpoints;
}

/// Endpoints with half the model each; half of them are six times slower.
std::vector<EndpointSpec> halfModelEndpoints() {
  std::vector<EndpointSpec> Endpoints;
  for (std::uint32_t Count = 0; Count < 32; ++Count) {
    std::uint32_t First = Count % 2 * Layers / 2;
    Endpoints.push_back(endpointSpec("e" + std::to_string(Count),
                                     {First, First + Layers / 2},
                                     Count % 4 < 2 ? 500 : 3000));
  }
  return Endpoints;
}

/// Upper bound of the throughput in requests per second. A request holds a slot
/// of each stage until it ends, and both halves of the model have the same
/// endpoints, so the throughput is greatest if endpoints of the same speed form
/// the routes.
double throughputBound(const std::vector<EndpointSpec> &Endpoints) {
  double Flow = 0;
  for (const EndpointSpec &Spec : Endpoints) {
    double Halves = Layers / (Spec.m_Layers.m_End - Spec.m_Layers.m_First);
    double Seconds = 1e-6 * Tokens * Spec.m_TokenMicros * Halves;
    Flow += Spec.m_Slots / Seconds / Halves;
  }
  return Flow;
}

struct Result {
  double m_BoundRatio = 0;
  double m_MeanMillis = 0;
};

Result measure(const std::vector<EndpointSpec> &Endpoints,
               const std::string &Strategy, std::size_t Routers, double Load) {
  RouteSimulation Simulation(Endpoints, Strategy, Routers);
  double Bound = throughputBound(Endpoints);
  Result Measured{Simulation.run(Load * Bound) / Bound,
                  Simulation.meanMillis()};
  std::printf("%s, %zu routers, load %.1f: %.3f of the bound, mean %.0f ms\n",
              Strategy.c_str(), Routers, Load, Measured.m_BoundRatio,
              Measured.m_MeanMillis);
  return Measured;
}

} // namespace

TEST_GROUP(RouteThroughput){};

// Guards against idle slots while requests wait.
TEST(RouteThroughput, OneRouterApproachesTheBound) {
  CHECK(measure(wholeModelEndpoints(), "estimated-cost", 1, 1.5).m_BoundRatio >
        0.98);
  CHECK(measure(halfModelEndpoints(), "estimated-cost", 1, 1.5).m_BoundRatio >
        0.95);
}

// Guards against routers that all fill the slots which an old report shows as
// free, while other endpoints stay idle.
TEST(RouteThroughput, EightRoutersApproachTheBound) {
  CHECK(measure(wholeModelEndpoints(), "estimated-cost", 8, 1.5).m_BoundRatio >
        0.95);
  Result EstimatedCost =
      measure(halfModelEndpoints(), "estimated-cost", 8, 1.5);
  Result RoundRobin = measure(halfModelEndpoints(), "round-robin", 8, 1.5);
  CHECK(EstimatedCost.m_BoundRatio > 0.75);
  // A route of a fast and a slow endpoint wastes slots of the fast one.
  CHECK(EstimatedCost.m_BoundRatio > RoundRobin.m_BoundRatio + 0.1);
}

// Guards against routes over slow endpoints while fast ones have free slots.
TEST(RouteThroughput, FastEndpointsAreUsedFirst) {
  for (double Load : {0.3, 0.6}) {
    Result EstimatedCost =
        measure(wholeModelEndpoints(), "estimated-cost", 8, Load);
    Result RoundRobin = measure(wholeModelEndpoints(), "round-robin", 8, Load);
    DOUBLES_EQUAL(Load, EstimatedCost.m_BoundRatio, 0.03);
    CHECK(EstimatedCost.m_MeanMillis < 0.65 * RoundRobin.m_MeanMillis);
  }
}

// Guards against herding: routers that have no reports, or the same old reports
// of one idle endpoint among lightly loaded ones, all choose the same endpoint.
TEST(RouteThroughput, RoutersWithTheSameReportChooseDifferently) {
  constexpr std::uint32_t Routers = 100;
  constexpr std::uint32_t Endpoints = 30;
  std::vector<EndpointSpec> Specs;
  for (std::uint32_t Count = 0; Count < Endpoints; ++Count)
    Specs.push_back(endpointSpec("e" + std::to_string(Count), {0, Layers}));
  for (bool HasReports : {false, true}) {
    Time Now{1000s};
    std::map<std::string, std::uint32_t> Chosen;
    for (std::uint32_t Router = 0; Router < Routers; ++Router) {
      RoutePlanner Planner("a", Router + 1);
      Planner.apply(routingDocument(Specs));
      Planner.setRouterCount(Routers);
      for (const EndpointSpec &Spec : Specs) {
        LoadReported Report;
        Report.m_Endpoint = Spec.m_Name;
        Report.m_Incarnation = "one";
        Report.m_ReportedAt = Now;
        Report.m_Running = Spec.m_Name == "e0" ? 0 : 2;
        if (HasReports)
          Planner.noteLoad(Now + 200ms, Report);
      }
      RouteQuery Query;
      Query.m_Pool = "pool";
      Query.m_Layers = Layers;
      Query.m_MaxTokens = Tokens;
      RoutePlan Plan = Planner.plan(Now + 1500ms, Query);
      CHECK(Plan.m_Status == PlanStatus::Planned);
      ++Chosen[Plan.m_Route.front().m_Hop.m_Endpoint];
    }
    for (const auto &[Name, Count] : Chosen)
      CHECK(Count < Routers / 4);
    CHECK(Chosen.size() > Endpoints / 2);
  }
}

PARSLEYRING_TEST_MAIN
