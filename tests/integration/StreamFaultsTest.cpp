#include "emulator/TokenText.h"
#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static const std::string Prompt = "a fault while the answer is on its way";
static constexpr unsigned Tokens = 120;

TEST_GROUP(StreamFaults) {
  std::unique_ptr<TestCluster> m_Cluster;

  void start(const TestClusterOptions &Options = {}) {
    m_Cluster = std::make_unique<TestCluster>(Options);
  }

  /// Streams a completion and runs Fault after the first tokens. The answer
  /// must nevertheless be complete and have an end event.
  void checkCompleteDuring(const std::function<void()> &Fault) {
    bool HasFault = false;
    HttpRequest Call{"POST", "/v1/completions",
                     Json{{"model", "ledger"},
                          {"prompt", Prompt},
                          {"max_tokens", Tokens},
                          {"stream", true}}
                         .dump()};
    Call.m_OnChunk = [&](std::string_view) {
      if (!HasFault)
        Fault();
      return HasFault = true;
    };
    HttpAnswer Answer = m_Cluster->send("vm-0", Call);
    LONGS_EQUAL(200, Answer.m_Status);
    std::vector<std::string> Events = eventData(Answer.m_Body);
    CHECK(Events.size() >= 2);
    STRCMP_EQUAL("[DONE]", Events.back().c_str());
    Events.pop_back();
    std::string Text;
    for (const std::string &Event : Events)
      Text += Json::parse(Event).at("choices").at(0).at("text");
    STRCMP_EQUAL(answerText(Prompt, Tokens).c_str(), Text.c_str());
    STRCMP_EQUAL(
        "completed",
        Json::parse(Events.back()).at("outcome").get<std::string>().c_str());
    LONGS_EQUAL(Tokens + 1, Events.size());
  }

  /// Waits for an engine of the stage that is computing, and returns its name.
  std::string runningEngine(unsigned Stage) {
    std::string Found;
    CHECK(eventually([&] {
      for (const std::string Domain : {"a", "b"}) {
        std::string Name = "engine-" + Domain + std::to_string(Stage);
        HttpAnswer Load = sendHttp(m_Cluster->address(Name), {"GET", "/load"});
        if (Json::parse(Load.m_Body).at("running") != 0)
          Found = Name;
      }
      return !Found.empty();
    }));
    return Found;
  }
};

// Guards against incomplete answers after an engine of a stage was killed.
TEST(StreamFaults, EngineKilled) {
  for (unsigned Stage = 0; Stage < 3; ++Stage) {
    start();
    checkCompleteDuring(
        [&] { m_Cluster->process(runningEngine(Stage)).kill(); });
  }
}

// Guards against answers that wait forever for a frozen connection while new
// connections work, or for a paused engine.
TEST(StreamFaults, EngineFrozenOrPaused) {
  for (unsigned Stage = 0; Stage < 3; ++Stage) {
    start();
    checkCompleteDuring(
        [&] { m_Cluster->postAdmin(runningEngine(Stage), "/admin/freeze"); });
    checkCompleteDuring(
        [&] { m_Cluster->process(runningEngine(Stage)).pause(); });
  }
}

// Guards against delivering tokens of engines that skip, repeat or reorder
// layers.
TEST(StreamFaults, WrongHopsAreNotDelivered) {
  for (const std::string Kind : {"skip", "repeat", "reorder"}) {
    TestClusterOptions Options;
    Options.m_EmulatorFlags["engine-a1"] = {"--wrong-hops", Kind,
                                            "--wrong-from", "7"};
    start(Options);
    CHECK(eventually([&] {
      checkCompleteDuring([] {});
      return m_Cluster->metric("vm-0", "tokens_rejected_hops_total") >= 1;
    }));
  }
}

// Guards against a leaving engine that keeps getting new work, and against
// streams that are aborted because their engine is leaving.
TEST(StreamFaults, LeavingEngineFinishesItsStreams) {
  start();
  checkCompleteDuring(
      [&] { m_Cluster->postAdmin(runningEngine(0), "/admin/drain"); });
  std::string Leaving;
  for (const std::string Name : {"engine-a0", "engine-b0"}) {
    HttpAnswer Load = sendHttp(m_Cluster->address(Name), {"GET", "/load"});
    if (Json::parse(Load.m_Body).at("draining") == true)
      Leaving = Name;
  }
  CHECK(eventually([&] {
    unsigned Before = m_Cluster->counts(Leaving).at("refusals");
    for (int Round = 0; Round < 8; ++Round)
      for (const std::string &Router : m_Cluster->routerNames())
        LONGS_EQUAL(200, m_Cluster->complete(Router, Prompt, 1).m_Status);
    return m_Cluster->counts(Leaving).at("refusals") == Before;
  }));
}

PARSLEYRING_TEST_MAIN
