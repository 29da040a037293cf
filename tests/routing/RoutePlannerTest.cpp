#include "routing/RoutePlanner.h"

#include "routing/RandomSource.h"

#include "support/RoutingDocument.h"
#include "support/TestMain.h"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(RoutePlanner) {
  static constexpr std::uint32_t Layers = 32;
  std::unique_ptr<RoutePlanner> m_Planner =
      std::make_unique<RoutePlanner>("a", 1);
  Time m_Now{1000s};
  AttemptNumber m_LastAttempt = 0;
  RouteQuery m_Query = [] {
    RouteQuery Query;
    Query.m_Pool = "pool";
    Query.m_Layers = Layers;
    Query.m_PromptTokens = 128;
    Query.m_MaxTokens = 100;
    return Query;
  }();

  RoutePlan plan() { return m_Planner->plan(m_Now, m_Query); }
  /// Names of the endpoints of the route, or the status if there is none.
  std::string routeNames() { return routeNames(plan()); }
  static std::string routeNames(const RoutePlan &Plan) {
    if (Plan.m_Status != PlanStatus::Planned)
      return Plan.m_Status == PlanStatus::Saturated ? "saturated" : "none";
    std::string Text;
    for (const Stage &Part : Plan.m_Route)
      Text += Part.m_Hop.m_Endpoint;
    return Text;
  }
  AttemptNumber start(const std::vector<Stage> &Route) {
    m_Planner->noteStarted(m_Now, ++m_LastAttempt, Route);
    return m_LastAttempt;
  }
  AttemptNumber start() { return start(plan().m_Route); }
  void report(const std::string &Endpoint, std::uint32_t Running,
              const std::string &Incarnation = "one",
              const std::vector<std::uint64_t> &Prefixes = {}) {
    LoadReported Report;
    Report.m_Endpoint = Endpoint;
    Report.m_Incarnation = Incarnation;
    Report.m_ReportedAt = m_Now;
    Report.m_Running = Running;
    Report.m_CachedPrefixes = Prefixes;
    m_Planner->noteLoad(m_Now, Report);
  }
  static std::vector<EndpointSpec> twoEndpoints(std::uint32_t Slots = 8) {
    return {endpointSpec("x", {0, Layers}, 1000, Slots),
            endpointSpec("y", {0, Layers}, 10000, Slots)};
  }
};

// Guards against routes with gaps, overlaps or dead ends with any strategy, and
// against finding no route when there is one.
TEST(RoutePlanner, RoutesCoverEachLayerOnce) {
  RandomSource Random(5);
  int Planned = 0;
  for (int Round = 0; Round < 400; ++Round) {
    std::vector<EndpointSpec> Endpoints;
    std::vector<bool> CanReach(Layers + 1, false);
    for (int Count = 0; Count < 12; ++Count) {
      auto First = static_cast<std::uint32_t>(Random.below(8) * 4);
      auto End = static_cast<std::uint32_t>(First + 4 + Random.below(4) * 4);
      Endpoints.push_back(endpointSpec(std::to_string(Count), {First, End}));
    }
    CanReach[0] = true;
    for (std::uint32_t Layer = 0; Layer < Layers; ++Layer)
      for (const EndpointSpec &Spec : Endpoints)
        if (Spec.m_Layers.m_First == Layer && CanReach[Layer] &&
            Spec.m_Layers.m_End <= Layers)
          CanReach[Spec.m_Layers.m_End] = true;
    for (const std::string &Strategy : routeStrategyNames()) {
      m_Planner->apply(routingDocument(Endpoints, Strategy));
      RoutePlan Plan = plan();
      STRCMP_EQUAL(Strategy.c_str(), Plan.m_Strategy.c_str());
      CHECK((Plan.m_Status == PlanStatus::Planned) == CanReach[Layers]);
      std::uint32_t NextLayer = 0;
      for (const Stage &Part : Plan.m_Route) {
        LONGS_EQUAL(NextLayer, Part.m_Hop.m_Layers.m_First);
        NextLayer = Part.m_Hop.m_Layers.m_End;
      }
      LONGS_EQUAL(CanReach[Layers] ? Layers : 0, NextLayer);
      Planned += CanReach[Layers];
    }
  }
  CHECK(Planned > 400 && Planned < 1600);
}

// Guards against routes over slow links for a slightly faster stage, and
// against omitting the link from the last stage back to the first.
TEST(RoutePlanner, LinkDelaysAffectTheRoute) {
  auto Configuration =
      routingDocument({endpointSpec("x", {0, 16}, 1000, 8, "a"),
                       endpointSpec("y", {16, 32}, 1000, 8, "b"),
                       endpointSpec("z", {16, 32}, 2000, 8, "a")});
  Configuration->m_Links.push_back({"a", "b", 1500});
  m_Planner->apply(Configuration);
  STRCMP_EQUAL("xz", routeNames().c_str());
  Configuration->m_Links.back().m_OneWayMicros = 100;
  m_Planner->apply(Configuration);
  STRCMP_EQUAL("xy", routeNames().c_str());
}

// Guards against requiring layers of a plain service.
TEST(RoutePlanner, PlainServicesHaveOneStage) {
  m_Planner->apply(routingDocument({endpointSpec("s", {})}));
  m_Query.m_Layers = 0;
  RoutePlan Plan = plan();
  STRCMP_EQUAL("s", routeNames(Plan).c_str());
  STRCMP_EQUAL("127.0.0.1:1", Plan.m_Route[0].m_Address.c_str());
  m_Query.m_Pool = "other";
  STRCMP_EQUAL("none", routeNames().c_str());
}

// Guards against more requests than slots, and against reporting no route when
// the request only has to wait for a slot.
TEST(RoutePlanner, FullEndpointsAreSaturated) {
  m_Planner->apply(routingDocument(twoEndpoints(2)));
  std::map<std::string, int> Started;
  AttemptNumber Last = 0;
  for (int Count = 0; Count < 4; ++Count) {
    RoutePlan Plan = plan();
    ++Started[routeNames(Plan)];
    Last = start(Plan.m_Route);
  }
  LONGS_EQUAL(2, Started["x"]);
  LONGS_EQUAL(2, Started["y"]);
  RoutePlan Plan = plan();
  STRCMP_EQUAL("saturated", routeNames(Plan).c_str());
  CHECK(Plan.m_Route.empty());
  CHECK(Plan.m_EstimatedFirstToken > 20ms);
  m_Planner->noteEnded(m_Now, Last, AttemptResult::Finished);
  STRCMP_EQUAL("y", routeNames().c_str());
}

// Guards against sending a request to an endpoint that failed it before, or to
// an unreachable failure domain, while another route exists.
TEST(RoutePlanner, FailedAndUnreachableEndpointsComeLast) {
  auto Endpoints = twoEndpoints(1);
  Endpoints[0].m_FailureDomain = "b";
  m_Planner->apply(routingDocument(Endpoints));
  STRCMP_EQUAL("x", routeNames().c_str());
  m_Planner->setUnreachableDomains({"a", "b"});
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Query.m_Avoid = {"y"};
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Planner->setUnreachableDomains({});
  STRCMP_EQUAL("x", routeNames().c_str());
  // The request waits for a slot of the endpoint that has not failed it.
  start();
  STRCMP_EQUAL("saturated", routeNames().c_str());
  m_Planner->quarantine(m_Now, "x");
  STRCMP_EQUAL("y", routeNames().c_str());
}

// Guards against new requests for a leaving endpoint, even if the configuration
// changes or lists the endpoint only later, and against sending no requests to
// the process that replaces it.
TEST(RoutePlanner, LeavingEndpointsGetNoRequests) {
  CHECK(m_Planner->markLeaving(m_Now, "x", "one"));
  m_Planner->apply(routingDocument(twoEndpoints()));
  STRCMP_EQUAL("y", routeNames().c_str());
  CHECK(m_Planner->markLeaving(m_Now, "y", ""));
  CHECK_FALSE(m_Planner->markLeaving(m_Now, "y", ""));
  m_Planner->apply(routingDocument(twoEndpoints()));
  STRCMP_EQUAL("none", routeNames().c_str());
  report("x", 0, "two");
  STRCMP_EQUAL("x", routeNames().c_str());
  CHECK(m_Planner->isLeaving("y"));
}

// Guards against requests to an endpoint that refuses connections, and against
// more than one probe after its backoff.
TEST(RoutePlanner, ConnectFailureAndProbe) {
  m_Planner->apply(routingDocument(twoEndpoints()));
  m_Planner->noteEnded(m_Now, start(), AttemptResult::ConnectFailed);
  STRCMP_EQUAL("y", routeNames().c_str());
  CHECK(m_Planner->status(m_Now).front().m_IsUnavailable);
  m_Now += 1s;
  STRCMP_EQUAL("x", routeNames().c_str());
  AttemptNumber Probe = start();
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Planner->noteToken(m_Now, Probe);
  STRCMP_EQUAL("x", routeNames().c_str());
}

// Guards against blaming the first stage for a failure of a later one.
TEST(RoutePlanner, NamedStageIsBlamed) {
  m_Planner->apply(
      routingDocument({endpointSpec("x", {0, 16}), endpointSpec("y", {16, 32}),
                       endpointSpec("z", {16, 32}, 5000)}));
  AttemptNumber Attempt = start();
  m_Planner->noteEnded(m_Now, Attempt, AttemptResult::ConnectionLost, "y");
  STRCMP_EQUAL("xz", routeNames().c_str());
}

// Guards against sending a request to an endpoint right after it refused one
// because it was full.
TEST(RoutePlanner, RefusalRedirectsRequests) {
  m_Planner->apply(routingDocument(twoEndpoints()));
  m_Planner->noteEnded(m_Now, start(), AttemptResult::RefusedNotRun);
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Now += 100ms;
  STRCMP_EQUAL("x", routeNames().c_str());
}

// Guards against further use of an endpoint that stalls streams, and against
// blaming endpoints through which other streams make progress.
TEST(RoutePlanner, StallsQuarantineTheSilentStage) {
  m_Planner->apply(routingDocument({endpointSpec("x", {0, 16}),
                                    endpointSpec("y", {16, 32}, 1000, 100),
                                    endpointSpec("w", {0, 16}, 3000)}));
  AttemptNumber Other = start({{{"w", {0, 16}}, ""}, {{"y", {16, 32}}, ""}});
  std::vector<AttemptNumber> Stalled;
  for (int Count = 0; Count < 3; ++Count)
    Stalled.push_back(start({{{"x", {0, 16}}, ""}, {{"y", {16, 32}}, ""}}));
  std::vector<std::string> Quarantined;
  for (AttemptNumber Attempt : Stalled) {
    CHECK(Quarantined.empty());
    m_Now += 200ms;
    m_Planner->noteToken(m_Now, Other);
    Quarantined = m_Planner->noteStalled(m_Now, Attempt);
    CHECK(m_Planner->noteStalled(m_Now, Attempt).empty());
    m_Planner->noteEnded(m_Now, Attempt, AttemptResult::Cancelled);
  }
  LONGS_EQUAL(1, Quarantined.size());
  STRCMP_EQUAL("x", Quarantined.front().c_str());
  STRCMP_EQUAL("wy", routeNames().c_str());
  m_Now += 30s;
  STRCMP_EQUAL("xy", routeNames().c_str());
}

// Guards against timeouts below the token interval of a slow model, which would
// cancel healthy streams, and against long timeouts for a fast model.
TEST(RoutePlanner, ProgressTimeoutFollowsTheTokenInterval) {
  m_Planner->apply(routingDocument({endpointSpec("x", {0, Layers}, 20000)}));
  AttemptNumber Attempt = start();
  m_Planner->noteToken(m_Now, Attempt);
  CHECK(m_Planner->progressTimeout(Attempt) == 150ms);
  for (int Count = 0; Count < 30; ++Count)
    m_Planner->noteToken(m_Now += 100ms, Attempt);
  Duration Slow = m_Planner->progressTimeout(Attempt);
  CHECK(Slow > 290ms && Slow < 310ms);
  for (int Count = 0; Count < 30; ++Count)
    m_Planner->noteToken(m_Now += 900ms, Attempt);
  CHECK(m_Planner->progressTimeout(Attempt) == 1s);
}

// Guards against early resumes, each of which repeats a prefill, when
// throughput is preferred to recovery.
TEST(RoutePlanner, ThroughputPreferenceWaitsLonger) {
  auto Configuration = std::make_shared<Document>(
      *routingDocument({endpointSpec("x", {0, Layers}, 20000)}));
  Configuration->m_Policy.m_Preference = Preference::Throughput;
  m_Planner->apply(Configuration);
  AttemptNumber Attempt = start();
  m_Planner->noteToken(m_Now, Attempt);
  CHECK(m_Planner->progressTimeout(Attempt) == 400ms);
}

// Guards against refusing all requests when all endpoints seem to stall, as
// happens if the machine of this VM is overloaded.
TEST(RoutePlanner, StallQuarantineIsOverriddenOnlyWithoutAnotherRoute) {
  m_Planner->apply(routingDocument({endpointSpec("x", {0, Layers}, 1000)}));
  std::vector<std::string> Quarantined;
  for (int Count = 0; Count < 3; ++Count) {
    AttemptNumber Attempt = start();
    Quarantined = m_Planner->noteStalled(m_Now += 1s, Attempt);
    m_Planner->noteEnded(m_Now, Attempt, AttemptResult::Cancelled);
  }
  LONGS_EQUAL(1, Quarantined.size());
  STRCMP_EQUAL("x", routeNames().c_str());
  m_Planner->quarantine(m_Now, "x");
  STRCMP_EQUAL("none", routeNames().c_str());
}

// Guards against an endpoint that keeps its share of requests after it has
// become slow, and against never trying it again.
TEST(RoutePlanner, ObservedSlowdownAffectsTheRoute) {
  m_Planner->apply(routingDocument({endpointSpec("x", {0, Layers}, 1000),
                                    endpointSpec("y", {0, Layers}, 3000)}));
  AttemptNumber Attempt = start();
  for (int Count = 0; Count < 100; ++Count)
    m_Planner->noteToken(m_Now += 10ms, Attempt);
  m_Planner->noteEnded(m_Now, Attempt, AttemptResult::Finished);
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Now += 2min;
  STRCMP_EQUAL("x", routeNames().c_str());
}

// Guards against ignoring cached prefixes, and against old hints that direct
// requests to an endpoint which has dropped the prefix since.
TEST(RoutePlanner, PrefixHintsExpire) {
  m_Planner->apply(routingDocument({endpointSpec("x", {0, Layers}, 1000),
                                    endpointSpec("y", {0, Layers}, 1500)}));
  m_Query.m_PromptTokens = 8192;
  for (std::uint64_t Hash = 1; Hash <= 128; ++Hash)
    m_Query.m_PrefixHashes.push_back(Hash);
  STRCMP_EQUAL("x", routeNames().c_str());
  report("y", 0, "one", {7, 128});
  report("x", 0, "one", {9999});
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Now += 59s;
  STRCMP_EQUAL("x", routeNames().c_str());
}

// Guards against losing the count of an endpoint's outstanding requests when a
// new configuration applies, and against leaking that of removed endpoints.
TEST(RoutePlanner, StateSurvivesConfigurations) {
  m_Planner->apply(routingDocument(twoEndpoints(1)));
  AttemptNumber Attempt = start();
  m_Planner->apply(routingDocument({twoEndpoints(1)[1]}));
  m_Planner->apply(routingDocument(twoEndpoints(1)));
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Planner->apply(routingDocument({twoEndpoints(1)[1]}));
  m_Planner->noteEnded(m_Now, Attempt, AttemptResult::Finished);
  m_Planner->apply(routingDocument(twoEndpoints(1)));
  STRCMP_EQUAL("x", routeNames().c_str());
}

// Guards against decisions that a replay cannot reproduce.
TEST(RoutePlanner, SameSeedSameDecisions) {
  std::vector<EndpointSpec> Endpoints;
  for (int Count = 0; Count < 10; ++Count)
    Endpoints.push_back(endpointSpec(std::to_string(Count), {0, Layers}));
  std::set<std::string> Orders;
  for (std::uint64_t Seed : {1, 1, 2}) {
    m_Planner = std::make_unique<RoutePlanner>("a", Seed);
    m_Planner->apply(routingDocument(Endpoints));
    std::string Order;
    for (int Count = 0; Count < 20; ++Count)
      Order += routeNames() + " ";
    Orders.insert(Order);
  }
  LONGS_EQUAL(2, Orders.size());
}

// Guards against routes into a failure domain that is cut off. Earlier routes
// through it stalled, which also quarantined the healthy endpoints of this
// router's own domain.
TEST(RoutePlanner, StallQuarantineComesBeforeUnreachableDomain) {
  auto Endpoints = twoEndpoints();
  Endpoints[1].m_FailureDomain = "b";
  m_Planner->apply(routingDocument(Endpoints));
  for (int Count = 0; Count < 3; ++Count) {
    AttemptNumber Attempt = start({{{"x", {0, Layers}}, ""}});
    m_Planner->noteStalled(m_Now += 1s, Attempt);
    m_Planner->noteEnded(m_Now, Attempt, AttemptResult::Cancelled);
  }
  STRCMP_EQUAL("y", routeNames().c_str());
  m_Planner->setUnreachableDomains({"b"});
  STRCMP_EQUAL("x", routeNames().c_str());
}

PARSLEYRING_TEST_MAIN
