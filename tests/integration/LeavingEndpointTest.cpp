#include "emulator/DrainState.h"
#include "support/BackgroundLoad.h"
#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

/// Limit of requirement P5.
static constexpr std::int64_t LeavingLimitMillis = 3000;
/// Load goes on for this long after the limit, to show late starts.
static constexpr std::int64_t ObservedMillis = 2000;

static const std::string AllInReport = R"({"report": true, "refusals": 0})";
static const std::string OneRefusal = R"({"report": false, "refusals": 1})";

/// Three routers of two failure domains under load. All endpoints are in the
/// domain of vm-0 and vm-2, so that all routers use the same ones, and vm-1
/// polls none. The endpoints that are leaving go on taking work, so that work
/// from a router that does not know shows.
TEST_GROUP(LeavingEndpoint) {
  const std::vector<std::string> m_Leaving = {"engine-a0", "service-a"};
  std::unique_ptr<TestCluster> m_Cluster;
  std::unique_ptr<BackgroundLoad> m_Load;

  void teardown() override { m_Load.reset(); }

  void start() {
    TestClusterOptions Options;
    Options.m_Routers = 3;
    Options.m_HasLinks = true;
    Options.m_Adjust = [](Document &Changed) {
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

  /// Requests of the router that the endpoint ran.
  unsigned work(const std::string &Endpoint, const std::string &Router) const {
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
        if (work(Endpoint, Router) == 0)
          return false;
    return true;
  }

  /// Gives the sign, and checks that the last start after it is in time and
  /// that all routers go on serving.
  void checkLeft(const std::function<void()> &GiveSign) {
    CHECK(eventually([this] { return isUsedByAll(); }));
    std::int64_t SignAt = wallClockMillis();
    GiveSign();
    CHECK(eventually([&] {
      return wallClockMillis() > SignAt + LeavingLimitMillis + ObservedMillis;
    }));
    CHECK(m_Load->waitForRounds(20));
    for (const std::string &Endpoint : m_Leaving) {
      std::int64_t Last = m_Cluster->counts(Endpoint).at("last_start_ms");
      UT_PRINT((Endpoint + ": last start " + std::to_string(Last - SignAt) +
                " ms after the sign")
                   .c_str());
      CHECK(Last <= SignAt + LeavingLimitMillis);
    }
  }

  void drain(const std::string &How) {
    for (const std::string &Endpoint : m_Leaving)
      m_Cluster->admin(Endpoint, "/admin/drain", How);
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
    m_Cluster->admin("platform", "/admin/mode", R"({"outage": true})");
  }
};

// Guards against VM lists whose leaving endpoints are not looked at.
TEST(LeavingEndpoint, SignOfTheVMList) {
  start();
  checkLeft([this] { listAsLeaving(); });
}

// Guards against signs that only reach routers with a working platform link,
// and against signs that are not passed on: vm-0 alone sees the VM list, and
// vm-1 can learn of it only by way of vm-2.
TEST(LeavingEndpoint, SignOfTheVMListSeenByOneRouter) {
  start();
  const LinkProxies &Links = m_Cluster->links();
  for (const char *Link :
       {"vm-1>platform", "vm-2>platform", "vm-0>vm-1", "vm-1>vm-0"})
    Links.silence(Link);
  checkLeft([this] { listAsLeaving(); });
}

// Guards against reports that stay with the router that polls.
TEST(LeavingEndpoint, SignOfTheLoadReport) {
  start();
  CHECK(eventually([this] { return isUsedByAll(); }));
  double PolledByOther = m_Cluster->metric("vm-1", "load_reports_polled_total");
  checkLeft([this] { drain(AllInReport); });
  CHECK_EQUAL(PolledByOther,
              m_Cluster->metric("vm-1", "load_reports_polled_total"));
}

// Guards against reports that nobody reads, because the router that polls is
// cut off from the endpoint, but not from its peers.
TEST(LeavingEndpoint, SignOfTheLoadReportNotSeenByOneRouter) {
  for (const char *Router : {"vm-0", "vm-2"}) {
    start();
    CHECK(eventually([this] { return isUsedByAll(); }));
    for (const std::string &Endpoint : m_Leaving)
      m_Cluster->links().silence(Endpoint, {m_Cluster->process(Router).pid()});
    checkLeft([this] { drain(AllInReport); });
    m_Load.reset();
  }
}

// Guards against refusals that only the refused router learns from: the load
// report of the endpoint does not say that it is leaving.
TEST(LeavingEndpoint, SignOfTheAnswer) {
  start();
  checkLeft([this] { drain(OneRefusal); });
}

// Guards against signs that need the platform.
TEST(LeavingEndpoint, SignOfTheLoadReportWithoutPlatform) {
  start();
  stopPlatform();
  checkLeft([this] { drain(AllInReport); });
}

TEST(LeavingEndpoint, SignOfTheAnswerWithoutPlatform) {
  start();
  stopPlatform();
  checkLeft([this] { drain(OneRefusal); });
}

PARSLEYRING_TEST_MAIN
