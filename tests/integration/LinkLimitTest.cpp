#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using nlohmann::json;

// Requests of usual size that the stated link carries in a second.
static constexpr double LinkRequestsPerSecond = 10;
static constexpr int UsualTokens = 150;
static constexpr double ActivationBytes = 20000;

namespace {

/// An engine that holds some layers and answers at once.
class LayerEngine {
public:
  LayerEngine(FakeMetadataStore &Store, const std::string &Id,
              const std::string &Domain, int First, int End)
      : m_Server([](const ReceivedCall &Call) { return respond(Call); }) {
    json Entry = json::parse(serverEntry("model", m_Server.address()));
    Entry["zone"] = Domain;
    Entry["slots"] = 500;
    Entry["layers"] = {{"from", First}, {"target", End}, {"version", 1}};
    Store.put("servers/" + Id, Entry.dump());
  }
  /// Requests of callers that began here.
  std::size_t requests() const {
    std::size_t Count = 0;
    for (const ReceivedCall &Call : m_Server.calls())
      Count += !Call.header("Attempt-Id").empty();
    return Count;
  }

private:
  static FakeEndpointAnswer respond(const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (Call.header("Attempt-Id").empty())
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
    else
      Answer.m_Chunks = {"id: 1\ndata: only\n\n"};
    return Answer;
  }

  FakeEndpoint m_Server;
};

/// How the requests of callers ended.
struct Answers {
  int m_Served = 0;
  int m_Refused = 0;
  int m_Others = 0;
  /// Refusals whose Retry-After is not a time within the longest one.
  int m_BadRetryAfter = 0;
  std::chrono::milliseconds m_SlowestRefusal{};
};

} // namespace

TEST_GROUP(LinkLimit) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;
  std::atomic<int> m_Requests{0};

  /// The configuration with a stated rate of the links; 0: none.
  void configure(double RequestsPerSecond) {
    json Document = json::parse(gatewayConfiguration(1));
    json &Engine = Document["services"][1]["engine"];
    Engine["act_bytes"] = ActivationBytes;
    Engine["pipe_mbps"] =
        RequestsPerSecond * UsualTokens * ActivationBytes * 8 / 1e6;
    m_Store.put("op/config", Document.dump());
  }
  void start() {
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  /// Sends RequestsPerSecond for Length, each by a thread of its own.
  Answers sendMany(int RequestsPerSecond, std::chrono::milliseconds Length) {
    Answers Result;
    std::mutex Mutex;
    std::vector<std::thread> Callers;
    auto Interval = 1000ms / RequestsPerSecond;
    for (auto At = 0ms; At < Length; At += Interval) {
      Callers.emplace_back([&] {
        HttpRequest Request;
        Request.m_Method = "POST";
        Request.m_Path = "/stream/a";
        Request.m_Body = "the body";
        Request.m_Headers = {
            {"Host", "host"},
            {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
            {"Authorization", "Bearer key-1"},
            {"Deadline-Ms", "2500"}};
        auto Start = std::chrono::steady_clock::now();
        HttpAnswer Answer = sendHttp(m_Gateway->callerAddress(), Request);
        auto Taken = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - Start);
        std::lock_guard<std::mutex> Lock(Mutex);
        Result.m_Served += Answer.m_Status == 200;
        Result.m_Refused += Answer.m_Status == 503;
        Result.m_Others += Answer.m_Status != 200 && Answer.m_Status != 503;
        if (Answer.m_Status != 503)
          return;
        double RetryAfter = std::atof(Answer.header("Retry-After").c_str());
        Result.m_BadRetryAfter += RetryAfter <= 0 || RetryAfter > 5;
        Result.m_SlowestRefusal = std::max(Result.m_SlowestRefusal, Taken);
      });
      std::this_thread::sleep_for(Interval);
    }
    for (std::thread &Caller : Callers)
      Caller.join();
    return Result;
  }
  /// Log lines of requests that ended with this reason.
  int endedWith(const std::string &Reason) const {
    int Count = 0;
    std::istringstream Lines(m_Gateway->process().output());
    for (std::string Line; std::getline(Lines, Line);)
      Count += Line.find("\"event\":\"request-end\"") != std::string::npos &&
               Line.find("\"reason\":\"" + Reason + "\"") != std::string::npos;
    return Count;
  }
};

// Load: no chain is whole in either domain, and four times as many requests
// arrive as the link takes. Guards against sending them all, which completes
// none, and against refusals without a reason or a time to return.
TEST(LinkLimit, ExcessOverALinkIsRefused) {
  configure(LinkRequestsPerSecond);
  LayerEngine First(m_Store, "a0", "zone-a", 0, 5);
  LayerEngine Last(m_Store, "b1", "zone-b", 5, 10);
  start();
  Answers Result = sendMany(40, 5s);
  LONGS_EQUAL(0, Result.m_Others);
  LONGS_EQUAL(0, Result.m_BadRetryAfter);
  // The usable rate for five seconds, with what is saved before.
  CHECK(Result.m_Served >= 0.5 * 0.7 * LinkRequestsPerSecond * 5);
  CHECK(Result.m_Served <= 1.1 * 0.7 * LinkRequestsPerSecond * 5 + 4);
  CHECK(First.requests() == std::size_t(Result.m_Served));
  CHECK(eventually([&] { return endedWith("link-limit") == Result.m_Refused; }));
  CHECK(m_Gateway->process().output().find("\"link-limited\"") !=
        std::string::npos);
}

// Guards against requests that are refused for a link although a chain has
// become whole inside a domain.
TEST(LinkLimit, WholeChainTakesTheRequests) {
  configure(LinkRequestsPerSecond);
  LayerEngine First(m_Store, "a0", "zone-a", 0, 5);
  LayerEngine Last(m_Store, "b1", "zone-b", 5, 10);
  start();
  CHECK(sendMany(40, 1s).m_Refused > 0);
  LayerEngine Own(m_Store, "a1", "zone-a", 5, 10);
  CHECK(eventually([&] { return sendMany(40, 100ms).m_Refused == 0; }));
  Answers Result = sendMany(40, 2s);
  LONGS_EQUAL(0, Result.m_Refused);
  LONGS_EQUAL(0, Result.m_Others);
}

// Guards against deployments without a stated rate that are limited.
TEST(LinkLimit, NothingIsRefusedWithoutAStatedRate) {
  configure(0);
  LayerEngine First(m_Store, "a0", "zone-a", 0, 5);
  LayerEngine Last(m_Store, "b1", "zone-b", 5, 10);
  start();
  Answers Result = sendMany(40, 2s);
  LONGS_EQUAL(0, Result.m_Refused);
  LONGS_EQUAL(0, Result.m_Others);
}

PARSLEYRING_TEST_MAIN
