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
#include <sstream>
#include <string>
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

static void listEngine(FakeMetadataStore &Store, const std::string &Id,
                       const std::string &Address, const std::string &Domain,
                       int First, int End) {
  json Entry = json::parse(serverEntry("model", Address));
  Entry["zone"] = Domain;
  Entry["slots"] = 500;
  Entry["layers"] = {{"from", First}, {"target", End}, {"version", 1}};
  Store.put("servers/" + Id, Entry.dump());
}

namespace {

/// An engine that holds some layers and answers at once.
class LayerEngine {
public:
  LayerEngine(FakeMetadataStore &Store, const std::string &Id,
              const std::string &Domain, int First, int End)
      : m_Server([](const ReceivedCall &Call) { return respond(Call); }) {
    listEngine(Store, Id, m_Server.address(), Domain, First, End);
  }
  const std::string &address() const { return m_Server.address(); }
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
  double m_Seconds = 0; ///< From the first request to the last answer.
};

} // namespace

TEST_GROUP(LinkLimit) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;
  std::atomic<int> m_Requests{0};

  /// The configuration with a stated rate of the links; 0: none.
  void configure(double RequestsPerSecond) {
    json Document = json::parse(gatewayConfiguration(1));
    for (json &Route : Document["routes"])
      Route["timeout_ms"] = 20000;
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
  HttpRequest request() {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = "/stream/a";
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "20000"}};
    return Request;
  }
  /// Sends RequestsPerSecond for Length, each by a thread of its own.
  Answers sendMany(int RequestsPerSecond, std::chrono::milliseconds Length) {
    Answers Result;
    std::mutex Mutex;
    std::vector<std::thread> Callers;
    auto Start = std::chrono::steady_clock::now();
    auto Interval = 1000ms / RequestsPerSecond;
    for (auto At = 0ms; At < Length; At += Interval) {
      Callers.emplace_back([&] {
        HttpAnswer Answer = sendHttp(m_Gateway->callerAddress(), request());
        std::lock_guard<std::mutex> Lock(Mutex);
        Result.m_Served += Answer.m_Status == 200;
        Result.m_Refused += Answer.m_Status == 503;
        Result.m_Others += Answer.m_Status != 200 && Answer.m_Status != 503;
        if (Answer.m_Status != 503)
          return;
        double RetryAfter = std::atof(Answer.header("Retry-After").c_str());
        Result.m_BadRetryAfter += RetryAfter <= 0 || RetryAfter > 5;
      });
      std::this_thread::sleep_for(Interval);
    }
    for (std::thread &Caller : Callers)
      Caller.join();
    Result.m_Seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
            .count();
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
  // The usable rate, with what is saved before. On a busy machine the requests
  // take longer to arrive.
  double Usable = 0.7 * LinkRequestsPerSecond * Result.m_Seconds;
  std::string Text = std::to_string(Result.m_Served) + " served in " +
                     std::to_string(Result.m_Seconds) + " s";
  CHECK_TEXT(Result.m_Served >= 0.5 * 0.7 * LinkRequestsPerSecond * 5,
             Text.c_str());
  CHECK_TEXT(Result.m_Served <= 1.1 * Usable + 4, Text.c_str());
  CHECK(First.requests() == std::size_t(Result.m_Served));
  CHECK(
      eventually([&] { return endedWith("link-limit") == Result.m_Refused; }));
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

// Load: the last part of a chain stalls under many running streams, and only
// another domain holds its layers. Guards against repath orders that send the
// state of all streams over the link at once, and against streams that are
// broken off since the link has no capacity.
TEST(LinkLimit, StalledPartIsNotReplacedOverAFullLink) {
  static constexpr int Streams = 8;
  configure(0.05);
  std::mutex Mutex;
  std::vector<std::string> Started;
  std::set<std::string> Repathed;
  std::atomic<bool> IsReleased{false};
  LayerEngine Stalled(m_Store, "a1", "zone-a", 5, 10);
  FakeEndpoint First([&](const ReceivedCall &Call) {
    std::lock_guard<std::mutex> Lock(Mutex);
    FakeEndpointAnswer Answer;
    std::string Id = Call.header("Attempt-Id");
    if (Call.m_Path == "/v1/order") {
      Repathed.insert(json::parse(Call.m_Body).at("id").get<std::string>());
      return Answer;
    }
    if (Id.empty()) {
      json Entries = json::array();
      for (const std::string &Each : Started)
        Entries.push_back({{"id", Each}, {"address", Stalled.address()}});
      Answer.m_Body = json{{"pace", 1.0}, {"stalled", Entries}}.dump();
      return Answer;
    }
    Started.push_back(Id);
    for (int Event = 1; Event <= 6; ++Event)
      Answer.m_Chunks.push_back("id: " + std::to_string(Event) +
                                "\ndata: event\n\n");
    Answer.m_BeforeChunk = [&, Id](std::size_t Index) {
      std::this_thread::sleep_for(20ms);
      auto IsStalled = [&] {
        std::lock_guard<std::mutex> ChunkLock(Mutex);
        return Repathed.count(Id) == 0 && !IsReleased;
      };
      while (Index == 3 && IsStalled())
        std::this_thread::sleep_for(10ms);
    };
    return Answer;
  });
  listEngine(m_Store, "a0", First.address(), "zone-a", 0, 5);
  start();
  std::vector<std::thread> Callers;
  std::atomic<int> Complete{0};
  for (int Stream = 0; Stream < Streams; ++Stream)
    Callers.emplace_back([&] {
      HttpAnswer Answer = sendHttp(m_Gateway->callerAddress(), request());
      Complete += Answer.m_Status == 200 &&
                  Answer.m_Body.find("id: 6\n") != std::string::npos;
    });
  bool HaveAllStarted = eventually([&] {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Started.size() == Streams;
  });
  LayerEngine Other(m_Store, "b1", "zone-b", 5, 10);
  auto Orders = [&] {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Repathed.size();
  };
  bool HasOrders = eventually([&] { return Orders() > 0; });
  std::this_thread::sleep_for(1500ms);
  std::size_t OrderCount = Orders();
  IsReleased = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(HaveAllStarted && HasOrders);
  // A stream that has begun may overdraw by two usual requests.
  CHECK(OrderCount <= 3);
  LONGS_EQUAL(Streams, Complete);
}

PARSLEYRING_TEST_MAIN
