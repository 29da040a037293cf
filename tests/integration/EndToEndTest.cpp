#include "emulator/TokenText.h"
#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static const std::string Prompt = "which stalls are free on market day";

/// A streamed completion that occupies a slot until release() is called or the
/// stream ends.
class HeldStream {
public:
  HeldStream(const TestCluster &Cluster, const std::string &Router,
             const std::string &Key)
      : m_Thread([=, &Cluster] {
          HttpRequest Call{
              "POST", "/v1/completions",
              R"({"model":"ledger","prompt":"p","max_tokens":512,"stream":true})"};
          Call.m_Headers["Authorization"] = "Bearer " + Key;
          Call.m_OnChunk = [this](std::string_view) {
            m_HasToken = true;
            return !m_IsReleased;
          };
          sendHttp(Cluster.address(Router), Call);
          m_IsOver = true;
        }) {}

  ~HeldStream() {
    release();
    m_Thread.join();
  }

  void release() { m_IsReleased = true; }

  bool waitForToken() {
    return eventually([this] { return m_HasToken || m_IsOver; }) && m_HasToken;
  }

private:
  std::atomic<bool> m_HasToken{false};
  std::atomic<bool> m_IsReleased{false};
  std::atomic<bool> m_IsOver{false};
  std::thread m_Thread;
};

TEST_GROUP(EndToEnd) {
  std::unique_ptr<TestCluster> m_Cluster;

  void start(const TestClusterOptions &Options = {}) {
    m_Cluster = std::make_unique<TestCluster>(Options);
  }

  /// Text of a streamed answer; checks the positions and the end events.
  std::string streamedText(const HttpAnswer &Answer, unsigned Tokens) {
    LONGS_EQUAL(200, Answer.m_Status);
    std::vector<std::string> Events = eventData(Answer.m_Body);
    LONGS_EQUAL(Tokens + 2, Events.size());
    STRCMP_EQUAL("[DONE]", Events.back().c_str());
    std::string Text;
    for (unsigned Position = 0; Position < Tokens; ++Position) {
      Json Event = Json::parse(Events[Position]);
      LONGS_EQUAL(Position, Event.at("position").get<unsigned>());
      Text += Event.at("choices").at(0).at("text").get<std::string>();
    }
    Json End = Json::parse(Events[Tokens]);
    STRCMP_EQUAL("completed", End.at("outcome").get<std::string>().c_str());
    LONGS_EQUAL(Tokens,
                End.at("usage").at("completion_tokens").get<unsigned>());
    Json Reason = End.at("choices").at(0).at("finish_reason");
    STRCMP_EQUAL("length", Reason.get<std::string>().c_str());
    return Text;
  }

  /// Computations of a request at all engines, by position and layer range.
  std::map<std::string, std::map<std::string, unsigned>> computed(
      const std::string &Request) {
    std::map<std::string, std::map<std::string, unsigned>> Sum;
    for (const std::string &Name : TestCluster::engineNames()) {
      Json Requests = m_Cluster->counts(Name).at("requests");
      if (!Requests.contains(Request))
        continue;
      for (const auto &[Position, Layers] :
           Requests[Request]["positions"].items())
        for (const auto &[Range, Times] : Layers.items())
          Sum[Position][Range] += Times.get<unsigned>();
    }
    return Sum;
  }

  unsigned starts(const std::string &Request) {
    unsigned Sum = 0;
    for (const std::string &Name : TestCluster::engineNames()) {
      Json Requests = m_Cluster->counts(Name).at("requests");
      if (Requests.contains(Request))
        Sum += Requests[Request]["starts"].get<unsigned>();
    }
    return Sum;
  }

  /// Runs Complete, which checks the answer and returns the request id, until
  /// one request was not resumed: on a loaded machine a stream may stall, and
  /// the token in progress is then computed again by another engine.
  void checkEachLayerRunsOnce(unsigned Tokens,
                              const std::function<std::string()> &Complete) {
    std::string Request;
    CHECK(eventually([&] {
      Request = Complete();
      return starts(Request) == 1;
    }));
    auto Computed = computed(Request);
    LONGS_EQUAL(Tokens, Computed.size());
    for (const auto &[Position, Layers] : Computed) {
      LONGS_EQUAL(3, Layers.size());
      for (const auto &[Range, Times] : Layers)
        LONGS_EQUAL_TEXT(1, Times, (Position + ": " + Range).c_str());
    }
  }

  std::string completeStreamed(const std::string &Router, unsigned Tokens) {
    HttpAnswer Answer = m_Cluster->complete(Router, Prompt, Tokens, true);
    STRCMP_EQUAL(answerText(Prompt, Tokens).c_str(),
                 streamedText(Answer, Tokens).c_str());
    return Answer.header("X-Request-Id");
  }

  void checkRefused(const HttpAnswer &Answer, int Status) {
    LONGS_EQUAL_TEXT(Status, Answer.m_Status, Answer.m_Body.c_str());
    STRCMP_EQUAL("not-run", Answer.header("X-Outcome").c_str());
    Json Error = Json::parse(Answer.m_Body).at("error");
    STRCMP_EQUAL("not-run", Error.at("outcome").get<std::string>().c_str());
    bool IsOverload = Status == 429 || Status == 503;
    CHECK_EQUAL(IsOverload, !Answer.header("Retry-After").empty());
    std::string Request = Answer.header("X-Request-Id");
    CHECK(!Request.empty());
    LONGS_EQUAL(0, computed(Request).size());
  }

  HttpAnswer post(const std::string &Path, const std::string &Body,
                  const std::string &Key = "key-large") {
    HttpRequest Call{"POST", Path, Body};
    Call.m_Headers["Authorization"] = "Bearer " + Key;
    return m_Cluster->send("vm-0", Call);
  }

  HttpAnswer shortCompletion(const std::string &Key) {
    return post("/v1/completions",
                R"({"model":"ledger","prompt":"p","max_tokens":1})", Key);
  }
};

// Guards against streamed answers that are incomplete or have no end event, and
// against layers that run twice or not at all for a token.
TEST(EndToEnd, StreamedCompletion) {
  start();
  for (const std::string &Router : m_Cluster->routerNames())
    checkEachLayerRunsOnce(40, [&] { return completeStreamed(Router, 40); });
}

// Guards against unstreamed answers that lose a token.
TEST(EndToEnd, UnstreamedCompletion) {
  start();
  checkEachLayerRunsOnce(40, [&] {
    HttpAnswer Answer = m_Cluster->complete("vm-1", Prompt, 40);
    LONGS_EQUAL(200, Answer.m_Status);
    STRCMP_EQUAL("completed", Answer.header("X-Outcome").c_str());
    Json Body = Json::parse(Answer.m_Body);
    Json Choice = Body.at("choices").at(0);
    STRCMP_EQUAL(answerText(Prompt, 40).c_str(),
                 Choice.at("text").get<std::string>().c_str());
    STRCMP_EQUAL("completed", Body.at("outcome").get<std::string>().c_str());
    return Body.at("id").get<std::string>();
  });
}

// Guards against routes that cannot combine engines of two failure domains.
TEST(EndToEnd, RouteOverTwoFailureDomains) {
  TestClusterOptions Options;
  Options.m_AdjustDocument = [](Document &Changed) {
    std::vector<EndpointSpec> &Engines = Changed.m_Pools[0].m_Endpoints;
    std::vector<EndpointSpec> Kept;
    for (const EndpointSpec &Engine : Engines)
      if (Engine.m_Name == "engine-a0" || Engine.m_Name == "engine-b1" ||
          Engine.m_Name == "engine-a2")
        Kept.push_back(Engine);
    Engines = Kept;
  };
  start(Options);
  checkEachLayerRunsOnce(20, [&] { return completeStreamed("vm-0", 20); });
  CHECK(m_Cluster->counts("engine-b1").at("tokens").get<unsigned>() >= 20);
}

// Guards against service calls that are forwarded modified, that run twice, or
// whose repeat is executed again.
TEST(EndToEnd, ServiceCalls) {
  start();
  HttpAnswer Answer =
      m_Cluster->send("vm-0", {"PUT", "/services/registry/seals/7", "body"});
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL("completed", Answer.header("X-Outcome").c_str());
  Json Body = Json::parse(Answer.m_Body);
  STRCMP_EQUAL("PUT", Body.at("method").get<std::string>().c_str());
  STRCMP_EQUAL("/seals/7", Body.at("path").get<std::string>().c_str());
  LONGS_EQUAL(1, m_Cluster->serviceTotal("executions"));

  HttpRequest Fee{"POST", "/services/registry/fees", "{}"};
  Fee.m_Headers["Idempotency-Key"] = "fee-1";
  LONGS_EQUAL(200, m_Cluster->send("vm-0", Fee).m_Status);
  for (const std::string &Router : m_Cluster->routerNames()) {
    HttpAnswer Repeat = m_Cluster->send(Router, Fee);
    CHECK_TEXT(Repeat.m_Status == 200 || Repeat.m_Status == 409,
               Repeat.m_Body.c_str());
    STRCMP_EQUAL("completed", Repeat.header("X-Outcome").c_str());
  }
  LONGS_EQUAL(2, m_Cluster->serviceTotal("executions"));
}

// Guards against refusals with a wrong status or outcome.
TEST(EndToEnd, RefusalsOfRequests) {
  TestClusterOptions Options;
  Options.m_RouterSettings = "[limits]\nmax_body_bytes = 1000\n";
  start(Options);
  checkRefused(post("/v1/completions", "{\"model\": \"ledger\", "), 400);
  checkRefused(post("/v1/completions", R"({"model": "ledger"})"), 400);
  checkRefused(post("/v1/completions", std::string(2000, ' ')), 413);
  checkRefused(post("/services/registry/x", std::string(2000, ' ')), 413);
  checkRefused(shortCompletion("key-unknown"), 401);
  checkRefused(post("/services/registry/x", "", "key-unknown"), 401);
  checkRefused(post("/v1/completions", R"({"model":"other","prompt":"p"})"),
               404);
  checkRefused(post("/services/other/x", ""), 404);
  HttpAnswer Last;
  CHECK(eventually([&] {
    Last = shortCompletion("key-slow");
    return Last.m_Status != 200;
  }));
  checkRefused(Last, 429);
  LONGS_EQUAL(0, m_Cluster->serviceTotal("executions"));
}

// Guards against accounts that exceed their limit of outstanding requests.
TEST(EndToEnd, RefusalOverOutstandingLimit) {
  TestClusterOptions Options;
  Options.m_TokenMicros = 20000;
  start(Options);
  HeldStream Held(*m_Cluster, "vm-0", "key-narrow");
  CHECK(Held.waitForToken());
  checkRefused(shortCompletion("key-narrow"), 429);
  LONGS_EQUAL(200, shortCompletion("key-large").m_Status);
}

// Guards against unbounded queues under overload.
TEST(EndToEnd, RefusalWhenTheQueueIsFull) {
  TestClusterOptions Options;
  Options.m_Routers = 1;
  Options.m_TokenMicros = 20000;
  Options.m_Slots = 1;
  Options.m_AdjustDocument = [](Document &Changed) {
    Changed.m_Pools[0].m_QueueLimit = 1;
  };
  start(Options);
  HeldStream First(*m_Cluster, "vm-0", "key-large");
  CHECK(First.waitForToken());
  HeldStream Second(*m_Cluster, "vm-0", "key-large");
  CHECK(Second.waitForToken());
  HeldStream Queued(*m_Cluster, "vm-0", "key-large");
  CHECK(eventually(
      [&] { return m_Cluster->metric("vm-0", "requests_queued") == 1; }));
  checkRefused(shortCompletion("key-large"), 503);
  // Frees the slots: the queued stream can only end once it gets a token.
  First.release();
  Second.release();
}

// Guards against a shutdown that interrupts a stream, or that keeps accepting
// new requests.
TEST(EndToEnd, RefusalWhileStopping) {
  TestClusterOptions Options;
  Options.m_RouterSettings = "[limits]\ndrain_lead_ms = 0\n";
  Options.m_TokenMicros = 20000;
  start(Options);
  HttpAnswer Streamed;
  std::atomic<bool> HasToken{false};
  std::thread Caller([&] {
    HttpRequest Call{"POST", "/v1/completions",
                     Json{{"model", "ledger"},
                          {"prompt", Prompt},
                          {"max_tokens", 60},
                          {"stream", true}}
                         .dump()};
    Call.m_OnChunk = [&](std::string_view) { return HasToken = true; };
    Streamed = m_Cluster->send("vm-0", Call);
  });
  bool HasStarted = eventually([&] { return HasToken.load(); });
  m_Cluster->process("vm-0").terminate();
  HttpAnswer Refused;
  eventually([&] {
    Refused = shortCompletion("key-large");
    return Refused.m_Status != 200;
  });
  Caller.join();
  CHECK(HasStarted);
  checkRefused(Refused, 503);
  STRCMP_EQUAL(answerText(Prompt, 60).c_str(),
               streamedText(Streamed, 60).c_str());
  LONGS_EQUAL(0, m_Cluster->process("vm-0").waitForExit().value_or(-1));
}

// Guards against missing metrics of the configuration's age, which the rollout
// page shows for each router.
TEST(EndToEnd, MetricsIncludeTheAgeOfTheConfiguration) {
  start();
  double Age = m_Cluster->metric("vm-0", "configuration_age_seconds");
  CHECK(Age > 0 && Age < 3600);
  m_Cluster->publish(m_Cluster->document());
  CHECK(eventually(
      [&] { return m_Cluster->metric("vm-0", "configuration_version") == 2; }));
  CHECK(m_Cluster->metric("vm-0", "configuration_age_seconds") >= 0);
}

PARSLEYRING_TEST_MAIN
