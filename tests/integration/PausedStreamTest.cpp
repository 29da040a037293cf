#include "support/CallerThreads.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using nlohmann::json;

static std::string eventText(int Id, std::size_t Padding = 0) {
  return "id: " + std::to_string(Id) + "\ndata: " + std::string(Padding, 'x') +
         "event\n\n";
}

static std::string eventTexts(int Last, std::size_t Padding = 0) {
  std::string Text;
  for (int Id = 1; Id <= Last; ++Id)
    Text += eventText(Id, Padding);
  return Text;
}

static FakeEndpointAnswer report(const json &Stalled = json::array()) {
  FakeEndpointAnswer Answer;
  Answer.m_Body = json{{"pace", 1.0}, {"stalled", Stalled}}.dump();
  return Answer;
}

static bool isInternal(const ReceivedCall &Call) {
  return Call.m_Path.rfind("/v1/", 0) == 0;
}

TEST_GROUP(PausedStream) {
  FakeMetadataStore m_Store;
  std::vector<std::unique_ptr<FakeEndpoint>> m_Endpoints;
  std::unique_ptr<GatewayProcess> m_Gateway;
  int m_Listed = 0;
  std::atomic<bool> m_IsReleased{false};
  std::atomic<bool> m_IsRepathed{false};
  std::atomic<bool> m_IsSilent{false};

  void teardown() override { m_IsReleased = true; }

  static std::string configuration(int Version, int TimeoutMs) {
    json Root = json::parse(gatewayConfiguration(Version));
    json Single;
    for (auto &Route : Root["routes"]) {
      if (Route["route_kind"] != "streaming")
        continue;
      Route["timeout_ms"] = TimeoutMs;
      Single = Route;
    }
    Single["name"] = "single";
    Single["prefix"] = "/single-stream/";
    Single["resumable"] = false;
    Root["routes"].push_back(Single);
    return Root.dump();
  }

  FakeEndpoint &add(FakeEndpoint::Behaviour Respond) {
    m_Endpoints.push_back(std::make_unique<FakeEndpoint>(std::move(Respond)));
    return *m_Endpoints.back();
  }
  void list(const FakeEndpoint &Engine, int FirstLayer = 0, int EndLayer = 10) {
    json Entry = json::parse(serverEntry("model", Engine.address()));
    Entry["layers"]["from"] = FirstLayer;
    Entry["layers"]["target"] = EndLayer;
    m_Store.put("servers/m" + std::to_string(++m_Listed), Entry.dump());
  }
  void start(const std::string &Configuration) {
    m_Store.put("op/config", Configuration);
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }

  static HttpRequest request(const std::string &Path) {
    static std::atomic<int> Requests{0};
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "20000"}};
    return Request;
  }
  HttpAnswer send(const HttpRequest &Request) const {
    return sendHttp(m_Gateway->callerAddress(), Request);
  }

  /// Number of streams that the endpoint has received.
  static int streams(const FakeEndpoint &Endpoint) {
    int Count = 0;
    for (const ReceivedCall &Call : Endpoint.calls())
      Count += !isInternal(Call);
    return Count;
  }
};

// Guards against a stream that is taken to be silent because the gateway itself
// does not read it, as its caller is slow.
TEST(PausedStream, SlowCallerIsNoSilenceOfTheEngine) {
  static constexpr int Events = 300;
  static constexpr std::size_t Padding = 100000;
  FakeEndpoint &Engine = add([](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (isInternal(Call))
      return report();
    for (int Id = 1; Id <= Events; ++Id)
      Answer.m_Chunks.push_back(eventText(Id, Padding));
    return Answer;
  });
  // Reports, and takes long until its first event.
  FakeEndpoint &Other = add([this](const ReceivedCall &Call) {
    if (isInternal(Call))
      return report();
    FakeEndpointAnswer Answer;
    Answer.m_Chunks = {eventText(1)};
    Answer.m_BeforeChunk = [this](std::size_t) {
      while (!m_IsReleased)
        std::this_thread::sleep_for(10ms);
    };
    return Answer;
  });
  list(Engine);
  start(configuration(1, 12000));
  HttpRequest Request = request("/stream/a");
  bool HasSlept = false;
  Request.m_OnChunk = [&](std::string_view) {
    if (!HasSlept) {
      list(Other);
      std::this_thread::sleep_for(3s);
    }
    HasSlept = true;
    return true;
  };
  HttpAnswer Answer = send(Request);
  int OtherStreams = streams(Other);
  m_IsReleased = true;
  LONGS_EQUAL(200, Answer.m_Status);
  LONGS_EQUAL(eventTexts(Events, Padding).size(), Answer.m_Body.size());
  LONGS_EQUAL(0, OtherStreams);
}

// Guards against a stream that is ended because its engine falls silent within
// an event that arrives in pieces.
TEST(PausedStream, StreamOutlastsSilenceWithinAnEvent) {
  FakeEndpoint &Engine = add([](const ReceivedCall &Call) {
    if (isInternal(Call))
      return report();
    FakeEndpointAnswer Answer;
    Answer.m_Chunks = {eventText(1), "id: 2\n", "data: ", "ev",
                       "en",         "t",       "\n\n",   eventText(3)};
    Answer.m_BeforeChunk = [](std::size_t Index) {
      std::this_thread::sleep_for(Index == 5 ? 1400ms : 100ms);
    };
    return Answer;
  });
  list(Engine);
  start(configuration(1, 20000));
  HttpAnswer Answer = send(request("/single-stream/a"));
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL(eventTexts(3).c_str(), Answer.m_Body.c_str());
}

// Guards against a stream that uses up the replacements of its path while there
// is nothing to replace the stalled part with.
TEST(PausedStream, StalledPartIsReplacedWhenAnotherOneIsListed) {
  FakeEndpoint &Second = add([](const ReceivedCall &) { return report(); });
  FakeEndpoint &First = add([&](const ReceivedCall &Call) {
    if (Call.m_Path == "/v1/order") {
      m_IsRepathed = true;
      return report();
    }
    if (isInternal(Call))
      return report({{{"id", "stalled-1"}, {"address", Second.address()}}});
    FakeEndpointAnswer Answer;
    for (int Id = 1; Id <= 10; ++Id)
      Answer.m_Chunks.push_back(eventText(Id));
    Answer.m_BeforeChunk = [&](std::size_t Index) {
      std::this_thread::sleep_for(30ms);
      while (Index == 5 && !m_IsRepathed && !m_IsReleased)
        std::this_thread::sleep_for(10ms);
    };
    return Answer;
  });
  FakeEndpoint &Replacement =
      add([](const ReceivedCall &) { return report(); });
  list(First, 0, 5);
  list(Second, 5, 10);
  start(configuration(1, 10000));
  HttpRequest Request = request("/stream/a");
  Request.m_Headers["Attempt-Id"] = "stalled-1";
  HttpAnswer Answer;
  CallerThreads Callers;
  Callers.add([&] { Answer = send(Request); });
  CHECK(eventually([&] { return streams(First) == 1; }));
  std::this_thread::sleep_for(2500ms);
  list(Replacement, 5, 10);
  Callers.join();
  m_IsReleased = true;
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL(eventTexts(10).c_str(), Answer.m_Body.c_str());
}

// Guards against a request that was read and ends without an answer because its
// engine is silent when the gateway stops.
TEST(PausedStream, SilentRequestIsAnsweredWhenTheGatewayStops) {
  FakeEndpoint &Engine = add([this](const ReceivedCall &Call) {
    while (!m_IsReleased)
      std::this_thread::sleep_for(10ms);
    if (isInternal(Call))
      return report();
    FakeEndpointAnswer Answer;
    Answer.m_Chunks = {eventText(1)};
    return Answer;
  });
  list(Engine);
  start(configuration(1, 20000));
  HttpAnswer Answer;
  CallerThreads Callers;
  Callers.add([&] { Answer = send(request("/stream/a")); });
  CHECK(eventually([&] { return streams(Engine) == 1; }));
  m_Gateway->process().terminate();
  Callers.join();
  m_IsReleased = true;
  CHECK(Answer.m_Status == 502 || Answer.m_Status == 504);
}

// Guards against an engine that gets no requests long after a silent second in
// which it answered nothing.
TEST(PausedStream, EngineIsUsedAgainSoonAfterItsSilence) {
  FakeEndpoint &Engine = add([&](const ReceivedCall &Call) {
    auto Wait = [&] {
      while (m_IsSilent && !m_IsReleased)
        std::this_thread::sleep_for(5ms);
    };
    if (isInternal(Call)) {
      Wait();
      return report();
    }
    FakeEndpointAnswer Answer;
    for (int Id = 1; Id <= 60; ++Id)
      Answer.m_Chunks.push_back(eventText(Id));
    Answer.m_BeforeChunk = [=](std::size_t) {
      std::this_thread::sleep_for(30ms);
      Wait();
    };
    return Answer;
  });
  list(Engine);
  start(configuration(1, 20000));
  HttpAnswer Answer;
  CallerThreads Callers;
  Callers.add([&] { Answer = send(request("/stream/a")); });
  CHECK(eventually([&] { return streams(Engine) == 1; }));
  std::this_thread::sleep_for(200ms);
  m_IsSilent = true;
  std::this_thread::sleep_for(1s);
  m_IsSilent = false;
  // The stream goes on, which shows that the engine is alive.
  std::this_thread::sleep_for(500ms);
  HttpAnswer Later = send(request("/stream/b"));
  Callers.join();
  m_IsReleased = true;
  LONGS_EQUAL(200, Answer.m_Status);
  LONGS_EQUAL(200, Later.m_Status);
}

PARSLEYRING_TEST_MAIN
