#include "emulator/TokenText.h"
#include "support/CompletionBatch.h"
#include "support/Eventually.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static constexpr unsigned Callers = 18;
static constexpr unsigned Tokens = 60;
/// Enough that streams are still running when the fault occurs on a busy
/// machine: with 60 tokens, two of six runs beside 12 processes had no stream
/// left to resume.
static constexpr unsigned TokensToResume = 240;
/// Request timeout, longer than a quarantine: on a loaded machine streams may
/// stall, and their engines be quarantined, without a fault.
static constexpr std::uint32_t AmpleMillis = 100000;
static const std::string Prompt = "who may moor at the east quay";

static EndpointSpec engine(const std::string &Name, const std::string &Address,
                           LayerRange Layers, std::uint32_t TokenMicros) {
  EndpointSpec Result;
  Result.m_Name = Name;
  Result.m_Address = Address;
  Result.m_FailureDomain = "fd-a";
  Result.m_Accelerator = "emulated";
  Result.m_Layers = Layers;
  Result.m_TokenMicros = TokenMicros;
  return Result;
}

TEST_GROUP(AnswerCompleteness) {
  std::map<std::string, std::unique_ptr<ProcessRunner>> m_Proxies;
  std::unique_ptr<TestCluster> m_Cluster;

  /// Starts a cluster that reaches the engines in Proxied through proxies.
  void start(const std::vector<std::string> &Proxied = {},
             const std::function<void(Document &)> &Adjust = {}) {
    TestClusterOptions Options;
    Options.m_Slots = 16;
    Options.m_AdjustDocument = [&](Document &Changed) {
      Changed.m_Pools[0].m_RequestTimeoutMillis = AmpleMillis;
      Changed.m_Pools[0].m_RetryBudget = 1;
      for (EndpointSpec &Each : Changed.m_Pools[0].m_Endpoints)
        if (std::count(Proxied.begin(), Proxied.end(), Each.m_Name))
          Each.m_Address = addProxy(Each.m_Name, Each.m_Address);
      if (Adjust)
        Adjust(Changed);
    };
    m_Cluster = std::make_unique<TestCluster>(Options);
  }

  std::string addProxy(const std::string &Name, const std::string &To) {
    auto &Proxy = m_Proxies[Name] = std::make_unique<ProcessRunner>(
        "parsleyring-emulator",
        std::vector<std::string>{"proxy", "--listen", "127.0.0.1:0", "--to",
                                 To});
    return Proxy->waitForLine("listening");
  }

  void setFaults(const std::string &Proxy, const Json &Faults) {
    LONGS_EQUAL(200, sendHttp(m_Proxies.at(Proxy)->waitForLine("admin"),
                              {"POST", "/admin/faults", Faults.dump()})
                         .m_Status);
  }

  double total(const std::string &Counter) {
    double Sum = 0;
    for (const std::string &Router : m_Cluster->routerNames())
      Sum += m_Cluster->metric(Router, Counter + "_total");
    return Sum;
  }

  /// Checks that each caller gets a complete answer although Fault runs during
  /// the streams and, if IsResumed, that streams were resumed.
  void checkCompleteDuring(const std::function<void()> &Fault,
                           bool IsResumed = true) {
    double Before = total("resumes");
    CompletionBatch Batch(*m_Cluster, Callers,
                          IsResumed ? TokensToResume : Tokens);
    bool HasStarted = Batch.waitForChunks(Callers * 4);
    Fault();
    STRCMP_EQUAL("", Batch.problems().c_str());
    CHECK(HasStarted);
    CHECK(!IsResumed || total("resumes") > Before);
  }

  HttpAnswer state(const std::string &Router, const std::string &Request,
                   unsigned From) {
    return m_Cluster->send(
        Router,
        {"GET", "/v1/requests/" + Request + "?from=" + std::to_string(From)});
  }

  /// Starts a stream at vm-0 and closes the connection after some tokens;
  /// returns the number of tokens received.
  unsigned startAndDropStream(unsigned MaxTokens, std::string &Text,
                              std::string &Request) {
    HttpRequest Call{"POST", "/v1/completions",
                     Json{{"model", "ledger"},
                          {"prompt", Prompt},
                          {"max_tokens", MaxTokens},
                          {"stream", true}}
                         .dump()};
    std::string Received;
    Call.m_OnChunk = [&](std::string_view Chunk) {
      Received += Chunk;
      return eventData(Received).size() < 5;
    };
    m_Cluster->send("vm-0", Call);
    unsigned Count = 0;
    for (const std::string &Data : eventData(Received)) {
      Json Event = Json::parse(Data);
      Request = Event.at("id");
      Text += Event.at("choices").at(0).at("text");
      ++Count;
    }
    return Count;
  }
};

// Guards against answers with missing, repeated or reordered tokens when a
// stage is killed during many streams.
TEST(AnswerCompleteness, StageKilled) {
  for (const std::string Name : {"engine-a0", "engine-b1", "engine-a2"}) {
    start();
    checkCompleteDuring([&] { m_Cluster->process(Name).kill(); });
  }
}

// Guards against streams that wait for frozen connections while new connections
// to the same engine work.
TEST(AnswerCompleteness, StageFrozen) {
  start();
  for (const std::string Name : {"engine-a0", "engine-b1", "engine-a2"})
    checkCompleteDuring([&] { m_Cluster->postAdmin(Name, "/admin/freeze"); });
}

// Guards against answers that are incomplete because of a broken or slow link.
TEST(AnswerCompleteness, LinkCutOrSlow) {
  start({"engine-a0", "engine-b1"});
  checkCompleteDuring([&] { setFaults("engine-a0", {{"cut", true}}); });
  checkCompleteDuring([&] {
    setFaults("engine-b1", {{"lose_to_client", true}});
  });
  start({"engine-a0", "engine-b1"});
  checkCompleteDuring([&] { setFaults("engine-b1", {{"delay_ms", 300}}); });
  setFaults("engine-b1", {{"delay_ms", 0}});
  // Fast enough for one stream, too slow for all streams together.
  checkCompleteDuring(
      [&] {
        setFaults("engine-a0", {{"bytes_per_second", 20000}});
      },
      false);
}

// Guards against delivering tokens of an abandoned attempt whose paused engine
// continues later.
TEST(AnswerCompleteness, PausedEngineContinues) {
  start();
  checkCompleteDuring([&] {
    double Before = total("resumes");
    m_Cluster->process("engine-a0").pause();
    eventually([&] { return total("resumes") > Before; });
    m_Cluster->process("engine-a0").resume();
  });
}

// Guards against delivering tokens that an engine sends twice or out of order,
// in the same burst as correct tokens.
TEST(AnswerCompleteness, RepeatedAndReorderedTokens) {
  const std::vector<std::vector<unsigned>> Orders = {
      {0, 1, 2, 4, 3, 5, 6}, {0, 1, 2, 2, 3, 4, 5}, {3, 0, 1, 2, 4, 5, 6}};
  for (const std::vector<unsigned> &Order : Orders) {
    std::string Events;
    for (unsigned Position : Order)
      Events += "data: " +
                Json{{"choices",
                      {{{"index", 0},
                        {"text", tokenText(promptSeed(Prompt), Position)}}}},
                     {"position", Position},
                     {"hops",
                      {{{"endpoint", "engine-s"},
                        {"first_layer", 0},
                        {"end_layer", 24}}}}}
                    .dump() +
                "\n\n";
    ScriptedServer Engine("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                          "\r\n\r\n" +
                              Events,
                          ScriptedServer::End::KeepOpen);
    // The scripted engine has by far the lowest cost, so it is chosen first.
    start({}, [&](Document &Changed) {
      Changed.m_Pools[0].m_Endpoints.push_back(
          engine("engine-s", Engine.address(), {0, 24}, 1));
    });
    HttpAnswer Answer = m_Cluster->complete("vm-0", Prompt, Tokens, true);
    STRCMP_EQUAL("", answerProblem(Answer, Prompt, Tokens, true).c_str());
    CHECK(total("tokens_rejected_position") == 1);
    CHECK(eventually([&] { return total("tokens_dropped_stale_epoch") >= 1; }));
    CHECK(m_Cluster->process("vm-0").output().find("wrong-position") !=
          std::string::npos);
  }
}

// Guards against answers that fail when engines join, and against joined
// engines that get no work.
TEST(AnswerCompleteness, EnginesJoin) {
  start();
  std::vector<std::unique_ptr<ProcessRunner>> Joined;
  std::vector<std::string> Addresses;
  checkCompleteDuring(
      [&] {
        Document Next = m_Cluster->document();
        for (std::uint32_t Stage = 0; Stage < 3; ++Stage) {
          std::string Name = "engine-c" + std::to_string(Stage);
          LayerRange Layers{8 * Stage, 8 * Stage + 8};
          Joined.push_back(std::make_unique<ProcessRunner>(
              "parsleyring-emulator",
              std::vector<std::string>{
                  "engine", "--listen", "127.0.0.1:0", "--endpoint", Name,
                  "--first-layer", std::to_string(Layers.m_First),
                  "--end-layer", std::to_string(Layers.m_End)}));
          Addresses.push_back(Joined.back()->waitForLine("listening"));
          Next.m_Pools[0].m_Endpoints.push_back(
              engine(Name, Addresses.back(), Layers, 1000));
        }
        m_Cluster->publish(Next);
      },
      false);
  CHECK(eventually([&] {
    CompletionBatch Batch(*m_Cluster, Callers, 10);
    STRCMP_EQUAL("", Batch.problems().c_str());
    for (const std::string &Address : Addresses)
      if (Json::parse(sendHttp(Address, {"GET", "/admin/counts"}).m_Body)
              .at("tokens") == 0)
        return false;
    return true;
  }));
}

// Guards against losing the rest of an answer with the caller's connection, and
// against an outcome other than unknown when the VM that owned the request has
// died.
TEST(AnswerCompleteness, RestOfAnswerFromAnotherRouter) {
  start();
  std::string Text;
  std::string Request;
  unsigned From = startAndDropStream(300, Text, Request);
  CHECK(From >= 5);
  Json State;
  CHECK(eventually([&] {
    HttpAnswer Answer = state("vm-1", Request, From);
    State = Json::parse(Answer.m_Body);
    if (Answer.m_Status != 200)
      return false;
    Text += State.at("text").get<std::string>();
    From = State.at("tokens");
    return State.at("state") == "ended";
  }));
  STRCMP_EQUAL("completed", State.at("outcome").get<std::string>().c_str());
  STRCMP_EQUAL(answerText(Prompt, 300).c_str(), Text.c_str());

  Text.clear();
  From = startAndDropStream(300, Text, Request);
  m_Cluster->process("vm-0").kill();
  HttpAnswer Gone = state("vm-1", Request, From);
  LONGS_EQUAL(404, Gone.m_Status);
  STRCMP_EQUAL("unknown", Gone.header("X-Outcome").c_str());
  // A new incarnation of the owner does not know the request either.
  m_Cluster->startRouter(0);
  m_Cluster->waitUntilReady("vm-0");
  for (const std::string &Router : m_Cluster->routerNames())
    STRCMP_EQUAL("unknown",
                 state(Router, Request, From).header("X-Outcome").c_str());
}

// Guards against a stream that stops without an error event when no engine can
// continue it.
TEST(AnswerCompleteness, StreamEndsWithErrorEvent) {
  start({}, [](Document &Changed) {
    Changed.m_Pools[0].m_RequestTimeoutMillis = 3000;
  });
  HttpRequest Call{"POST", "/v1/completions",
                   Json{{"model", "ledger"},
                        {"prompt", Prompt},
                        {"max_tokens", 300},
                        {"stream", true}}
                       .dump()};
  bool HasKilledEngines = false;
  Call.m_OnChunk = [&](std::string_view) {
    for (const char *Name : {"engine-a1", "engine-b1"})
      if (!HasKilledEngines)
        m_Cluster->process(Name).kill();
    return HasKilledEngines = true;
  };
  HttpAnswer Answer = m_Cluster->send("vm-0", Call);
  LONGS_EQUAL(200, Answer.m_Status);
  std::vector<std::string> Events = eventData(Answer.m_Body);
  CHECK(Events.size() >= 3);
  STRCMP_EQUAL("[DONE]", Events.back().c_str());
  Json Error = Json::parse(Events[Events.size() - 2]).at("error");
  STRCMP_EQUAL("failed", Error.at("outcome").get<std::string>().c_str());
  Events.resize(Events.size() - 2);
  std::string Text;
  for (const std::string &Event : Events)
    Text += Json::parse(Event).at("choices").at(0).at("text");
  STRCMP_EQUAL(answerText(Prompt, static_cast<unsigned>(Events.size())).c_str(),
               Text.c_str());
}

PARSLEYRING_TEST_MAIN
