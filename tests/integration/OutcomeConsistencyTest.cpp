#include "support/CallerThreads.h"
#include "support/Eventually.h"
#include "support/ExecutionLog.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static constexpr unsigned Seed = 20611;
static constexpr unsigned Routers = 3;
static constexpr unsigned Callers = 40;
/// Number of faults; each lasts until RequestsPerFault requests have ended.
static constexpr unsigned Faults = 24;
static constexpr unsigned RequestsPerFault = 60;
static constexpr std::chrono::milliseconds ReconnectPause{10};
/// Longest wait for these requests, since a fault may block all callers.
static constexpr std::chrono::milliseconds FaultLimit{1000};

TEST_GROUP(OutcomeConsistency) {
  struct Sent {
    std::string m_Router;
    unsigned m_Run = 0; ///< Number of the router's run (process).
    std::string m_Path;
    std::string m_Key;
    bool m_IsIdempotent = false;
    HttpAnswer m_Answer;
  };

  std::unique_ptr<TestCluster> m_Cluster;
  std::mutex m_Mutex;
  std::vector<Sent> m_Sent;
  std::array<std::atomic<unsigned>, Routers> m_Runs{};
  std::set<std::pair<std::string, unsigned>> m_EndedRuns;
  /// Incarnations whose records and answers may be missing.
  std::set<std::uint64_t> m_Killed;
  std::atomic<bool> m_IsOver{false};
  std::atomic<std::size_t> m_Ended{0};

  void start() {
    TestClusterOptions Options;
    Options.m_Routers = Routers;
    Options.m_ServiceDelayMillis = 100;
    Options.m_TokenMicros = 1000;
    Options.m_Slots = 2;
    Options.m_RouterSettings = "[limits]\ndrain_lead_ms = 0\n"
                               "claim_timeout_ms = 500\n"
                               "first_token_timeout_ms = 500\n";
    Options.m_AdjustDocument = [](Document &Changed) {
      Changed.m_Pools[0].m_QueueLimit = 4;
      Changed.m_Pools[0].m_RequestTimeoutMillis = 3000;
      Changed.m_Pools[1].m_RequestTimeoutMillis = 1000;
      for (EndpointSpec &Service : Changed.m_Pools[1].m_Endpoints)
        Service.m_Slots = 16;
    };
    m_Cluster = std::make_unique<TestCluster>(Options);
  }

  void teardown() override { m_Cluster.reset(); }

  HttpRequest randomCall(std::mt19937 & Random, Sent & Each) {
    static const std::vector<std::string> Accounts = {
        "key-large", "key-large", "key-large", "key-large",
        "key-large", "key-large", "key-slow",  "key-narrow"};
    HttpRequest Call{"POST", "/services/registry/fees", "{}"};
    std::string Account = pick(Random, Accounts);
    Call.m_Headers["Authorization"] = "Bearer " + Account;
    unsigned Kind = Random() % 8;
    Each.m_IsIdempotent = Kind < 3;
    if (Kind < 2) {
      Call.m_Path = "/v1/completions";
      Call.m_Body = Json{
          {"model", "ledger"},
          {"prompt", "p"},
          {"max_tokens", 1 + Random() % 40},
          {"stream",
           Kind == 0}}.dump();
    } else if (Kind == 2) {
      Call.m_Path = "/services/registry/seals";
    } else if (Kind < 5) {
      // Several callers use each key, through different routers.
      // Keys of different accounts are different keys.
      Each.m_Key = Account + "-" + std::to_string(m_Ended / 40) + "-" +
                   std::to_string(Random() % 4);
      Call.m_Headers["Idempotency-Key"] = Each.m_Key;
    }
    return Call;
  }

  void callRepeatedly(unsigned Caller) {
    std::mt19937 Random(Seed + 1 + Caller);
    while (!m_IsOver) {
      Sent Each;
      // Each caller uses two routers, so that a third of the callers can
      // continue while one router is paused.
      unsigned Router = (Caller + Random() % 2) % Routers;
      Each.m_Router = "vm-" + std::to_string(Router);
      Each.m_Run = m_Runs[Router];
      HttpRequest Call = randomCall(Random, Each);
      Each.m_Path = Call.m_Path;
      Each.m_Answer = m_Cluster->send(Each.m_Router, Call);
      if (Each.m_Answer.m_IsConnectionRefused) {
        std::this_thread::sleep_for(ReconnectPause);
        continue;
      }
      std::lock_guard<std::mutex> Guard(m_Mutex);
      m_Sent.push_back(std::move(Each));
      ++m_Ended;
    }
  }

  void waitForRequests() {
    std::size_t Until = m_Ended + RequestsPerFault;
    eventually([&] { return m_Ended >= Until; }, FaultLimit);
  }

  void setPlatform(const Json &Mode) {
    m_Cluster->postAdmin("platform", "/admin/mode", Mode.dump());
  }

  static std::string pick(std::mt19937 & Random,
                          const std::vector<std::string> &Names) {
    return Names[Random() % Names.size()];
  }

  /// A service with calls in progress, so that a fault affects some calls.
  std::string busyService() {
    std::string Busy = TestCluster::serviceNames().front();
    auto IsBusy = [&](const std::string &Name) {
      Json Load = Json::parse(m_Cluster->send(Name, {"GET", "/load"}).m_Body);
      return Load.at("running").get<unsigned>() >= 2;
    };
    eventually(
        [&] {
          for (const std::string &Name : TestCluster::serviceNames())
            if (IsBusy(Name)) {
              Busy = Name;
              return true;
            }
          return false;
        },
        FaultLimit);
    return Busy;
  }

  /// Incarnation of the router's current process.
  std::uint64_t incarnation(const std::string &Router) {
    std::string Output = m_Cluster->process(Router).output();
    return Json::parse(Output.substr(0, Output.find('\n')))
        .at("incarnation")
        .get<std::uint64_t>();
  }

  void restartRouter(unsigned Router) {
    std::string Name = "vm-" + std::to_string(Router);
    m_EndedRuns.emplace(Name, m_Runs[Router]++);
    m_Cluster->startRouter(Router);
    m_Cluster->waitUntilReady(Name);
  }

  void killRouter(unsigned Router) {
    std::string Name = "vm-" + std::to_string(Router);
    m_Killed.insert(incarnation(Name));
    m_Cluster->process(Name).kill();
    restartRouter(Router);
  }

  void replaceRouter(unsigned Router) {
    ProcessRunner &Replaced =
        m_Cluster->process("vm-" + std::to_string(Router));
    Replaced.terminate();
    LONGS_EQUAL(0, Replaced.waitForExit().value_or(-1));
    restartRouter(Router);
  }

  /// Begins a fault and returns a function that ends the fault. The kinds of
  /// faults occur in this order.
  std::function<void()> beginFault(unsigned Number, std::mt19937 &Random) {
    unsigned Router = Random() % Routers;
    std::string Name = "vm-" + std::to_string(Router);
    std::string Engine = pick(Random, TestCluster::engineNames());
    std::string Service = pick(Random, TestCluster::serviceNames());
    switch (Number % 8) {
    case 0:
      killRouter(Router);
      return [] {};
    case 1:
      m_Cluster->process(Name).pause();
      return [this, Name] { m_Cluster->process(Name).resume(); };
    case 2:
      m_Cluster->restartEndpoint(Engine);
      m_Cluster->restartEndpoint(busyService());
      return [] {};
    case 3:
      m_Cluster->postAdmin(Engine, "/admin/freeze");
      m_Cluster->postAdmin(busyService(), "/admin/freeze");
      return [] {};
    case 4:
      setPlatform({{"outage", true}});
      return [this] { setPlatform({{"outage", false}}); };
    case 5:
      setPlatform({{"slow_ms", 300}, {"lost_answers", 5}});
      return [this] { setPlatform({{"slow_ms", 0}, {"lost_answers", 0}}); };
    case 6:
      m_Cluster->postAdmin(Engine, "/admin/drain");
      m_Cluster->postAdmin(Service, "/admin/drain");
      return [this, Engine, Service] {
        m_Cluster->restartEndpoint(Engine);
        m_Cluster->restartEndpoint(Service);
      };
    default:
      replaceRouter(Router);
      return [] {};
    }
  }

  /// Runs all faults; each ends only after the next has begun.
  void runFaults() {
    std::mt19937 Random(Seed);
    std::function<void()> EndPrevious = [] {};
    for (unsigned Number = 0; Number < Faults; ++Number) {
      std::function<void()> End = beginFault(Number, Random);
      waitForRequests();
      EndPrevious();
      EndPrevious = End;
      waitForRequests();
    }
    EndPrevious();
    waitForRequests();
  }

  /// Number of outcome records of all routers, by request id.
  std::map<std::string, unsigned> recordedOutcomes() {
    std::map<std::string, unsigned> Records;
    for (const std::string &Name : m_Cluster->routerNames()) {
      std::istringstream Lines(m_Cluster->outputOf(Name));
      for (std::string Line; std::getline(Lines, Line);)
        if (Line.find("\"kind\":\"outcome\"") != std::string::npos)
          ++Records[Json::parse(Line).at("request").get<std::string>()];
    }
    return Records;
  }

  /// Each request with an outcome record has exactly one record and one answer,
  /// unless the router was killed. Requests on a connection that a stopping
  /// router never read from have no record.
  void checkAnswersAgainstRecords() {
    std::map<std::string, unsigned> Answered;
    for (const Sent &Each : m_Sent)
      if (Each.m_Answer.m_Status != 0)
        ++Answered[Each.m_Answer.header("X-Request-Id")];
    for (const auto &[Id, Times] : recordedOutcomes()) {
      if (m_Killed.count(parseOwnedId("req", Id)->m_Owner.m_Number))
        continue;
      LONGS_EQUAL_TEXT(1, Times, Id.c_str());
      LONGS_EQUAL_TEXT(1, Answered[Id], Id.c_str());
    }
  }

  void checkAnswersAgainstExecutions() {
    ExecutionLog Log(*m_Cluster);
    std::map<std::string, unsigned> Outcomes;
    for (const Sent &Each : m_Sent) {
      bool MayBeMissing = m_EndedRuns.count({Each.m_Router, Each.m_Run}) > 0;
      std::string Id = Each.m_Answer.header("X-Request-Id");
      if (Each.m_Answer.m_Status == 0) {
        std::string Text = Each.m_Router + " sent no complete answer to " +
                           Each.m_Path + "; received: " + Each.m_Answer.m_Body;
        CHECK_TEXT(MayBeMissing, Text.c_str());
        continue;
      }
      STRCMP_EQUAL("", findOutcomeError(Each.m_Answer, Log).c_str());
      if (!Each.m_IsIdempotent)
        CHECK_TEXT(Log.countForRequest(Id) <= 1, Id.c_str());
      if (!Each.m_Key.empty())
        CHECK_TEXT(Log.countForKey(Each.m_Key) <= 1, Each.m_Key.c_str());
      ++Outcomes[std::to_string(Each.m_Answer.m_Status) + " " +
                 Each.m_Answer.header("X-Outcome")];
    }
    for (const auto &[Outcome, Count] : Outcomes)
      std::cout << Outcome << ": " << Count << "\n";
    // The test is only meaningful if each kind of outcome occurs.
    for (const char *Expected : {"200 completed", "429 not-run", "503 not-run"})
      CHECK_TEXT(Outcomes[Expected] > 0, Expected);
    CHECK(Outcomes["409 unknown"] + Outcomes["504 unknown"] > 0);
  }
};

// Guards against executed requests that were reported as not-run, against
// requests with no outcome or with two, and against calls that run twice, while
// all kinds of faults occur and overlap.
TEST(OutcomeConsistency, OutcomesAgreeWithExecutions) {
  start();
  {
    CallerThreads Threads;
    for (unsigned Caller = 0; Caller < Callers; ++Caller)
      Threads.add([this, Caller] { callRepeatedly(Caller); });
    // Ends the calls: is destroyed before Threads, whose destructor waits for
    // the callers.
    std::unique_ptr<void, std::function<void(void *)>> End(
        this, [this](void *) { m_IsOver = true; });
    runFaults();
  }
  checkAnswersAgainstExecutions();
  checkAnswersAgainstRecords();
}

PARSLEYRING_TEST_MAIN
