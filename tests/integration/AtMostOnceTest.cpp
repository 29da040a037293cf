#include "support/CallerThreads.h"
#include "support/Eventually.h"
#include "support/ExecutionLog.h"
#include "support/FaultProxy.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static constexpr unsigned Routers = 3;
static constexpr unsigned Keys = 8;
static constexpr unsigned Repeats = 2;
static const std::string FeePath = "/services/registry/fees";

struct Sent {
  std::string m_Router;
  std::string m_Key;
  HttpAnswer m_Answer;
};

TEST_GROUP(AtMostOnce) {
  std::unique_ptr<FaultProxy> m_Proxy;
  std::unique_ptr<TestCluster> m_Cluster;
  std::vector<Sent> m_Sent;
  std::mutex m_SentMutex;
  std::set<std::string>
      m_Killed; ///< Killed routers, whose answers may be missing.

  static TestClusterOptions options(unsigned ServiceDelayMillis,
                                    unsigned TimeoutMillis = 2500) {
    TestClusterOptions Options;
    Options.m_Routers = Routers;
    Options.m_ServiceDelayMillis = ServiceDelayMillis;
    Options.m_AdjustDocument = [TimeoutMillis](Document &Changed) {
      Changed.m_Pools[1].m_RequestTimeoutMillis = TimeoutMillis;
    };
    return Options;
  }

  void start(unsigned ServiceDelayMillis = 50, unsigned TimeoutMillis = 2500) {
    m_Cluster = std::make_unique<TestCluster>(
        options(ServiceDelayMillis, TimeoutMillis));
  }

  void freezeServices() {
    for (const std::string &Service : TestCluster::serviceNames())
      m_Cluster->postAdmin(Service, "/admin/freeze");
  }

  void teardown() override { m_Cluster.reset(); }

  /// Sends a non-idempotent call, without an idempotency key if Key is empty.
  HttpAnswer sendFee(const std::string &Router, const std::string &Key) {
    HttpRequest Call{"POST", FeePath, R"({"amount": 3})"};
    if (!Key.empty())
      Call.m_Headers["Idempotency-Key"] = Key;
    HttpAnswer Answer = m_Cluster->send(Router, Call);
    std::lock_guard<std::mutex> Guard(m_SentMutex);
    m_Sent.push_back({Router, Key, Answer});
    return Answer;
  }

  static std::vector<std::string> keys(const std::string &Name) {
    std::vector<std::string> Result;
    for (unsigned Number = 0; Number < Keys; ++Number)
      Result.push_back(Name + "-" + std::to_string(Number));
    return Result;
  }

  /// Sends calls with each key concurrently through all routers, repeatedly,
  /// and runs Fault meanwhile.
  void sendConcurrently(const std::vector<std::string> &Used,
                        const std::function<void()> &Fault) {
    CallerThreads Callers;
    for (const std::string &Key : Used)
      for (const std::string &Router : m_Cluster->routerNames())
        Callers.add([this, Key, Router] {
          for (unsigned Time = 0; Time < Repeats; ++Time)
            sendFee(Router, Key);
        });
    Fault();
  }

  std::size_t executions() {
    return ExecutionLog(*m_Cluster).countsByKey().size();
  }

  void waitForExecutions(std::size_t Count) {
    CHECK(eventually([&] { return executions() >= Count; }));
  }

  /// Empty if no key was executed twice and all answers agree with the
  /// executions and with each other; otherwise describes the first violation.
  std::string findViolation() {
    ExecutionLog Log(*m_Cluster);
    for (const auto &[Key, Times] : Log.countsByKey())
      if (Times > 1)
        return Key + " was executed " + std::to_string(Times) + " times";
    std::map<std::string, std::string> First;
    for (const Sent &Each : m_Sent) {
      if (Each.m_Answer.m_Status == 0 && m_Killed.count(Each.m_Router))
        continue;
      std::string Wrong = findOutcomeError(Each.m_Answer, Log);
      if (!Wrong.empty())
        return Each.m_Key + " at " + Each.m_Router + ": " + Wrong;
      std::string Outcome = Each.m_Answer.header("X-Outcome");
      if (Each.m_Key.empty())
        continue;
      if (Outcome == "completed" && Log.countForKey(Each.m_Key) != 1)
        return Each.m_Key + " is completed, but was not executed once";
      if (Each.m_Answer.m_Status != 200)
        continue;
      std::string &Body =
          First.emplace(Each.m_Key, Each.m_Answer.m_Body).first->second;
      if (Body != Each.m_Answer.m_Body)
        return Each.m_Key + " has different answers: " + Body + " and " +
               Each.m_Answer.m_Body;
    }
    return {};
  }

  void checkNoViolation() { STRCMP_EQUAL("", findViolation().c_str()); }

  void checkAnswer(const HttpAnswer &Answer, int Status, const char *Outcome) {
    LONGS_EQUAL_TEXT(Status, Answer.m_Status, Answer.m_Body.c_str());
    STRCMP_EQUAL(Outcome, Answer.header("X-Outcome").c_str());
  }

  /// Repeats a call whose key was or may have been executed: the router must
  /// return the kept answer or 409, and must not report not-run.
  void checkRepeat(const std::string &Router, const std::string &Key) {
    HttpAnswer Answer = sendFee(Router, Key);
    bool IsKept = Answer.m_Status == 200;
    std::string Seen = Router + ", " + Key + ": status " +
                       std::to_string(Answer.m_Status) + " " + Answer.m_Body;
    CHECK_TEXT(IsKept || Answer.m_Status == 409, Seen.c_str());
    CHECK(Answer.header("X-Outcome") != "not-run");
  }

  void repeatAll(const std::vector<std::string> &Used,
                 const std::vector<std::string> &Through) {
    ExecutionLog Log(*m_Cluster);
    for (const std::string &Key : Used)
      for (const std::string &Router : Through)
        if (Log.countForKey(Key) > 0)
          checkRepeat(Router, Key);
  }

  std::string reserve(const std::string &Router) {
    HttpAnswer Answer = m_Cluster->send(Router, {"POST", "/v1/reservations"});
    LONGS_EQUAL_TEXT(200, Answer.m_Status, Answer.m_Body.c_str());
    return Json::parse(Answer.m_Body).at("key").get<std::string>();
  }

  std::vector<std::string> reserveAll() {
    std::vector<std::string> Reserved;
    for (unsigned Number = 0; Number < Keys; ++Number)
      Reserved.push_back(reserve("vm-" + std::to_string(Number % Routers)));
    return Reserved;
  }

  void setPlatform(const Json &Mode) {
    m_Cluster->postAdmin("platform", "/admin/mode", Mode.dump());
  }

  bool seesPeers(unsigned Count) {
    return m_Cluster->metric("vm-1", "peers_alive") == Count &&
           m_Cluster->metric("vm-2", "peers_alive") == Count;
  }

  /// Pauses vm-0 for longer than each timeout: its peers consider vm-0 dead
  /// after 3.5 s, a claim ends after at most 2.5 s and a call after 2.5 s.
  void pauseBeyondTimeouts() {
    m_Cluster->process("vm-0").pause();
    bool IsDropped = eventually([this] { return seesPeers(Routers - 2); });
    m_Cluster->process("vm-0").resume();
    CHECK(IsDropped);
  }

  /// Checks what is served without the platform, while other calls wait for
  /// claims that need the platform.
  void checkServedWithoutPlatform(const std::string &Name) {
    std::vector<std::string> Reserved = reserveAll();
    std::vector<std::string> Refused;
    for (unsigned Number = 0; Number < 40; ++Number)
      Refused.push_back(Name + "-" + std::to_string(Number));
    CallerThreads Callers;
    for (const std::string &Key : Refused)
      Callers.add([this, Key] { sendFee("vm-0", Key); });
    CHECK(eventually(
        [this] { return m_Cluster->metric("vm-0", "claims_pending") >= 10; }));
    for (const std::string &Key : Reserved)
      checkAnswer(sendFee("vm-0", Key), 200, "completed");
    checkAnswer(sendFee("vm-0", ""), 200, "completed");
    checkAnswer(m_Cluster->send("vm-0", {"PUT", "/services/registry/seals"}),
                200, "completed");
    checkAnswer(m_Cluster->complete("vm-0", "p", 4), 200, "completed");
    Callers.join();
    for (const Sent &Each : m_Sent)
      if (Each.m_Key.compare(0, Name.size(), Name) == 0) {
        checkAnswer(Each.m_Answer, 503, "not-run");
        CHECK_FALSE(Each.m_Answer.header("Retry-After").empty());
        // The claim must have failed, rather than the call's own timeout.
        CHECK(Each.m_Answer.m_Body.find("claim") != std::string::npos);
      }
    checkNoViolation();
  }

  /// Checks that keys whose calls were refused during an outage can be used
  /// afterwards.
  void checkKeysAreUsable(const std::string &Name) {
    for (unsigned Number = 0; Number < 4; ++Number) {
      std::string Key = Name + "-" + std::to_string(Number);
      CHECK(eventually([&] {
        HttpAnswer Answer =
            sendFee("vm-" + std::to_string(Number % Routers), Key);
        return Answer.header("X-Outcome") == "completed";
      }));
      LONGS_EQUAL(1, ExecutionLog(*m_Cluster).countForKey(Key));
    }
    checkNoViolation();
  }
};

// Guards against calls that are executed again, through another VM, when the
// VM that ran them dies, or by the restarted VM.
TEST(AtMostOnce, RouterKilled) {
  start(300);
  m_Killed = {"vm-0"};
  std::vector<std::string> Used = keys("killed");
  sendConcurrently(Used, [this] {
    waitForExecutions(2);
    m_Cluster->process("vm-0").kill();
  });
  repeatAll(Used, {"vm-1", "vm-2"});
  m_Cluster->startRouter(0);
  m_Cluster->waitUntilReady("vm-0");
  repeatAll(Used, {"vm-0"});
  checkNoViolation();
}

// Guards against a VM that, after a pause, runs calls based on expired claims
// or reservations. Claims, calls and reservations are in progress at the
// pauses.
TEST(AtMostOnce, RouterPaused) {
  start(300);
  setPlatform({{"slow_ms", 100}});
  std::vector<std::string> Claiming = keys("claiming");
  sendConcurrently(Claiming, [this] {
    CHECK(eventually(
        [this] { return m_Cluster->metric("vm-0", "claims_pending") > 0; }));
    pauseBeyondTimeouts();
  });
  CHECK(eventually([this] { return seesPeers(Routers - 1); }));
  std::vector<std::string> Used = keys("running");
  std::vector<std::string> Reserved = reserveAll();
  Used.insert(Used.end(), Reserved.begin(), Reserved.end());
  std::size_t Before = executions();
  sendConcurrently(Used, [this, Before] {
    waitForExecutions(Before + 3);
    pauseBeyondTimeouts();
  });
  repeatAll(Claiming, m_Cluster->routerNames());
  repeatAll(Used, m_Cluster->routerNames());
  checkNoViolation();
}

// Guards against calls that run twice or are wrongly reported as not-run when
// one VM cannot reach the platform, or does not receive its answers.
TEST(AtMostOnce, RouterCutOff) {
  TestClusterOptions Options = options(50);
  Options.m_AdjustRouterSettings = [this](const std::string &Router,
                                          std::string &Settings) {
    if (Router != "vm-0")
      return;
    static const std::string Table = "[platform]\naddress = \"";
    std::size_t Begin = Settings.find(Table) + Table.size();
    std::size_t Size = Settings.find('"', Begin) - Begin;
    m_Proxy = std::make_unique<FaultProxy>(Settings.substr(Begin, Size));
    Settings.replace(Begin, Size, m_Proxy->address());
  };
  m_Cluster = std::make_unique<TestCluster>(Options);
  for (const char *Faults :
       {R"({"lose_to_client": true})", R"({"lose_to_server": true})",
        R"({"cut": true})", R"({"delay_ms": 1200})"}) {
    std::vector<std::string> Used = keys(std::to_string(executions()));
    sendConcurrently(Used, [&] { m_Proxy->setFaults(Faults); });
    m_Proxy->heal();
    checkNoViolation();
    repeatAll(Used, m_Cluster->routerNames());
    checkNoViolation();
  }
}

// Guards against services that become unavailable with the platform, against
// late or wrong refusals, and against keys that stay claimed after the outage.
TEST(AtMostOnce, PlatformOutage) {
  start();
  setPlatform({{"outage", true}});
  checkServedWithoutPlatform("outage");
  setPlatform({{"outage", false}});
  checkKeysAreUsable("outage");
}

// Like PlatformOutage, with a platform that answers too late: its writes take
// effect after the callers received not-run.
TEST(AtMostOnce, PlatformSlow) {
  start();
  setPlatform({{"slow_ms", 1500}});
  checkServedWithoutPlatform("slow");
  setPlatform({{"slow_ms", 0}});
  checkKeysAreUsable("slow");
}

// Guards against keys that stay claimed without an owner: the claim's write
// takes effect, its answer is lost, and the caller receives not-run before the
// router reads the claim back.
TEST(AtMostOnce, PlatformSlowAndAnswersLost) {
  start();
  // Reading, writing and reading back take 2.7 s; the claim ends after 2 s.
  setPlatform({{"slow_ms", 900}, {"lost_answers", 1000}});
  checkServedWithoutPlatform("abandoned");
  setPlatform({{"slow_ms", 0}, {"lost_answers", 0}});
  checkKeysAreUsable("abandoned");
}

// Guards against claims that are lost or granted twice when a write to the
// platform takes effect but its answer is lost.
TEST(AtMostOnce, PlatformAnswersLost) {
  start();
  setPlatform({{"lost_answers", 1000}});
  std::vector<std::string> Used = keys("lost");
  sendConcurrently(Used, [] {});
  checkNoViolation();
  setPlatform({{"lost_answers", 0}});
  repeatAll(Used, m_Cluster->routerNames());
  checkNoViolation();
  LONGS_EQUAL(Keys, executions());
}

// Guards against a second dispatch of a call whose service was killed after
// the execution.
TEST(AtMostOnce, ServiceKilledBeforeItsAnswer) {
  // The delay keeps the service from answering before it is killed, also on a
  // slow machine.
  start(20000, 10000);
  for (const std::string &Service : TestCluster::serviceNames()) {
    std::string Key = "died-at-" + Service;
    std::size_t Before = executions();
    HttpAnswer Keyed;
    HttpAnswer Plain;
    CallerThreads Callers;
    Callers.add([&] { Keyed = sendFee("vm-0", Key); });
    Callers.add([&] { Plain = sendFee("vm-1", ""); });
    waitForExecutions(Before + 2);
    for (const std::string &Name : TestCluster::serviceNames())
      m_Cluster->restartEndpoint(Name);
    Callers.join();
    checkAnswer(Keyed, 504, "unknown");
    checkAnswer(Plain, 504, "unknown");
    for (const std::string &Router : m_Cluster->routerNames())
      checkAnswer(sendFee(Router, Key), 409, "unknown");
  }
  checkNoViolation();
}

// Guards against a second dispatch when the connection to the service stops
// transferring data, and against later calls that reuse such a connection.
TEST(AtMostOnce, ServiceConnectionFrozen) {
  start(2000, 5000);
  for (unsigned Number = 0; Number < 2; ++Number)
    checkAnswer(sendFee("vm-0", ""), 200, "completed");
  freezeServices();
  checkAnswer(sendFee("vm-0", ""), 200, "completed");
  std::size_t Before = executions();
  HttpAnswer Keyed;
  CallerThreads Callers;
  Callers.add([&] { Keyed = sendFee("vm-0", "frozen"); });
  waitForExecutions(Before + 1);
  freezeServices();
  checkAnswer(sendFee("vm-1", "frozen"), 409, "unknown");
  checkAnswer(sendFee("vm-0", "next"), 200, "completed");
  Callers.join();
  checkAnswer(Keyed, 504, "unknown");
  for (const std::string &Router : m_Cluster->routerNames())
    checkAnswer(sendFee(Router, "frozen"), 409, "unknown");
  checkNoViolation();
}

// Guards against a reserved key that is executed twice, or that is executed
// after the VM that issued the key has died.
TEST(AtMostOnce, ReservedKeys) {
  start(200);
  std::vector<std::string> Used = reserveAll();
  std::string Unused = reserve("vm-0");
  sendConcurrently(Used, [] {});
  checkNoViolation();
  LONGS_EQUAL(Keys, executions());
  m_Killed = {"vm-0"};
  std::vector<std::string> Interrupted = reserveAll();
  sendConcurrently(Interrupted, [this] {
    waitForExecutions(Keys + 2);
    m_Cluster->process("vm-0").kill();
  });
  m_Cluster->startRouter(0);
  m_Cluster->waitUntilReady("vm-0");
  for (const std::string &Router : m_Cluster->routerNames())
    checkAnswer(sendFee(Router, Unused), 409, "unknown");
  LONGS_EQUAL(0, ExecutionLog(*m_Cluster).countForKey(Unused));
  repeatAll(Interrupted, m_Cluster->routerNames());
  checkNoViolation();
}

PARSLEYRING_TEST_MAIN
