#include "emulator/TokenText.h"
#include "support/BackgroundLoad.h"
#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static const std::string Prompt = "which stalls are free on market day";

/// Results of requests as seen by their callers.
struct CallerLog {
  std::mutex m_Mutex;
  unsigned m_Completed = 0;
  std::vector<std::string> m_NotRun; ///< Ids of refused requests.
  /// Descriptions of unexpected results.
  std::vector<std::string> m_Unexpected{};

  void addResult(const std::string &Router, const HttpAnswer &Answer,
                 bool IsComplete) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (Answer.m_Status == 200 && IsComplete)
      ++m_Completed;
    else if (Answer.m_Status == 503 && Answer.header("X-Outcome") == "not-run")
      m_NotRun.push_back(Answer.header("X-Request-Id"));
    else if (!Answer.m_IsConnectionRefused)
      m_Unexpected.push_back(Router + " status " +
                             std::to_string(Answer.m_Status) + " " +
                             Answer.m_Body.substr(0, 200));
  }
};

TEST_GROUP(Shutdown) {
  std::unique_ptr<TestCluster> m_Cluster;
  CallerLog m_Log;

  void start(const TestClusterOptions &Options) {
    m_Cluster = std::make_unique<TestCluster>(Options);
  }

  /// Returns false if the router refused the request, so that the caller should
  /// try another router; true otherwise.
  bool call(unsigned Caller, const std::string &Router) {
    static constexpr unsigned Tokens = 60;
    bool IsCompletion = Caller % 2 == 0;
    HttpAnswer Answer =
        IsCompletion
            ? m_Cluster->complete(Router, Prompt, Tokens, Caller % 4 == 0)
            : m_Cluster->send(Router, {"POST", "/services/registry/fees"});
    bool IsComplete = true;
    if (Answer.m_Status == 200 && IsCompletion)
      IsComplete =
          completedText(Answer, Caller % 4 == 0) == answerText(Prompt, Tokens);
    m_Log.addResult(Router, Answer, IsComplete);
    return !Answer.m_IsConnectionRefused && Answer.m_Status != 503;
  }

  /// Empty if the stream has no end event with outcome completed.
  static std::string completedText(const HttpAnswer &Answer, bool IsStreamed) {
    if (!IsStreamed)
      return Json::parse(Answer.m_Body).at("choices").at(0).at("text");
    std::vector<std::string> Events = eventData(Answer.m_Body);
    if (Events.size() < 2 || Events.back() != "[DONE]" ||
        Json::parse(Events[Events.size() - 2]).value("outcome", "") !=
            "completed")
      return {};
    std::string Text;
    for (std::size_t Index = 0; Index + 2 < Events.size(); ++Index)
      Text += Json::parse(Events[Index]).at("choices").at(0).at("text");
    return Text;
  }

  int readiness(const std::string &Router) const {
    return sendHttp(m_Cluster->address(Router), {"GET", "/readyz"}).m_Status;
  }

  void checkNothingUnexpected() {
    for (const std::string &Wrong : m_Log.m_Unexpected)
      UT_PRINT(Wrong.c_str());
    LONGS_EQUAL(0, m_Log.m_Unexpected.size());
  }

  /// Fails if a request was aborted or wrongly refused: requests refused as
  /// not-run must not have been executed, and executed requests must have been
  /// answered.
  void checkLog() {
    checkNothingUnexpected();
    Json Ran;
    for (const std::string &Name : TestCluster::serviceNames())
      Ran.update(m_Cluster->counts(Name).at("keys"));
    for (const std::string &Name : TestCluster::engineNames())
      Ran.update(m_Cluster->counts(Name).at("requests"));
    for (const std::string &Id : m_Log.m_NotRun) {
      CHECK(!Id.empty());
      CHECK(!Ran.contains(Id));
    }
    LONGS_EQUAL(m_Log.m_Completed, Ran.size());
  }
};

// Guards against a shutdown that aborts requests, that the load balancer does
// not see, or that refuses requests which the router may still serve.
TEST(Shutdown, RequestsInProgressComplete) {
  TestClusterOptions Options;
  Options.m_RouterSettings = "[limits]\ndrain_lead_ms = 1500\n";
  Options.m_ServiceDelayMillis = 4000;
  start(Options);
  BackgroundLoad Load(6, [this](unsigned Caller) { call(Caller, "vm-0"); });
  CHECK(eventually([this] {
    return m_Cluster->serviceTotal("executions") >= 3 &&
           m_Cluster->engineTotal("starts") >= 6;
  }));
  LONGS_EQUAL(200, readiness("vm-0"));
  m_Cluster->process("vm-0").terminate();
  // The signal and the probe race; the limit allows only for the delivery of
  // the signal.
  CHECK(eventually([this] { return readiness("vm-0") != 200; },
                   std::chrono::milliseconds(500)));
  LONGS_EQUAL(503, readiness("vm-0"));
  LONGS_EQUAL(200, m_Cluster->complete("vm-0", Prompt, 2).m_Status);
  HttpAnswer Refused;
  CHECK(eventually([&] {
    Refused = m_Cluster->complete("vm-0", Prompt, 2);
    return Refused.m_Status != 200;
  }));
  LONGS_EQUAL(503, Refused.m_Status);
  STRCMP_EQUAL("not-run", Refused.header("X-Outcome").c_str());
  m_Cluster->process("vm-0").terminate();
  LONGS_EQUAL(0, m_Cluster->process("vm-0").waitForExit().value_or(-1));
  Load.stop();
  CHECK(!m_Log.m_NotRun.empty());
  checkNothingUnexpected();
  // At least the service calls in progress at the signal are completed.
  CHECK(m_Log.m_Completed >= 3);
  LONGS_EQUAL(200, m_Cluster->complete("vm-1", Prompt, 2).m_Status);
}

// Guards against rolling replacements that lose, abort or wrongly refuse
// requests.
TEST(Shutdown, RollingReplacement) {
  TestClusterOptions Options;
  Options.m_Routers = 3;
  // Calls take longer than the drain lead, so that some are in progress when a
  // router stops accepting requests.
  Options.m_RouterSettings = "[limits]\ndrain_lead_ms = 300\n";
  Options.m_ServiceDelayMillis = 800;
  start(Options);
  std::vector<std::string> Names = m_Cluster->routerNames();
  std::atomic<unsigned> Lost{0};
  BackgroundLoad Load(8, [&](unsigned Caller) {
    // Consecutive requests start at different routers.
    static constexpr unsigned MaxRounds = 5;
    static std::atomic<unsigned> Next{0};
    unsigned First = Next++;
    for (unsigned Try = 0; Try < MaxRounds * Names.size(); ++Try) {
      const std::string &Router = Names[(First + Try) % Names.size()];
      // Half of the callers do not check the readiness, as behind a load
      // balancer that reacts late.
      if (Caller < 4 && readiness(Router) != 200)
        continue;
      if (call(Caller, Router))
        return;
    }
    ++Lost;
  });
  CHECK(Load.waitForCalls(2));
  for (unsigned Index = 0; Index < Names.size(); ++Index) {
    m_Cluster->process(Names[Index]).terminate();
    LONGS_EQUAL(0, m_Cluster->process(Names[Index]).waitForExit().value_or(-1));
    CHECK(Load.waitForCalls(2));
    m_Cluster->startRouter(Index);
    m_Cluster->waitUntilReady(Names[Index]);
    CHECK(Load.waitForCalls(2));
  }
  Load.stop();
  LONGS_EQUAL(0, Lost);
  checkLog();
}

// Guards against failures of requests in progress when VMs join.
TEST(Shutdown, RoutersJoinUnderLoad) {
  TestClusterOptions Options;
  Options.m_Routers = 4;
  Options.m_StartedRouters = 1;
  start(Options);
  BackgroundLoad Load(6, [this](unsigned Caller) { call(Caller, "vm-0"); });
  for (unsigned Index = 1; Index < 4; ++Index) {
    CHECK(Load.waitForCalls(1));
    m_Cluster->startRouter(Index);
    m_Cluster->waitUntilReady("vm-" + std::to_string(Index));
  }
  CHECK(eventually(
      [this] { return m_Cluster->metric("vm-0", "peers_alive") == 3; }));
  CHECK(Load.waitForCalls(1));
  Load.stop();
  LONGS_EQUAL(0, m_Log.m_NotRun.size());
  checkLog();
}

PARSLEYRING_TEST_MAIN
