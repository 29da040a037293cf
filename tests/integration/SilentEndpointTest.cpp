#include "support/CallerThreads.h"
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
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

static constexpr int LastEvent = 30;
static constexpr milliseconds EventInterval{30};

static std::string eventText(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: event\n\n";
}

static std::string wholeAnswer() {
  std::string Text;
  for (int Id = 1; Id <= LastEvent; ++Id)
    Text += eventText(Id);
  return Text;
}

namespace {

/// Events at which the engine that is about to send them falls silent, once
/// each.
class SilencePlan {
public:
  SilencePlan(std::set<int> Events, milliseconds Period)
      : m_Events(std::move(Events)), m_Period(Period) {}

  /// True if the engine that sends this event falls silent now.
  bool takeSilence(int Event) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Events.erase(Event) > 0;
  }
  milliseconds period() const { return m_Period; }

private:
  std::mutex m_Mutex;
  std::set<int> m_Events;
  const milliseconds m_Period;
};

/// A sound engine that falls silent as planned, and then goes on with what it
/// was doing.
class SilentEngine {
public:
  explicit SilentEngine(SilencePlan &Plan)
      : m_Plan(Plan),
        m_Server([this](const ReceivedCall &Call) { return respond(Call); }) {}

  const std::string &address() const { return m_Server.address(); }
  int streams() const { return m_Streams; }
  /// Its streams fall silent, but it still answers calls for its report.
  void keepReporting() { m_IsReporting = true; }
  /// Rejects new streams without running them.
  void rejectStreams() { m_IsRejecting = true; }
  /// Cuts new streams off before their first event.
  void cutStreamsOff() { m_IsCuttingOff = true; }

private:
  FakeEndpointAnswer respond(const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (Call.m_Path.rfind("/v1/", 0) == 0) {
      if (!m_IsReporting)
        std::this_thread::sleep_until(m_SilentUntil.load());
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    ++m_Streams;
    if (m_IsRejecting) {
      Answer.m_Status = 503;
      Answer.m_Headers["Not-Executed"] = "full";
      return Answer;
    }
    Answer.m_ClosesConnection = m_IsCuttingOff;
    int First = std::stoi("0" + Call.header("Last-Event-Id")) + 1;
    for (int Id = First; Id <= LastEvent; ++Id)
      Answer.m_Chunks.push_back(eventText(Id));
    // The head, too, is sent only when the engine is not silent.
    if (First == 1)
      beforeEvent(0);
    Answer.m_BeforeChunk = [this, First](std::size_t Index) {
      beforeEvent(First + static_cast<int>(Index));
    };
    return Answer;
  }

  void beforeEvent(int Event) {
    std::this_thread::sleep_for(EventInterval);
    if (m_Plan.takeSilence(Event))
      m_SilentUntil = Clock::now() + m_Plan.period();
    std::this_thread::sleep_until(m_SilentUntil.load());
  }

  SilencePlan &m_Plan;
  std::atomic<Clock::time_point> m_SilentUntil{};
  std::atomic<int> m_Streams{0};
  std::atomic<bool> m_IsReporting{false};
  std::atomic<bool> m_IsRejecting{false};
  std::atomic<bool> m_IsCuttingOff{false};
  FakeEndpoint m_Server;
};

} // namespace

TEST_GROUP(SilentEndpoint) {
  FakeMetadataStore m_Store;
  std::unique_ptr<SilencePlan> m_Plan;
  std::vector<std::unique_ptr<SilentEngine>> m_Engines;
  std::unique_ptr<GatewayProcess> m_Gateway;
  int m_Listed = 0;

  /// The stream route allows two attempts; the route "/single-stream/" must not
  /// be sent twice.
  static std::string configuration(int Version) {
    auto Root = nlohmann::json::parse(gatewayConfiguration(Version));
    nlohmann::json Single;
    for (auto &Route : Root["routes"]) {
      if (Route["route_kind"] != "streaming")
        continue;
      Route["timeout_ms"] = 20000;
      Single = Route;
    }
    Single["name"] = "single";
    Single["prefix"] = "/single-stream/";
    Single["resumable"] = false;
    Root["routes"].push_back(Single);
    return Root.dump();
  }

  void start(std::size_t Engines, std::set<int> SilentEvents,
             milliseconds Period) {
    m_Plan = std::make_unique<SilencePlan>(std::move(SilentEvents), Period);
    m_Store.put("op/config", configuration(1));
    while (m_Engines.size() < Engines)
      list(addEngine());
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }

  SilentEngine &addEngine() {
    m_Engines.push_back(std::make_unique<SilentEngine>(*m_Plan));
    return *m_Engines.back();
  }
  void list(const SilentEngine &Engine) {
    m_Store.put("servers/m" + std::to_string(++m_Listed),
                serverEntry("model", Engine.address()));
  }

  HttpAnswer send(const std::string &Path) const {
    static std::atomic<int> Requests{0};
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "20000"}};
    return sendHttp(m_Gateway->callerAddress(), Request);
  }

  void stop() {
    m_Gateway.reset();
    for (int Entry = 1; Entry <= m_Listed; ++Entry)
      m_Store.remove("servers/m" + std::to_string(Entry));
    m_Engines.clear();
  }
  int streams() const {
    int Sum = 0;
    for (const auto &Engine : m_Engines)
      Sum += Engine->streams();
    return Sum;
  }

  void checkWhole(const HttpAnswer &Answer) {
    LONGS_EQUAL(200, Answer.m_Status);
    STRCMP_EQUAL(wholeAnswer().c_str(), Answer.m_Body.c_str());
  }
};

// Guards against a stream that is broken off because its engine, the only one,
// is silent for a while.
TEST(SilentEndpoint, StreamOutlastsTheSilenceOfTheOnlyEngine) {
  start(1, {5, 20}, 1500ms);
  checkWhole(send("/stream/a"));
  LONGS_EQUAL(1, streams());
}

// Guards against 502 for a request whose only engine is silent before the first
// event.
TEST(SilentEndpoint, RequestOutlastsSilenceBeforeTheFirstEvent) {
  start(1, {0}, 1000ms);
  checkWhole(send("/stream/a"));
  LONGS_EQUAL(1, streams());
}

// Guards against a stream that must not be sent twice and is ended by silence.
TEST(SilentEndpoint, StreamThatCannotResumeOutlastsSilence) {
  start(2, {0, 10}, 1000ms);
  checkWhole(send("/single-stream/a"));
  LONGS_EQUAL(1, streams());
}

// Guards against a stream that uses up its attempts in a first silence and is
// broken off in the second one.
TEST(SilentEndpoint, StreamOutlastsMoreSilencesThanItHasAttempts) {
  start(2, {4, 12, 20}, 1200ms);
  checkWhole(send("/stream/a"));
  LONGS_EQUAL(2, streams());
}

// Guards against a stream that is given up on a silent connection although the
// engine still reports and no other one is left.
TEST(SilentEndpoint, StreamOutlastsSilenceOfAReportingEngine) {
  start(1, {5}, 1700ms);
  m_Engines[0]->keepReporting();
  checkWhole(send("/stream/a"));
  LONGS_EQUAL(1, streams());
}

// Guards against a stream that leaves its silent engine for one that does not
// run it, and is then broken off although the first engine goes on.
TEST(SilentEndpoint, StreamGoesOnAtItsEngineIfTheOtherOneFails) {
  for (bool IsRejecting : {true, false}) {
    start(1, {5}, 1300ms);
    SilentEngine &Failing = addEngine();
    if (IsRejecting)
      Failing.rejectStreams();
    else
      Failing.cutStreamsOff();
    HttpAnswer Answer;
    CallerThreads Callers;
    Callers.add([&] { Answer = send("/stream/a"); });
    CHECK(eventually([&] { return m_Engines[0]->streams() == 1; }));
    list(Failing);
    Callers.join();
    checkWhole(Answer);
    CHECK(Failing.streams() > 0);
    stop();
  }
}

// Guards against streams that a change of the configuration ends while their
// engine is silent.
TEST(SilentEndpoint, StreamsOutlastSilenceBesideChangesOfTheConfiguration) {
  start(2, {3, 8, 13, 18}, 1200ms);
  std::vector<HttpAnswer> Answers(6);
  CallerThreads Callers;
  for (HttpAnswer &Answer : Answers)
    Callers.add([this, &Answer] { Answer = send("/stream/a"); });
  for (int Version = 2; Version < 12; ++Version) {
    std::this_thread::sleep_for(300ms);
    m_Store.put("op/config", configuration(Version));
  }
  Callers.join();
  for (const HttpAnswer &Answer : Answers)
    checkWhole(Answer);
}

PARSLEYRING_TEST_MAIN
