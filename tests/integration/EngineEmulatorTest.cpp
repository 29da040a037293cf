#include "emulator/TokenText.h"
#include "support/Eventually.h"
#include "support/ProcessRunner.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

/// Three stages of one layer each.
TEST_GROUP(EngineEmulator) {
  std::vector<std::unique_ptr<ProcessRunner>> m_Engines;
  std::vector<std::string> m_Addresses;
  Json m_Stages = Json::array();

  void start(const std::vector<std::vector<std::string>> &Flags) {
    for (std::size_t Stage = 0; Stage < 3; ++Stage) {
      std::string Name = "e" + std::to_string(Stage);
      std::vector<std::string> Arguments = {"engine",
                                            "--listen",
                                            "127.0.0.1:0",
                                            "--endpoint",
                                            Name,
                                            "--first-layer",
                                            std::to_string(Stage),
                                            "--end-layer",
                                            std::to_string(Stage + 1),
                                            "--token-micros",
                                            "1000"};
      Arguments.insert(Arguments.end(), Flags[Stage].begin(),
                       Flags[Stage].end());
      m_Engines.push_back(
          std::make_unique<ProcessRunner>("parsleyring-emulator", Arguments));
      m_Addresses.push_back(m_Engines.back()->waitForLine("listening"));
      m_Stages.push_back({{"endpoint", Name},
                          {"address", m_Addresses.back()},
                          {"first_layer", Stage},
                          {"end_layer", Stage + 1}});
    }
  }

  HttpRequest completionRequest(unsigned MaxTokens,
                                const std::vector<std::string> &Delivered) {
    Json Body = {{"model", "m"},
                 {"prompt", "some prompt"},
                 {"max_tokens", MaxTokens},
                 {"stream", true},
                 {"pipeline",
                  {{"request", "r"},
                   {"epoch", 1},
                   {"stages", m_Stages},
                   {"delivered", Delivered},
                   {"position", Delivered.size()}}}};
    return {"POST", "/v1/completions", Body.dump()};
  }

  std::vector<Json> complete(unsigned MaxTokens,
                             const std::vector<std::string> &Delivered = {}) {
    HttpAnswer Answer =
        sendHttp(m_Addresses[0], completionRequest(MaxTokens, Delivered));
    LONGS_EQUAL(200, Answer.m_Status);
    std::vector<std::string> Data = eventData(Answer.m_Body);
    CHECK(!Data.empty());
    STRCMP_EQUAL("[DONE]", Data.back().c_str());
    Data.pop_back();
    std::vector<Json> Events;
    for (const std::string &Event : Data)
      Events.push_back(Json::parse(Event));
    return Events;
  }

  Json load(unsigned Stage) {
    return Json::parse(sendHttp(m_Addresses[Stage], {"GET", "/load"}).m_Body);
  }

  Json counts(unsigned Stage) {
    return Json::parse(
        sendHttp(m_Addresses[Stage], {"GET", "/admin/counts"}).m_Body);
  }

  void post(unsigned Stage, const std::string &Path) {
    LONGS_EQUAL(200,
                sendHttp(m_Addresses[Stage], {"POST", Path, "{}"}).m_Status);
  }

  /// Endpoints of the hops of an event, for example "e0 e1 e2 ".
  static std::string hops(const Json &Event) {
    std::string Names;
    for (const Json &Hop : Event.at("hops"))
      Names += Hop.at("endpoint").get<std::string>() + " ";
    return Names;
  }
};

// Guards against resumed answers that differ from uninterrupted answers.
TEST(EngineEmulator, ResumedAnswerContinuesTheText) {
  start({{}, {}, {}});
  std::string Text;
  for (const Json &Event : complete(6))
    Text += Event.at("choices").at(0).at("text");
  STRCMP_EQUAL(answerText("some prompt", 6).c_str(), Text.c_str());
  std::vector<Json> Rest = complete(6, {" a", " b", " c", " d"});
  LONGS_EQUAL(2, Rest.size());
  LONGS_EQUAL(4, Rest[0].at("position").get<int>());
  std::uint64_t Seed = promptSeed("some prompt");
  STRCMP_EQUAL(tokenText(Seed, 4).c_str(),
               Rest[0]["choices"][0]["text"].get<std::string>().c_str());
  STRCMP_EQUAL(
      "length",
      Rest[1]["choices"][0]["finish_reason"].get<std::string>().c_str());
}

// Guards against emulated faults of the layer order that the counts or the
// reported hops of the emulator do not show.
TEST(EngineEmulator, WrongHopsShowFromTheirPosition) {
  start({{"--wrong-hops", "reorder", "--wrong-from", "1"},
         {"--wrong-hops", "skip", "--wrong-from", "2"},
         {"--wrong-hops", "repeat", "--wrong-from", "3"}});
  std::vector<Json> Events = complete(4);
  STRCMP_EQUAL("e0 e1 e2 ", hops(Events[0]).c_str());
  STRCMP_EQUAL("e1 e2 e0 ", hops(Events[1]).c_str());
  STRCMP_EQUAL("e2 e0 ", hops(Events[2]).c_str());
  STRCMP_EQUAL("e2 e2 e0 ", hops(Events[3]).c_str());
  Json Positions = counts(2).at("requests").at("r").at("positions");
  LONGS_EQUAL(1, Positions["2"]["2-3"].get<int>());
  LONGS_EQUAL(2, Positions["3"]["2-3"].get<int>());
  LONGS_EQUAL(2, counts(1).at("tokens").get<int>());
}

// Guards against a refusal by a later stage after the first stage has begun to
// compute.
TEST(EngineEmulator, RefusalOfALaterStageMeansNotRun) {
  start({{}, {}, {}});
  post(2, "/admin/drain");
  HttpAnswer Answer = sendHttp(m_Addresses[0], completionRequest(4, {}));
  LONGS_EQUAL(503, Answer.m_Status);
  Json Error = Json::parse(Answer.m_Body).at("error");
  STRCMP_EQUAL("not-run", Error.at("outcome").get<std::string>().c_str());
  // The refusing first stage is not leaving itself.
  STRCMP_EQUAL("overloaded", Error.at("code").get<std::string>().c_str());
  STRCMP_EQUAL("e2", Error.at("endpoint").get<std::string>().c_str());
  for (unsigned Stage = 0; Stage < 3; ++Stage) {
    LONGS_EQUAL(0, counts(Stage).at("tokens").get<int>());
    LONGS_EQUAL(0, load(Stage).at("running").get<int>());
  }
}

// Guards against slots that stay occupied after callers have disconnected.
TEST(EngineEmulator, ClosingTheConnectionCancelsAtAllStages) {
  start({{}, {}, {}});
  HttpRequest Call = completionRequest(100000, {});
  Call.m_OnChunk = [](std::string_view) { return false; };
  sendHttp(m_Addresses[0], Call);
  CHECK(eventually([&] {
    return load(0)["running"] == 0 && load(1)["running"] == 0 &&
           load(2)["running"] == 0;
  }));
  LONGS_EQUAL(1, counts(0).at("cancels").get<int>());
}

// Guards against a freeze that blocks new connections or lets a frozen one
// close: routers would detect either without a progress timeout.
TEST(EngineEmulator, FreezeSilencesOldStreamsOnly) {
  start({{}, {}, {}});
  std::size_t Chunks = 0;
  HttpRequest Call = completionRequest(100000, {});
  Call.m_Timeout = std::chrono::seconds(3);
  Call.m_OnChunk = [&](std::string_view) {
    if (++Chunks == 1)
      post(0, "/admin/freeze");
    return true;
  };
  HttpAnswer Old = sendHttp(m_Addresses[0], Call);
  LONGS_EQUAL(0, Old.m_Status);
  CHECK(Old.m_Body.find("[DONE]") == std::string::npos);
  LONGS_EQUAL(3, complete(3).size());
}

// Guards against an unbounded queue, and against refused requests that run.
TEST(EngineEmulator, WaitingIsBounded) {
  start({{"--slots", "1"}, {}, {}});
  std::atomic<unsigned> Refused{0};
  std::atomic<unsigned> Served{0};
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 8; ++Caller)
    Callers.emplace_back([&] {
      int Status = sendHttp(m_Addresses[0], completionRequest(50, {})).m_Status;
      Refused += Status == 429;
      Served += Status == 200;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  LONGS_EQUAL(8, Refused + Served);
  CHECK(Served >= 3);
  LONGS_EQUAL(Refused, counts(0).at("refusals").get<unsigned>());
  LONGS_EQUAL(Served * 50, counts(0).at("tokens").get<unsigned>());
}

PARSLEYRING_TEST_MAIN
