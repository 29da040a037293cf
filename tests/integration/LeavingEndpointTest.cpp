#include "emulator/DrainState.h"
#include "support/BackgroundLoad.h"
#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

/// Requirement P5: no work starts at a leaving endpoint later than this.
static constexpr std::int64_t LeavingLimitMillis = 3000;
/// The load continues for this long after the limit, to detect late starts.
static constexpr std::int64_t ObservedMillis = 2000;

/// Bodies of /admin/drain: the endpoint shows its leaving state only in its
/// load reports, or only by refusing one request.
static const std::string LeavingInReport = R"({"report": true, "refusals": 0})";
static const std::string LeavingInOneRefusal =
    R"({"report": false, "refusals": 1})";

/// Three routers in two failure domains under load. All endpoints are in the
/// domain of vm-0 and vm-2, so that all routers use the same endpoints and vm-1
/// polls none of them. Leaving endpoints still accept work, so that work from a
/// router that does not know of the leaving is detected.
TEST_GROUP(LeavingEndpoint) {
  const std::vector<std::string> m_Leaving = {"engine-a0", "service-a"};
  std::unique_ptr<TestCluster> m_Cluster;
  std::unique_ptr<BackgroundLoad> m_Load;

  void teardown() override { m_Load.reset(); }

  void start() {
    TestClusterOptions Options;
    Options.m_Routers = 3;
    Options.m_HasLinkProxies = true;
    Options.m_AdjustDocument = [](Document &Changed) {
      for (Pool &Group : Changed.m_Pools)
        for (EndpointSpec &Member : Group.m_Endpoints)
          Member.m_FailureDomain = "fd-a";
    };
    m_Cluster = std::make_unique<TestCluster>(Options);
    m_Load = std::make_unique<BackgroundLoad>(6, [this](unsigned Caller) {
      std::string Router = "vm-" + std::to_string(Caller / 2);
      if (Caller % 2 == 0)
        m_Cluster->complete(Router, "p" + std::to_string(Caller), 2);
      else
        m_Cluster->send(Router, {"GET", "/services/registry/seals"});
    });
  }

  /// Number of the router's requests that the endpoint executed.
  unsigned executedRequests(const std::string &Endpoint,
                            const std::string &Router) const {
    Json Counts = m_Cluster->counts(Endpoint);
    unsigned Sum = 0;
    for (const auto &[Id, Value] :
         Counts.at(Counts.contains("keys") ? "keys" : "requests").items())
      Sum += Id.compare(0, 5 + Router.size(), "req-" + Router + "-") == 0;
    return Sum;
  }

  bool isUsedByAll() const {
    for (const std::string &Endpoint : m_Leaving)
      for (const std::string &Router : m_Cluster->routerNames())
        if (executedRequests(Endpoint, Router) == 0)
          return false;
    return true;
  }

  /// Runs MakeLeave, which makes the endpoints known as leaving, and checks
  /// that their last start is within the limit and that all routers keep
  /// serving.
  void checkLeaving(const std::function<void()> &MakeLeave) {
    CHECK(eventually([this] { return isUsedByAll(); }));
    std::int64_t LeavingAt = wallClockMillis();
    MakeLeave();
    CHECK(eventually([&] {
      return wallClockMillis() >
             LeavingAt + LeavingLimitMillis + ObservedMillis;
    }));
    CHECK(m_Load->waitForCalls(20));
    for (const std::string &Endpoint : m_Leaving) {
      std::int64_t Last = m_Cluster->counts(Endpoint).at("last_start_ms");
      UT_PRINT((Endpoint + ": last start " + std::to_string(Last - LeavingAt) +
                " ms after the leaving signal")
                   .c_str());
      CHECK(Last <= LeavingAt + LeavingLimitMillis);
    }
  }

  void drain(const std::string &Body) {
    for (const std::string &Endpoint : m_Leaving)
      m_Cluster->postAdmin(Endpoint, "/admin/drain", Body);
  }

  void listAsLeaving() {
    Json List = {{"vms", Json::array()}};
    for (const std::string &Endpoint : m_Leaving)
      List["vms"].push_back({{"id", "vm-of-" + Endpoint},
                             {"address", "127.0.0.1"},
                             {"failure_domain", "fd-a"},
                             {"role", "engine"},
                             {"endpoint", Endpoint},
                             {"state", "leaving"}});
    LONGS_EQUAL(
        200,
        m_Cluster->send("platform", {"PUT", "/v1/kv/platform/vms", List.dump()})
            .m_Status);
  }

  void stopPlatform() {
    m_Cluster->postAdmin("platform", "/admin/mode", R"({"outage": true})");
  }
};

// Guards against ignoring the leaving endpoints of the VM list.
TEST(LeavingEndpoint, LeavingInVMList) {
  start();
  checkLeaving([this] { listAsLeaving(); });
}

// Guards against leaving states that are not forwarded to routers without a
// platform link: only vm-0 sees the VM list, and vm-1 can learn of the state
// only through vm-2.
TEST(LeavingEndpoint, LeavingInVMListSeenByOneRouter) {
  start();
  const LinkProxies &Links = m_Cluster->links();
  for (const char *Link :
       {"vm-1>platform", "vm-2>platform", "vm-0>vm-1", "vm-1>vm-0"})
    Links.dropTraffic(Link);
  checkLeaving([this] { listAsLeaving(); });
}

// Guards against load reports that the polling router does not share with its
// peers.
TEST(LeavingEndpoint, LeavingInLoadReport) {
  start();
  CHECK(eventually([this] { return isUsedByAll(); }));
  double PolledByOther = m_Cluster->metric("vm-1", "load_reports_polled_total");
  checkLeaving([this] { drain(LeavingInReport); });
  CHECK_EQUAL(PolledByOther,
              m_Cluster->metric("vm-1", "load_reports_polled_total"));
}

// Guards against load reports that no router reads, because the polling router
// is cut off from the endpoint but not from its peers.
TEST(LeavingEndpoint, LeavingInLoadReportNotSeenByOneRouter) {
  for (const char *Router : {"vm-0", "vm-2"}) {
    start();
    CHECK(eventually([this] { return isUsedByAll(); }));
    for (const std::string &Endpoint : m_Leaving)
      m_Cluster->links().dropTraffic(Endpoint,
                                     {m_Cluster->process(Router).pid()});
    checkLeaving([this] { drain(LeavingInReport); });
    m_Load.reset();
  }
}

// Guards against refusals that the refused router does not share with its
// peers: the load report of the endpoint does not show the leaving state.
TEST(LeavingEndpoint, LeavingInRefusal) {
  start();
  checkLeaving([this] { drain(LeavingInOneRefusal); });
}

// Guards against learning of leaving endpoints only while the platform works.
TEST(LeavingEndpoint, LeavingInLoadReportWithoutPlatform) {
  start();
  stopPlatform();
  checkLeaving([this] { drain(LeavingInReport); });
}

TEST(LeavingEndpoint, LeavingInRefusalWithoutPlatform) {
  start();
  stopPlatform();
  checkLeaving([this] { drain(LeavingInOneRefusal); });
}

PARSLEYRING_TEST_MAIN
