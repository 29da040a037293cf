#include "configuration/ConfigurationPublisher.h"
#include "emulator/DrainState.h"
#include "platform/HttpPlatformClient.h"
#include "support/BackgroundLoad.h"
#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

/// Requirement P7: a published version is in force within this time.
static constexpr std::int64_t InForceLimitMillis = 11000;
static const std::string HeadPath = "/v1/kv/config/head";

/// Polls the version in force at all routers until destruction, and detects a
/// version that decreases. A restarted router may begin with an older version.
class VersionMonitor {
public:
  explicit VersionMonitor(const TestCluster &Cluster)
      : m_Cluster(Cluster), m_Routers(Cluster.routerNames()),
        m_Load(static_cast<unsigned>(m_Routers.size()),
               [this](unsigned Index) { poll(m_Routers[Index]); }) {}

  void resetVersion(const std::string &Router) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Versions[Router] = 0;
  }

  double version(const std::string &Router) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto Found = m_Versions.find(Router);
    return Found == m_Versions.end() ? 0 : Found->second;
  }

  /// Waits until the routers have the version, and checks that this takes no
  /// longer than the limit of P7, counted from the call.
  void checkInForce(double Version, const std::vector<std::string> &Routers) {
    std::int64_t Begin = wallClockMillis();
    bool IsInForce = eventually([&] {
      for (const std::string &Router : Routers)
        if (version(Router) < Version)
          return false;
      return true;
    });
    std::int64_t TakenMillis = wallClockMillis() - Begin;
    UT_PRINT(("version " + std::to_string(static_cast<int>(Version)) +
              " in force after " + std::to_string(TakenMillis) + " ms")
                 .c_str());
    CHECK(IsInForce);
    CHECK(TakenMillis <= InForceLimitMillis);
    CHECK(!hasReverted());
  }

  bool hasReverted() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_HasReverted;
  }

  /// Waits until each router was polled Count more times.
  bool waitForPolls(unsigned Count) const { return m_Load.waitForCalls(Count); }

private:
  void poll(const std::string &Router) {
    double Version = m_Cluster.metric(Router, "configuration_version");
    std::lock_guard<std::mutex> Lock(m_Mutex);
    double &Known = m_Versions[Router];
    if (Version < 0)
      return; // The router is not running.
    m_HasReverted |= Version < Known;
    Known = Version;
  }

  const TestCluster &m_Cluster;
  const std::vector<std::string> m_Routers;
  mutable std::mutex m_Mutex;
  std::map<std::string, double> m_Versions;
  bool m_HasReverted = false;
  BackgroundLoad m_Load; ///< Last, since it uses the other members.
};

TEST_GROUP(Configuration) {
  std::unique_ptr<TestCluster> m_Cluster;
  std::unique_ptr<VersionMonitor> m_Monitor;
  const std::vector<std::string> m_All = {"vm-0", "vm-1", "vm-2"};

  void setup() override {
    TestClusterOptions Options;
    Options.m_Routers = 3;
    Options.m_HasLinkProxies = true;
    m_Cluster = std::make_unique<TestCluster>(Options);
    m_Monitor = std::make_unique<VersionMonitor>(*m_Cluster);
  }

  void teardown() override {
    bool HasReverted = m_Monitor->hasReverted();
    m_Monitor.reset();
    m_Cluster.reset();
    CHECK(!HasReverted);
  }

  const LinkProxies &links() const { return m_Cluster->links(); }

  /// The document with one more account.
  Document withAccount(const std::string &Name) const {
    Document Next = m_Cluster->document();
    Next.m_Accounts.push_back({Name, {sha256Hex("key-" + Name)}, 1, 1000, 100});
    return Next;
  }

  void publish(const std::string &Account) {
    m_Cluster->publish(withAccount(Account));
  }

  PublicationResult submit(const Document &Next, ConfigurationVersion Base,
                           const std::string &Submission) {
    HttpPlatformClient Platform(m_Cluster->address("platform"),
                                std::chrono::seconds(5));
    ConfigurationPublisher Publisher(
        Platform, [](Duration Pause) { std::this_thread::sleep_for(Pause); });
    Publication Wanted;
    Wanted.m_Document = Next;
    Wanted.m_BaseVersion = Base;
    Wanted.m_Author = "test";
    Wanted.m_Submission = Submission;
    return Publisher.publish(Time(std::chrono::milliseconds(wallClockMillis())),
                             Wanted);
  }

  bool isKnown(const std::string &Account, const std::string &Router) const {
    HttpRequest Call{"GET", "/services/registry/seals"};
    Call.m_Headers["Authorization"] = "Bearer key-" + Account;
    return sendHttp(m_Cluster->address(Router), Call).m_Status == 200;
  }

  void isolate(const std::string &Router) {
    links().dropTraffic(Router + ">platform");
    for (const std::string &Other : m_All)
      if (Other != Router) {
        links().dropTraffic(Router + ">" + Other);
        links().dropTraffic(Other + ">" + Router);
      }
  }

  std::string head() const {
    HttpPlatformClient Platform(m_Cluster->address("platform"),
                                std::chrono::seconds(5));
    return Platform.read("config/head").value().m_Value;
  }

  void setMode(const std::string &Mode) {
    m_Cluster->postAdmin("platform", "/admin/mode", Mode);
  }

  /// Writes the configuration head directly, without the publisher.
  void setHead(const std::string &Text) {
    LONGS_EQUAL(200,
                m_Cluster->send("platform", {"PUT", HeadPath, Text}).m_Status);
  }

  double rejected(const std::string &Router) const {
    return m_Cluster->metric(Router, "configurations_rejected_total");
  }

  /// Writes the configuration head directly; all routers must reject the head
  /// and keep version 2.
  void checkHeadIsRejected(const std::string &Text) {
    std::map<std::string, double> Before;
    for (const std::string &Router : m_All)
      Before[Router] = rejected(Router);
    setHead(Text);
    for (const std::string &Router : m_All)
      CHECK(eventually([&] { return rejected(Router) > Before[Router]; }));
    CHECK(m_Monitor->waitForPolls(5));
    for (const std::string &Router : m_All)
      CHECK_EQUAL(2, m_Monitor->version(Router));
  }
};

// Guards against publications that take too long, or that change the reported
// version but not the configuration in force.
TEST(Configuration, PublishedVersionIsAppliedEverywhere) {
  for (int Version = 2; Version < 6; ++Version) {
    std::string Account = "late-" + std::to_string(Version);
    publish(Account);
    m_Monitor->checkInForce(Version, m_All);
    for (const std::string &Router : m_All)
      CHECK(isKnown(Account, Router));
  }
}

// Guards against routers that start with an old configuration or with none
// while the platform is unavailable. One of the peers has an old configuration.
TEST(Configuration, RouterThatStartsDuringAnOutageAsksPeers) {
  m_Cluster->process("vm-2").terminate();
  CHECK(m_Cluster->process("vm-2").waitForExit().has_value());
  for (const char *Link : {"vm-0>platform", "vm-0>vm-1", "vm-1>vm-0"})
    links().dropTraffic(Link);
  publish("late");
  m_Monitor->checkInForce(2, {"vm-1"});
  CHECK_EQUAL(1, m_Monitor->version("vm-0"));
  setMode(R"({"outage": true})");
  m_Monitor->resetVersion("vm-2");
  m_Cluster->startRouter(2);
  m_Cluster->waitUntilReady("vm-2");
  CHECK_EQUAL(2, m_Cluster->metric("vm-2", "configuration_version"));
  // vm-0 receives the version through vm-2.
  m_Monitor->checkInForce(2, m_All);
}

// Guards against routers that learn of publications only from the platform.
TEST(Configuration, RouterCutOffFromThePlatformFollowsPeers) {
  links().dropTraffic("vm-1>platform");
  links().cut("vm-2>platform");
  publish("late");
  m_Monitor->checkInForce(2, m_All);
}

// Guards against routers that keep an old version after a partition has ended.
TEST(Configuration, DomainCatchesUpAfterPartition) {
  isolate("vm-1");
  publish("late");
  m_Monitor->checkInForce(2, {"vm-0", "vm-2"});
  publish("later");
  m_Monitor->checkInForce(3, {"vm-0", "vm-2"});
  CHECK_EQUAL(1, m_Monitor->version("vm-1"));
  CHECK(isKnown("large", "vm-1"));
  links().heal();
  m_Monitor->checkInForce(3, m_All);
}

// Guards against a publication that overwrites a concurrent one unnoticed.
TEST(Configuration, OneOfTwoPublishersWins) {
  PublicationResult Results[2];
  std::vector<std::thread> Publishers;
  for (int Index : {0, 1})
    Publishers.emplace_back([&, Index] {
      std::string Name = "operator-" + std::to_string(Index);
      Results[Index] = submit(withAccount(Name), 1, Name);
    });
  for (std::thread &Publisher : Publishers)
    Publisher.join();
  int Winner = Results[0].m_Status == PublicationStatus::Published ? 0 : 1;
  CHECK(Results[Winner].m_Status == PublicationStatus::Published);
  CHECK(Results[1 - Winner].m_Status == PublicationStatus::Conflict);
  CHECK(Results[1 - Winner].m_NewerHead.has_value());
  LONGS_EQUAL(2, Results[1 - Winner].m_NewerHead->m_Version);
  STRCMP_EQUAL(("operator-" + std::to_string(Winner)).c_str(),
               Results[1 - Winner].m_NewerHead->m_Submission.c_str());
  m_Monitor->checkInForce(2, m_All);
  for (const std::string &Router : m_All) {
    CHECK(isKnown("operator-" + std::to_string(Winner), Router));
    CHECK(!isKnown("operator-" + std::to_string(1 - Winner), Router));
  }
}

// Guards against publications that are repeated, or abandoned, because the
// answer to a write that took effect was lost.
TEST(Configuration, LostAnswersOfThePublication) {
  ConfigurationVersion Version = 1;
  for (int Lost = 1; Lost <= 4; ++Lost) {
    setMode(Json{{"lost_answers", Lost}}.dump());
    std::string Name = "lost-" + std::to_string(Lost);
    Document Next = withAccount(Name);
    PublicationResult Result;
    CHECK(eventually([&] {
      Result = submit(Next, Version, Name);
      return Result.m_Status != PublicationStatus::Unknown &&
             Result.m_Status != PublicationStatus::NotPublished;
    }));
    CHECK(Result.m_Status == PublicationStatus::Published);
    LONGS_EQUAL(Version + 1, Result.m_Version);
    Version = Result.m_Version;
    m_Monitor->checkInForce(static_cast<double>(Version), m_All);
    for (const std::string &Router : m_All)
      CHECK(isKnown(Name, Router));
  }
}

// Guards against followers that wait forever on a frozen connection while new
// connections work. All connections to the platform and between routers are
// frozen at once, so that no router can learn the version from a peer.
TEST(Configuration, FrozenConnections) {
  // Each router follows the head and the VM list.
  CHECK(eventually([this] {
    return m_Cluster->counts("platform").value("watches", 0U) >=
           2 * m_All.size();
  }));
  for (const std::string &Link : links().names())
    if (Link.find('>') != std::string::npos)
      links().freeze(Link);
  publish("late");
  m_Monitor->checkInForce(2, m_All);
  CHECK(eventually([this] {
    return m_Cluster->metric("vm-0", "peers_alive") == 2 &&
           m_Cluster->metric("vm-1", "peers_alive") == 2;
  }));
}

// Guards against routers that return to an older version, or that apply a head
// not written by the publisher.
TEST(Configuration, ManuallyWrittenHeadsAreRejected) {
  std::string Old = head();
  publish("late");
  m_Monitor->checkInForce(2, m_All);
  std::string Current = head();
  checkHeadIsRejected(Old);
  Json Changed = Json::parse(Current);
  Changed["author"] = "somebody";
  Changed["chunks"] = Json::parse(Old).at("chunks");
  checkHeadIsRejected(Changed.dump());
  checkHeadIsRejected(R"({"version": 9})");
  checkHeadIsRejected("no JSON");
  // A chunk whose content does not match the hash in its name.
  Changed = Json::parse(Current);
  std::string Hash = sha256Hex("never written");
  Changed["version"] = 3;
  Changed["chunks"][0]["sha256"] = Hash;
  LONGS_EQUAL(200,
              m_Cluster
                  ->send("platform",
                         {"PUT", "/v1/kv/config/chunks/" + Hash, "[policy]\n"})
                  .m_Status);
  checkHeadIsRejected(Changed.dump());
  // A publication that follows the last good head is accepted again.
  setHead(Current);
  publish("later");
  m_Monitor->checkInForce(3, m_All);
  for (const std::string &Router : m_All)
    CHECK(isKnown("late", Router));
}

PARSLEYRING_TEST_MAIN
