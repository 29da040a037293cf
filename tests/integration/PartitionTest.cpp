#include "emulator/TokenText.h"
#include "support/BackgroundLoad.h"
#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static const std::string Prompt = "which stalls are free on market day";
static constexpr unsigned Tokens = 20;

/// vm-0 and vm-2 are in fd-a, vm-1 and vm-3 in fd-b; each domain has engines
/// for all layers and a service.
TEST_GROUP(Partition) {
  std::unique_ptr<TestCluster> m_Cluster;
  const std::vector<std::string> m_All = {"vm-0", "vm-1", "vm-2", "vm-3"};

  void setup() override {
    TestClusterOptions Options;
    Options.m_Routers = static_cast<unsigned>(m_All.size());
    Options.m_HasLinkProxies = true;
    m_Cluster = std::make_unique<TestCluster>(Options);
    for (const std::string &Router : m_All)
      CHECK(eventually(
          [&] { return m_Cluster->metric(Router, "peers_alive") == 3; }));
  }

  const LinkProxies &links() const { return m_Cluster->links(); }

  std::vector<std::string> routersOf(const std::string &Domain) const {
    std::vector<std::string> Found;
    for (const std::string &Router : m_All)
      if (TestCluster::failureDomainOf(Router) == Domain)
        Found.push_back(Router);
    return Found;
  }

  std::vector<pid_t> processesOf(const std::string &Domain) const {
    std::vector<pid_t> Found;
    for (const std::string &Router : routersOf(Domain))
      Found.push_back(m_Cluster->process(Router).pid());
    for (const auto *Names :
         {&TestCluster::engineNames(), &TestCluster::serviceNames()})
      for (const std::string &Name : *Names)
        if (TestCluster::failureDomainOf(Name) == Domain)
          Found.push_back(m_Cluster->process(Name).pid());
    return Found;
  }

  /// Cuts the domain off from the platform and the other domain, in both
  /// directions.
  void isolate(const std::string &Domain) {
    const std::string Other = Domain == "fd-a" ? "fd-b" : "fd-a";
    for (const std::string &Router : routersOf(Domain)) {
      links().dropTraffic(Router + ">platform");
      for (const std::string &OtherRouter : routersOf(Other)) {
        links().dropTraffic(Router + ">" + OtherRouter);
        links().dropTraffic(OtherRouter + ">" + Router);
      }
    }
    for (const auto *Names :
         {&TestCluster::engineNames(), &TestCluster::serviceNames()})
      for (const std::string &Name : *Names)
        links().dropTraffic(
            Name,
            processesOf(TestCluster::failureDomainOf(Name) == Domain ? Other
                                                                     : Domain));
  }

  bool completes(const std::string &Router) const {
    HttpAnswer Answer = m_Cluster->complete(Router, Prompt, Tokens);
    if (Answer.m_Status != 200) {
      UT_PRINT((Router + " status " + std::to_string(Answer.m_Status) + " " +
                Answer.m_Body)
                   .c_str());
      return false;
    }
    Json Choice = Json::parse(Answer.m_Body).at("choices").at(0);
    return Choice.at("text") == answerText(Prompt, Tokens);
  }

  HttpAnswer callService(const std::string &Router) const {
    return m_Cluster->send(Router, {"GET", "/services/registry/seals"});
  }

  HttpAnswer payFee(const std::string &Router, const std::string &Key) const {
    HttpRequest Call{"POST", "/services/registry/fees", "{}"};
    if (!Key.empty())
      Call.m_Headers["Idempotency-Key"] = Key;
    return m_Cluster->send(Router, Call);
  }

  unsigned executions(const std::string &Key) const {
    unsigned Sum = 0;
    for (const std::string &Name : TestCluster::serviceNames())
      Sum += m_Cluster->counts(Name).at("keys").value(Key, 0U);
    return Sum;
  }

  /// Checks what a domain serves without the platform and the other domain.
  void checkDomainServes(const std::string &Domain) {
    for (const std::string &Router : routersOf(Domain)) {
      LONGS_EQUAL(
          200,
          sendHttp(m_Cluster->address(Router), {"GET", "/readyz"}).m_Status);
      for (int Round = 0; Round < 5; ++Round) {
        CHECK(completes(Router));
        LONGS_EQUAL(200, callService(Router).m_Status);
        LONGS_EQUAL(200, payFee(Router, "").m_Status);
      }
      // A call with a key must not run: the other domain could run a call with
      // the same key.
      HttpAnswer Refused = payFee(Router, "key-of-" + Domain);
      LONGS_EQUAL(503, Refused.m_Status);
      STRCMP_EQUAL("not-run", Refused.header("X-Outcome").c_str());
    }
  }

  void listAsLeaving(const std::string &Endpoint) {
    Json List = {{"vms", Json::array({{{"id", "vm-of-" + Endpoint},
                                       {"address", "127.0.0.1"},
                                       {"failure_domain",
                                        TestCluster::failureDomainOf(Endpoint)},
                                       {"role", "service"},
                                       {"endpoint", Endpoint},
                                       {"state", "leaving"}}})}};
    LONGS_EQUAL(
        200,
        m_Cluster->send("platform", {"PUT", "/v1/kv/platform/vms", List.dump()})
            .m_Status);
  }

  void checkPartition(const std::string &Domain) {
    const std::string Other = Domain == "fd-a" ? "fd-b" : "fd-a";
    BackgroundLoad Load(4, [this](unsigned Caller) {
      if (!completes(m_All[Caller]))
        ++m_Failed;
    });
    CHECK(Load.waitForCalls(3));
    isolate(Domain);
    checkDomainServes(Domain);
    CHECK(Load.waitForCalls(3));
    Load.stop();
    LONGS_EQUAL(0, m_Failed);

    // The other domain still reaches the platform and works as usual.
    const std::string IsolatedRouter = routersOf(Domain)[0],
                      OtherRouter = routersOf(Other)[0];
    LONGS_EQUAL(200, payFee(OtherRouter, "key-of-" + Domain).m_Status);
    Document Next = m_Cluster->document();
    Next.m_Pipelines[0].m_MaxTokens += 1;
    m_Cluster->publish(Next);
    CHECK(eventually([&] {
      return m_Cluster->metric(OtherRouter, "configuration_version") == 2;
    }));
    listAsLeaving(Domain == "fd-a" ? "service-a" : "service-b");
    CHECK(eventually([&] {
      return m_Cluster->metric(OtherRouter, "endpoints_leaving_total") == 1;
    }));
    CHECK_EQUAL(1, m_Cluster->metric(IsolatedRouter, "configuration_version"));
    CHECK(m_Cluster->metric(IsolatedRouter, "endpoints_leaving_total") < 1);
    LONGS_EQUAL(1, executions("key-of-" + Domain));

    // With the platform still unreachable, all updates come from peers.
    links().heal();
    for (const std::string &Router : routersOf(Domain))
      links().dropTraffic(Router + ">platform");
    for (const std::string &Router : routersOf(Domain))
      CHECK(eventually([&] {
        return m_Cluster->metric(Router, "configuration_version") == 2 &&
               m_Cluster->metric(Router, "endpoints_leaving_total") == 1;
      }));
    links().heal();
    for (const std::string &Router : m_All) {
      CHECK(eventually([&] { return payFee(Router, "").m_Status == 200; }));
      CHECK(completes(Router));
      HttpAnswer Repeat;
      CHECK(eventually([&] {
        Repeat = payFee(Router, "key-of-" + Domain);
        return Repeat.m_Status != 503;
      }));
      STRCMP_EQUAL("completed", Repeat.header("X-Outcome").c_str());
    }
    LONGS_EQUAL(1, executions("key-of-" + Domain));
  }

  std::atomic<unsigned> m_Failed{0};
};

// Guards against domains that cannot serve alone, that execute a call again
// which the other domain executed, or that miss updates after the partition.
TEST(Partition, FirstDomainAlone) { checkPartition("fd-a"); }

TEST(Partition, SecondDomainAlone) { checkPartition("fd-b"); }

// Guards against completions and claims that fail because links have a high
// latency and a low bandwidth.
TEST(Partition, DegradedLinks) {
  for (const std::string &Link : links().names())
    if (Link.find('>') != std::string::npos)
      links().setFaults(Link,
                        R"({"delay_ms": 60, "bytes_per_second": 200000})");
  for (const char *Name : {"engine-b0", "engine-b1", "service-b"})
    links().setFaults(Name, R"({"delay_ms": 20, "bytes_per_second": 200000})");
  for (const std::string &Router : m_All) {
    CHECK(completes(Router));
    LONGS_EQUAL(200, callService(Router).m_Status);
    LONGS_EQUAL(200, payFee(Router, "fee-of-" + Router).m_Status);
    LONGS_EQUAL(1, executions("fee-of-" + Router));
    CHECK_EQUAL(3, m_Cluster->metric(Router, "peers_alive"));
  }
}

PARSLEYRING_TEST_MAIN
