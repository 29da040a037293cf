#include "core/SocketAddress.h"
#include "membership/LoadDigest.h"
#include "store/VMLease.h"
#include "support/CallerThreads.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/ProcessRunner.h"
#include "support/TestMain.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using nlohmann::json;

static constexpr int Streams = 3;
static constexpr int LastEvent = 40;

/// Deadline of a request that has a silence limit of 12 s after 4 s.
static const std::string BeforeSilenceLimitMs = "13000";

static std::string eventText(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: event\n\n";
}

static std::string wholeAnswer() {
  std::string Text;
  for (int Id = 1; Id <= LastEvent; ++Id)
    Text += eventText(Id);
  return Text;
}

static void sendDatagram(const std::string &Address, const std::string &Bytes) {
  std::optional<SocketAddress> Target = parseSocketAddress(Address);
  boost::asio::io_context Loop;
  boost::asio::ip::udp::socket Socket(Loop, boost::asio::ip::udp::v4());
  Socket.send_to(
      boost::asio::buffer(Bytes),
      {boost::asio::ip::make_address(Target->m_Host), Target->m_Port});
}

/// A process that listens and keeps idle connections open.
static std::unique_ptr<ProcessRunner> listeningProcess(std::string &Address) {
  auto Process = std::make_unique<ProcessRunner>(
      "parsleyring-emulator",
      std::vector<std::string>{"platform", "--listen", "127.0.0.1:0"});
  Address = Process->waitForLine("listening");
  return Process;
}

namespace {

/// The first engine of a path. Its streams stop before an event until their
/// path has been replaced. It reports nothing of this.
class FirstEngine {
public:
  FirstEngine()
      : m_Server([this](const ReceivedCall &Call) { return respond(Call); }) {}
  ~FirstEngine() { m_IsReleased = true; }

  const std::string &address() const { return m_Server.address(); }
  void setHeldEvent(int Id) { m_HeldEvent = Id; }
  /// Sends an event after Delay instead of 10 ms.
  void setDelay(int Id, std::chrono::milliseconds Delay) {
    m_DelayedEvent = Id;
    m_Delay = Delay;
  }
  int streams() const { return m_Streams; }
  /// Path of the first stream.
  std::string firstPath() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_FirstPath;
  }
  int heldStreams() const { return m_HeldStreams; }
  /// The paths that replaced earlier ones.
  std::vector<std::string> newPaths() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_NewPaths;
  }
  void release() { m_IsReleased = true; }

private:
  bool hasNewPath(const std::string &Request) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_IsReleased || m_RequestsWithNewPath.count(Request) > 0;
  }
  FakeEndpointAnswer respond(const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (Call.m_Path == "/v1/order") {
      json Order = json::parse(Call.m_Body);
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_NewPaths.push_back(Order.at("path"));
      m_RequestsWithNewPath.insert(Order.at("id"));
      return Answer;
    }
    if (Call.m_Path.rfind("/v1/", 0) == 0) {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    if (++m_Streams == 1) {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_FirstPath = Call.header("Hop-Count");
    }
    std::string Request = Call.header("Attempt-Id");
    int First = std::stoi("0" + Call.header("Last-Event-Id")) + 1;
    for (int Id = First; Id <= LastEvent; ++Id)
      Answer.m_Chunks.push_back(eventText(Id));
    Answer.m_BeforeChunk = [this, First, Request](std::size_t Index) {
      int Id = First + static_cast<int>(Index);
      std::this_thread::sleep_for(Id == m_DelayedEvent ? m_Delay.load() : 10ms);
      if (Id != m_HeldEvent)
        return;
      ++m_HeldStreams;
      while (!hasNewPath(Request))
        std::this_thread::sleep_for(5ms);
    };
    return Answer;
  }

  std::atomic<int> m_HeldEvent{10};
  std::atomic<int> m_DelayedEvent{0};
  std::atomic<std::chrono::milliseconds> m_Delay{};
  std::mutex m_Mutex; ///< Guards what requests and orders say.
  std::string m_FirstPath;
  std::vector<std::string> m_NewPaths;
  std::set<std::string> m_RequestsWithNewPath;
  std::atomic<bool> m_IsReleased{false};
  std::atomic<int> m_Streams{0};
  std::atomic<int> m_HeldStreams{0};
  FakeEndpoint m_Server;
};

} // namespace

TEST_GROUP(EngineCrash) {
  FakeMetadataStore m_Store;
  FirstEngine m_First;
  GatewayOptions m_Options{"vm-0", "", {}};
  std::unique_ptr<GatewayProcess> m_Gateway;
  std::unique_ptr<ProcessRunner> m_Middle;
  std::unique_ptr<ProcessRunner> m_Spare;
  std::string m_MiddleAddress;
  std::string m_SpareAddress;
  std::vector<HttpAnswer> m_Answers{Streams};

  void teardown() override { m_First.release(); }

  void list(const std::string &Id, const std::string &Address, int FirstLayer,
            int EndLayer) {
    json Entry = json::parse(serverEntry("model", Address));
    Entry["layers"]["from"] = FirstLayer;
    Entry["layers"]["target"] = EndLayer;
    m_Store.put("servers/" + Id, Entry.dump());
  }
  void start(int Watched = 2) {
    json Configuration = json::parse(gatewayConfiguration(1));
    for (json &Route : Configuration["routes"])
      Route["timeout_ms"] = 60000;
    m_Store.put("op/config", Configuration.dump());
    m_Middle = listeningProcess(m_MiddleAddress);
    m_Spare = listeningProcess(m_SpareAddress);
    list("first", m_First.address(), 0, 5);
    list("middle", m_MiddleAddress, 5, 10);
    m_Options.m_StoreAddress = m_Store.address();
    m_Gateway = std::make_unique<GatewayProcess>(m_Options);
    CHECK(m_Gateway->waitUntilReady());
    waitForWatched(Watched);
  }
  void waitForWatched(int Engines) {
    std::string Line =
        "parsleyring_watched_engines " + std::to_string(Engines) + "\n";
    CHECK(eventually([&] {
      return sendHttp(m_Gateway->metricsAddress(), {"GET", "/metrics"})
                 .m_Body.find(Line) != std::string::npos;
    }));
  }
  static HttpRequest request(int Number,
                             const std::string &DeadlineMs = "60000") {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = "/stream/a";
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(Number)},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", DeadlineMs}};
    return Request;
  }
  void startStreams(CallerThreads & Callers,
                    const std::string &DeadlineMs = "60000") {
    for (int Number = 0; Number < Streams; ++Number)
      Callers.add([this, Number, DeadlineMs] {
        m_Answers[Number] =
            sendHttp(m_Gateway->callerAddress(), request(Number, DeadlineMs));
      });
  }
  /// Lets the streams pause for 4 s before an event, so that their silence
  /// limit is 12 s from then on, and holds them up after it.
  void pauseBefore(int Event) {
    m_First.setDelay(Event, 4s);
    m_First.setHeldEvent(Event + 1);
  }
  void checkAnswers() const {
    for (const HttpAnswer &Answer : m_Answers) {
      LONGS_EQUAL(200, Answer.m_Status);
      STRCMP_EQUAL(wholeAnswer().c_str(), Answer.m_Body.c_str());
    }
  }
  std::string log() const { return m_Gateway->process().output(); }
};

// Guards against streams that stall, miss, repeat or reorder events after the
// crash of an engine to which the gateway sends nothing: only its idle
// connection shows the crash here.
TEST(EngineCrash, StreamsGoOnAfterACrashInTheMiddleOfTheirPath) {
  start();
  CallerThreads Callers;
  startStreams(Callers);
  CHECK(eventually([&] { return m_First.heldStreams() == Streams; }));
  list("spare", m_SpareAddress, 5, 10);
  waitForWatched(3);
  // A connection that has only just been opened proves nothing.
  std::this_thread::sleep_for(1s);
  m_Middle->kill();
  Callers.join();
  checkAnswers();
  // No stream was sent again.
  LONGS_EQUAL(Streams, m_First.streams());
  LONGS_EQUAL(Streams, m_First.newPaths().size());
  for (const std::string &Path : m_First.newPaths()) {
    STRCMP_CONTAINS(m_SpareAddress.c_str(), Path.c_str());
    CHECK(Path.find(m_MiddleAddress) == std::string::npos);
  }
  STRCMP_CONTAINS("\"endpoint\":\"middle\",\"reason\":\"connection-closed\"",
                  log().c_str());
}

// Guards against a stream whose last event was recent when the crash was found,
// and which then waits for its silence limit.
TEST(EngineCrash, StreamWithARecentEventLeavesTheCrashedEngine) {
  static constexpr int CrashEvent = 2;
  pauseBefore(CrashEvent);
  start();
  list("spare", m_SpareAddress, 5, 10);
  waitForWatched(3);
  std::this_thread::sleep_for(1s);
  HttpRequest Request = request(0, BeforeSilenceLimitMs);
  std::string Received;
  bool HasCrashed = false;
  Request.m_OnChunk = [&](std::string_view Bytes) {
    Received += Bytes;
    if (!HasCrashed &&
        Received.find(eventText(CrashEvent)) != std::string::npos) {
      // The spare engine may be in the path instead.
      std::string Path = m_First.firstPath();
      bool IsMiddle = Path.find(m_MiddleAddress) != std::string::npos;
      (IsMiddle ? m_Middle : m_Spare)->kill();
      HasCrashed = true;
    }
    return true;
  };
  HttpAnswer Answer = sendHttp(m_Gateway->callerAddress(), Request);
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL(wholeAnswer().c_str(), Received.c_str());
  LONGS_EQUAL(1, m_First.streams());
}

// Guards against streams that stay at a crashed engine since their VM does not
// watch it: two larger VMs are the representatives. They tell what they saw.
TEST(EngineCrash, StreamsLeaveACrashedEngineThatAnotherVMTells) {
  for (const std::string Name : {"big-0", "big-1"})
    m_Store.put(VMLease::VMPrefix + Name,
                VMLease::encodeEntry({Name, "127.0.0.1:1", "zone-a", 8}));
  FreePort DigestPort;
  m_Options.m_DigestPort = parseSocketAddress(DigestPort.address())->m_Port;
  pauseBefore(2);
  start(0);
  CallerThreads Callers;
  startStreams(Callers, BeforeSilenceLimitMs);
  CHECK(eventually([&] { return m_First.heldStreams() == Streams; }));
  list("spare", m_SpareAddress, 5, 10);
  m_Middle->kill();
  LoadDigest Digest{"big-0", false, 1, {}};
  Digest.m_Loads.push_back({"middle", 0, 0, 0, 4000});
  // The entry of the spare engine arrives at some time. Datagrams may be lost.
  CHECK(eventually([&] {
    sendDatagram(DigestPort.address(), Digest.encode());
    ++Digest.m_Number;
    return m_First.newPaths().size() == Streams;
  }));
  Callers.join();
  checkAnswers();
  LONGS_EQUAL(Streams, m_First.streams());
  waitForWatched(0);
}

// Guards against an engine that is only silent and is taken to have crashed.
TEST(EngineCrash, PausedEngineHasNotCrashed) {
  start();
  std::this_thread::sleep_for(1s);
  m_Middle->pause();
  std::this_thread::sleep_for(1s);
  CHECK(log().find("connection-closed") == std::string::npos);
  waitForWatched(2);
  m_Middle->resume();
}

PARSLEYRING_TEST_MAIN
