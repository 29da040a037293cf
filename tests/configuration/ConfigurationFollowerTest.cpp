#include "configuration/ConfigurationFollower.h"

#include "configuration/ConfigurationPublisher.h"
#include "support/FakePlatform.h"
#include "support/SampleDocument.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static constexpr std::chrono::seconds WaitTimeout{60};

static Time wallClock() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

/// A follower that records its callbacks.
class Node {
public:
  Node(FakePlatform &Platform, const std::vector<std::string> &Peers,
       std::function<Node *(const std::string &)> Find)
      : m_Follower(options(Platform, Peers, std::move(Find))) {
    m_Follower.start();
  }
  ~Node() { m_Follower.stop(); }

  bool waitFor(ConfigurationVersion Version) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    return m_Changed.wait_for(Lock, WaitTimeout, [&] {
      return !m_Versions.empty() && m_Versions.back() == Version;
    });
  }
  bool waitForRejection() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    return m_Changed.wait_for(Lock, WaitTimeout,
                              [&] { return m_Rejections > 0; });
  }
  std::vector<ConfigurationVersion> versions() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Versions;
  }
  ConfigurationFollower &follower() { return m_Follower; }

private:
  FollowerOptions options(FakePlatform &Platform,
                          const std::vector<std::string> &Peers,
                          std::function<Node *(const std::string &)> Find) {
    FollowerOptions Options;
    Options.m_Platform = &Platform;
    Options.m_StartPeers = Peers;
    Options.m_FetchHead =
        [Find](const std::string &Peer) -> std::optional<std::string> {
      Node *Found = Find(Peer);
      return Found ? std::optional(Found->m_Follower.headJson()) : std::nullopt;
    };
    Options.m_FetchChunk =
        [Find](const std::string &Peer,
               const std::string &Hash) -> std::optional<std::string> {
      Node *Found = Find(Peer);
      return Found ? std::optional(Found->m_Follower.chunk(Hash))
                   : std::nullopt;
    };
    Options.m_OnApplied = [this](ConfigurationVersion Version,
                                 const std::shared_ptr<const Document> &) {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Versions.push_back(Version);
      m_Changed.notify_all();
    };
    Options.m_OnRejected = [this](const ConfigurationRejection &) {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      ++m_Rejections;
      m_Changed.notify_all();
    };
    Options.m_Now = wallClock;
    Options.m_WatchWait = std::chrono::milliseconds(100);
    return Options;
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<ConfigurationVersion> m_Versions;
  unsigned m_Rejections = 0;
  ConfigurationFollower
      m_Follower; // Declared last: its threads use the members above.
};

static Node *findNoPeer(const std::string &) { return nullptr; }

TEST_GROUP(ConfigurationFollower) {
  FakePlatform m_Platform;

  void publish(ConfigurationVersion Base) {
    Document Value = sampleDocument(5);
    Value.m_Accounts[0].m_Share = 1 + double(Base);
    ConfigurationPublisher Publisher(m_Platform, [](Duration) {});
    auto Result = Publisher.publish(
        wallClock(), {Value, Base, "operator", "s" + std::to_string(Base)});
    CHECK(Result.m_Status == PublicationStatus::Published);
  }
};

// Guards against a publication that does not reach the node, or a version that
// is reported twice.
TEST(ConfigurationFollower, FollowsThePlatform) {
  Node One(m_Platform, {}, findNoPeer);
  publish(0);
  CHECK(One.waitFor(1));
  publish(1);
  CHECK(One.waitFor(2));
  CHECK((One.versions() == std::vector<ConfigurationVersion>{1, 2}));
  LONGS_EQUAL(2, One.follower().version());
}

// Guards against a node without a configuration after a start during a platform
// outage, and against a change that does not spread from peer to peer.
TEST(ConfigurationFollower, StartsFromPeersDuringAnOutage) {
  publish(0);
  FakePlatform Unreachable;
  Unreachable.setOutage(true);
  Node First(m_Platform, {}, findNoPeer);
  CHECK(First.waitFor(1));
  auto Find = [&](const std::string &Peer) {
    return Peer == "first" ? &First : nullptr;
  };
  Node Second(Unreachable, {"gone", "first"}, Find);
  CHECK(Second.waitFor(1));
  publish(1);
  CHECK(First.waitFor(2));
  Second.follower().noteAnnouncedVersion("gone", 9);
  Second.follower().noteAnnouncedVersion("first", 2);
  CHECK(Second.waitFor(2));
  CHECK((Second.versions() == std::vector<ConfigurationVersion>{1, 2}));
}

// Guards against a manual change of the platform's values that comes into force
// or stops the follower.
TEST(ConfigurationFollower, ToleratesManualPlatformChanges) {
  publish(0);
  Node One(m_Platform, {}, findNoPeer);
  CHECK(One.waitFor(1));
  m_Platform.put(ConfigurationHeadKey, "{\"version\": 5}");
  CHECK(One.waitForRejection());
  LONGS_EQUAL(1, One.follower().version());
  // A head that is written before its chunks, as by a restore in the wrong
  // order.
  FakePlatform Other;
  Document Value = sampleDocument(7);
  ConfigurationPublisher Publisher(Other, [](Duration) {});
  Publisher.publish(wallClock(), {Value, 0, "operator", "s1"});
  Publisher.publish(wallClock(), {Value, 1, "operator", "s2"});
  m_Platform.put(ConfigurationHeadKey,
                 Other.read(ConfigurationHeadKey)->m_Value);
  EncodedDocument Encoded = encodeDocument(Value);
  for (const auto &[Hash, Text] : Encoded.m_Chunks.texts())
    m_Platform.put(configurationChunkKey(Hash), *Text);
  CHECK(One.waitFor(2));
}

PARSLEYRING_TEST_MAIN
