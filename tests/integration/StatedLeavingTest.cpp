#include "support/Eventually.h"
#include "support/FreePort.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include "core/SocketAddress.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Longer than a VM needs to learn from the digests of another one.
static constexpr std::chrono::milliseconds DigestTime = 600ms;

namespace {

/// How an endpoint answers requests, and what it states meanwhile.
struct Behaviour {
  int m_Status = 200;
  bool m_IsRejection = false; ///< States that the request has not run.
  /// Value of the header field that states that it is leaving; empty: none.
  std::string m_Leaving;
  bool m_IsInReportsOnly = false; ///< Requests get no such field.
  std::chrono::milliseconds m_Delay{0};
};

/// An endpoint that stays listed as ready whatever it states in its answers. It
/// rejects requests for /stream/full.
class StatingEndpoint {
public:
  StatingEndpoint(FakeMetadataStore &Store, std::string Id, std::string Service)
      : m_Store(Store), m_Id(std::move(Id)), m_Service(std::move(Service)),
        m_Server([this](const ReceivedCall &Call) { return respond(Call); }) {
    list(1000);
  }

  /// Writes its entry: an incarnation with this start time, and ready.
  void list(std::int64_t StartTimeMs) {
    auto Entry =
        nlohmann::json::parse(serverEntry(m_Service, m_Server.address()));
    Entry["born"] = StartTimeMs;
    m_Store.put("servers/" + m_Id, Entry.dump());
  }
  void set(const Behaviour &Value) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Behaviour = Value;
  }
  int requests() const { return m_Requests; }

private:
  Behaviour behaviour() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Behaviour;
  }
  FakeEndpointAnswer respond(const ReceivedCall &Call) {
    Behaviour Current = behaviour();
    if (Call.m_Path == "/stream/full")
      Current = {503, true, ""};
    FakeEndpointAnswer Answer;
    bool IsReport = Call.header("Attempt-Id").empty();
    if (!Current.m_Leaving.empty() && (IsReport || !Current.m_IsInReportsOnly))
      Answer.m_Headers["Server-Leaving"] = Current.m_Leaving;
    if (IsReport) {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    ++m_Requests;
    std::this_thread::sleep_for(Current.m_Delay);
    Answer.m_Status = Current.m_Status;
    if (Current.m_IsRejection)
      Answer.m_Headers["Not-Executed"] = "1";
    if (Answer.m_Status == 200 && Call.m_Path.rfind("/stream/", 0) == 0)
      Answer.m_Chunks = {"id: 1\ndata: only\n\n"};
    return Answer;
  }

  FakeMetadataStore &m_Store;
  const std::string m_Id;
  const std::string m_Service;
  mutable std::mutex m_Mutex;
  Behaviour m_Behaviour;
  std::atomic<int> m_Requests{0};
  FakeEndpoint m_Server;
};

} // namespace

TEST_GROUP(StatedLeaving) {
  FakeMetadataStore m_Store;
  FreePort m_DigestPort{"127.0.0.1"};
  std::vector<std::unique_ptr<StatingEndpoint>> m_Endpoints;
  std::vector<std::unique_ptr<GatewayProcess>> m_Gateways;
  std::atomic<int> m_Requests{0};

  void setup() override { m_Store.put("op/config", gatewayConfiguration(1)); }
  void teardown() override {
    // First, since an endpoint waits for open connections when it ends.
    m_Gateways.clear();
    m_Endpoints.clear();
  }
  StatingEndpoint &addEndpoint(const std::string &Id,
                               const std::string &Service) {
    m_Endpoints.push_back(
        std::make_unique<StatingEndpoint>(m_Store, Id, Service));
    return *m_Endpoints.back();
  }
  void startGateways(std::size_t Count) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      startGateway();
    for (const auto &Gateway : m_Gateways)
      CHECK(Gateway->waitUntilReady());
    // The VMs have to know each other, and the endpoints.
    std::this_thread::sleep_for(600ms);
  }
  GatewayProcess &startGateway() {
    // The hosts differ and the port does not, so that digests reach the others.
    GatewayOptions Options;
    std::string Number = std::to_string(m_Gateways.size() + 1);
    Options.m_Name = "vm-" + Number;
    Options.m_Host = "127.0.0." + Number;
    Options.m_StoreAddress = m_Store.address();
    Options.m_DigestPort = parseSocketAddress(m_DigestPort.address())->m_Port;
    for (const auto &Gateway : m_Gateways)
      Options.m_Seeds.push_back(Gateway->peerAddress());
    m_Gateways.push_back(std::make_unique<GatewayProcess>(Options));
    return *m_Gateways.back();
  }
  HttpAnswer send(const std::string &Path, std::size_t Gateway) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Token-Count", "100,20"},
                         {"Deadline-Ms", "2500"}};
    return sendHttp(m_Gateways[Gateway]->callerAddress(), Request);
  }
  /// Sends requests to each gateway; returns how many of them were answered.
  int sendToAll(const std::string &Path, int RequestsEach) {
    int Answered = 0;
    for (int Number = 0; Number < RequestsEach; ++Number)
      for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
        Answered += send(Path, Gateway).m_Status == 200;
    return Answered;
  }
  /// Sends requests to a gateway until Endpoint has got one.
  void sendUntilReached(const StatingEndpoint &Endpoint,
                        const std::string &Path, std::size_t Gateway) {
    int Before = Endpoint.requests();
    CHECK(eventually([&] {
      send(Path, Gateway);
      return Endpoint.requests() > Before;
    }));
  }
  /// The number of lines of a gateway's log that contain Text.
  int logLines(std::size_t Gateway, const std::string &Text) const {
    std::string Output = m_Gateways[Gateway]->process().output();
    int Lines = 0;
    for (std::size_t At = Output.find(Text); At != std::string::npos;
         At = Output.find(Text, At + 1))
      ++Lines;
    return Lines;
  }
  /// Checks that no VM uses Leaving from when it answers one request of one VM
  /// with Last, which states that it is leaving, although it stays listed.
  void checkLeft(StatingEndpoint & Leaving, const std::string &Path,
                 const Behaviour &Last) {
    Leaving.set(Last);
    sendUntilReached(Leaving, Path, 0);
    // What only one answer states is not forgotten.
    Leaving.set({});
    int Before = Leaving.requests();
    int Answered = 0;
    for (int Number = 0; Number < 20; ++Number)
      Answered += send(Path, 0).m_Status == 200;
    LONGS_EQUAL(20, Answered);
    LONGS_EQUAL(Before, Leaving.requests());
    std::this_thread::sleep_for(DigestTime);
    Before = Leaving.requests();
    LONGS_EQUAL(15, sendToAll(Path, 5));
    LONGS_EQUAL(Before, Leaving.requests());
  }
};

// Guards against requests that reach an endpoint of a plain service after it
// has said that it is leaving in an answer, a refusal or a failure, to a VM or
// to another one.
TEST(StatedLeaving, PlainEndpointGetsNoNewRequests) {
  addEndpoint("other", "plain");
  startGateways(3);
  // Each is listed only then: one that was slow once is used seldom.
  checkLeft(addEndpoint("first", "plain"), "/once/a", {200, false, "1"});
  checkLeft(addEndpoint("second", "plain"), "/repeat/a", {503, true, "1"});
  checkLeft(addEndpoint("third", "plain"), "/repeat/a", {500, false, "1"});
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
    CHECK(eventually([&] {
      return logLines(Gateway, "\"event\":\"endpoint-leaving\"") == 3;
    }));
}

// Guards against the same at an engine.
TEST(StatedLeaving, EngineGetsNoNewStreams) {
  StatingEndpoint &Leaving = addEndpoint("leaving", "model");
  addEndpoint("other", "model");
  startGateways(3);
  checkLeft(Leaving, "/stream/a", {200, false, "1"});
}

// Guards against streams that reach an engine which has stated only in its
// report that it is leaving, and against the end of the stream that runs there.
TEST(StatedLeaving, ReportsAreReadAsWell) {
  StatingEndpoint &Leaving = addEndpoint("leaving", "model");
  startGateways(1);
  sendUntilReached(Leaving, "/stream/a", 0);
  Behaviour Slow;
  Slow.m_Leaving = "1";
  Slow.m_IsInReportsOnly = true;
  Slow.m_Delay = 400ms; // Longer than a VM waits until it asks for the pace.
  Leaving.set(Slow);
  LONGS_EQUAL(200, send("/stream/a", 0).m_Status);
  Leaving.set({});
  CHECK(eventually(
      [&] { return logLines(0, "\"event\":\"endpoint-leaving\"") == 1; }));
  LONGS_EQUAL(503, send("/stream/a", 0).m_Status);
}

// Guards against a request that goes on waiting for capacity after the VM has
// been told that all engines are leaving.
TEST(StatedLeaving, WaitingRequestsEndWhenAllEndpointsAreLeaving) {
  StatingEndpoint &Leaving = addEndpoint("leaving", "model");
  startGateways(2);
  sendUntilReached(Leaving, "/stream/a", 1);
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 3; ++Caller)
    Callers.emplace_back([&] {
      while (!IsStopping)
        send("/stream/full", 0);
    });
  // The gateway uses an engine seldom that rejects everything for so long.
  std::this_thread::sleep_for(1700ms);
  Leaving.set({200, false, "1"});
  send("/stream/a", 1);
  bool HasEnded = eventually(
      [&] { return logLines(0, "\"reason\":\"endpoints-leaving\"") > 20; });
  IsStopping = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(HasEnded);
  int Waited = 0;
  std::istringstream Output(m_Gateways[0]->process().output());
  for (std::string Line; std::getline(Output, Line);) {
    auto Fields = nlohmann::json::parse(Line, nullptr, false);
    if (Fields.is_object() &&
        Fields.value("reason", "") == "endpoints-leaving" &&
        Fields.value("waited_ms", 0) > 0)
      ++Waited;
  }
  CHECK(Waited > 0);
}

// Guards against an entry that is read later, an outage of the store, or the
// loss of the entry meanwhile, that bring the endpoint back; and against its
// next incarnation being left out as well.
TEST(StatedLeaving, OnlyANewIncarnationIsUsedAgain) {
  StatingEndpoint &Leaving = addEndpoint("leaving", "plain");
  addEndpoint("other", "plain");
  startGateways(2);
  Leaving.set({200, false, "1"});
  sendUntilReached(Leaving, "/once/a", 0);
  Leaving.set({});
  Leaving.list(1000);
  std::this_thread::sleep_for(DigestTime);
  int Before = Leaving.requests();
  LONGS_EQUAL(20, sendToAll("/once/a", 10));
  m_Store.setDown(true);
  LONGS_EQUAL(20, sendToAll("/once/a", 10));
  m_Store.remove("servers/leaving");
  m_Store.setDown(false);
  std::this_thread::sleep_for(DigestTime);
  Leaving.list(1000);
  std::this_thread::sleep_for(DigestTime);
  LONGS_EQUAL(20, sendToAll("/once/a", 10));
  LONGS_EQUAL(Before, Leaving.requests());
  Leaving.list(2000);
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
    sendUntilReached(Leaving, "/once/a", Gateway);
}

// Guards against a VM that starts and uses an endpoint of which the others know
// that it is leaving.
TEST(StatedLeaving, StartingVMLearnsItFromTheOthers) {
  StatingEndpoint &Leaving = addEndpoint("leaving", "plain");
  addEndpoint("other", "plain");
  startGateways(2);
  Leaving.set({200, false, "1"});
  sendUntilReached(Leaving, "/once/a", 0);
  Leaving.set({});
  std::this_thread::sleep_for(DigestTime);
  int Before = Leaving.requests();
  CHECK(startGateway().waitUntilReady());
  LONGS_EQUAL(60, sendToAll("/once/a", 20));
  LONGS_EQUAL(Before, Leaving.requests());
}

// Guards against callers that wait for endpoints that will not serve them.
TEST(StatedLeaving, CallersAreRefusedAtOnceWhenAllEndpointsAreLeaving) {
  for (const char *Service : {"plain", "model"}) {
    StatingEndpoint &Leaving =
        addEndpoint(std::string("leaving-") + Service, Service);
    std::string Path =
        std::string(Service) == "plain" ? "/once/a" : "/stream/a";
    if (m_Gateways.empty())
      startGateways(1);
    Leaving.set({200, false, "1"});
    sendUntilReached(Leaving, Path, 0);
    int Before = Leaving.requests();
    for (int Number = 0; Number < 5; ++Number) {
      Clock::time_point SentAt = Clock::now();
      HttpAnswer Reply = send(Path, 0);
      LONGS_EQUAL(503, Reply.m_Status);
      CHECK(!Reply.header("Retry-After").empty());
      CHECK(Clock::now() - SentAt < 100ms);
    }
    LONGS_EQUAL(Before, Leaving.requests());
  }
  CHECK(eventually(
      [&] { return logLines(0, "\"reason\":\"endpoints-leaving\"") == 10; }));
}

// Guards against another endpoint, which uses the address now, that speaks for
// this one; and against values that state nothing.
TEST(StatedLeaving, OtherStatementsAreIgnored) {
  StatingEndpoint &Only = addEndpoint("only", "plain");
  startGateways(1);
  for (const Behaviour &Value : std::vector<Behaviour>{
           {421, true, "1"}, {200, false, "0"}, {200, false, "yes"}}) {
    Only.set(Value);
    sendUntilReached(Only, "/once/a", 0);
    Only.set({});
    sendUntilReached(Only, "/once/a", 0);
  }
  CHECK(eventually([&] {
    return logLines(0, "\"event\":\"endpoint-leaving-rejected\"") == 2;
  }));
  LONGS_EQUAL(0, logLines(0, "\"event\":\"endpoint-leaving\""));
}

PARSLEYRING_TEST_MAIN
