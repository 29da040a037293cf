#include "gateway/GatewayNode.h"

#include "PlatformEndpointProtocol.h"
#include "PlatformStoreProtocol.h"
#include "gateway/HttpConnection.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

namespace {

/// Throws where a test wants it, as a reader with a fault does.
class FailingProtocol final : public PlatformEndpointProtocol {
public:
  std::atomic<bool> m_FailsForReports{false};
  std::atomic<bool> m_FailsForCalls{false};
  std::atomic<bool> m_FailsForPaths{false};

  LeavingStatement leavingStatement(const ResponseHead &Head) const override {
    if (Head.has("X-Fail"))
      throw std::runtime_error("head");
    return PlatformEndpointProtocol::leavingStatement(Head);
  }
  EngineReport parseReport(const std::string &Body,
                           std::string &Finding) const override {
    if (m_FailsForReports)
      throw std::runtime_error("report");
    return PlatformEndpointProtocol::parseReport(Body, Finding);
  }
  EndpointCall reportCall() const override {
    if (m_FailsForCalls)
      throw std::runtime_error("call");
    return PlatformEndpointProtocol::reportCall();
  }
  std::string pathText(const LayerPath &Path) const override {
    if (m_FailsForPaths)
      throw std::runtime_error("path");
    return PlatformEndpointProtocol::pathText(Path);
  }
};

class FailingRecords final : public PlatformRecordFormat {
public:
  std::optional<EndpointEntry>
  parseEndpoint(const std::string &Id, const std::string &Text,
                std::string &Finding) const override {
    if (Id.compare(0, 3, "bad") == 0)
      throw std::runtime_error("entry");
    return PlatformRecordFormat::parseEndpoint(Id, Text, Finding);
  }
};

} // namespace

TEST_GROUP(GatewayNode) {
  FakeMetadataStore m_Store;
  FailingProtocol m_Protocol;
  FailingRecords m_Records;
  PlatformStoreProtocol m_StoreProtocol;
  FreePort m_CallerPort, m_ReadyPort, m_PeerPort, m_MetricsPort;
  std::unique_ptr<FakeEndpoint> m_Plain;
  std::unique_ptr<FakeEndpoint> m_Engine;
  std::unique_ptr<GatewayNode> m_Node;
  std::thread m_Loop;

  void setup() override {
    m_Plain = std::make_unique<FakeEndpoint>([](const ReceivedCall &Call) {
      FakeEndpointAnswer Answer;
      if (Call.m_Path == "/once/bad")
        Answer.m_Headers["X-Fail"] = "1";
      else if (Call.m_Path == "/once/slow")
        std::this_thread::sleep_for(900ms);
      return Answer;
    });
    m_Engine = std::make_unique<FakeEndpoint>([](const ReceivedCall &Call) {
      FakeEndpointAnswer Answer;
      if (Call.m_Path == "/v1/report") {
        Answer.m_Body = "{}";
        return Answer;
      }
      Answer.m_Chunks = {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"};
      // Longer than the pause after which an engine is asked for its report.
      Answer.m_BeforeChunk = [](std::size_t) {
        std::this_thread::sleep_for(600ms);
      };
      return Answer;
    });
    m_Store.put("op/config", gatewayConfiguration(1));
    m_Store.put("servers/plain", serverEntry("plain", m_Plain->address()));
    m_Store.put("servers/zengine", serverEntry("model", m_Engine->address()));
  }

  void start() {
    GatewaySettings Settings;
    Settings.m_VM = "vm-0";
    Settings.m_FailureDomain = "zone-a";
    Settings.m_CallerAddress = m_CallerPort.address();
    Settings.m_ReadyAddress = m_ReadyPort.address();
    Settings.m_PeerAddress = m_PeerPort.address();
    Settings.m_MetricsAddress = m_MetricsPort.address();
    Settings.m_StoreAddress = m_Store.address();
    Settings.m_RetryBound = {0.2, 200, 10s};
    m_Node = std::make_unique<GatewayNode>(Settings, m_StoreProtocol,
                                           m_Protocol, m_Records);
    m_Loop = std::thread([this] { m_Node->run(); });
    CHECK(eventually([this] {
      return sendHttp(m_ReadyPort.address(), {"GET", "/v1/readyz"}).m_Status ==
             200;
    }));
  }
  void teardown() override {
    std::raise(SIGTERM);
    m_Loop.join();
  }

  HttpAnswer send(const std::string &Path) const {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id" + Path.substr(Path.rfind('/'))},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "2500"}};
    return sendHttp(m_CallerPort.address(), Request);
  }
  std::string metrics() const {
    return sendHttp(m_MetricsPort.address(), {"GET", "/metrics"}).m_Body;
  }
  void checkFailureIsCounted(const std::string &Handler) const {
    CHECK(metrics().find("parsleyring_handler_failures_total{handler=\"" +
                         Handler + "\"}") != std::string::npos);
  }
  /// Runs Failing while another request is in progress, which must complete.
  void checkOthersComplete(const std::function<void()> &Failing) const {
    HttpAnswer Other;
    std::thread Caller([&] { Other = send("/once/slow"); });
    std::this_thread::sleep_for(200ms);
    Failing();
    Caller.join();
    LONGS_EQUAL(200, Other.m_Status);
    LONGS_EQUAL(200, send("/once/after").m_Status);
  }
};

// Guards against an answer whose handling fails and that ends the requests of
// all callers.
TEST(GatewayNode, FailureInAnAnswerEndsOneRequest) {
  start();
  checkOthersComplete([this] {
    LONGS_EQUAL(502, send("/once/bad").m_Status);
    LONGS_EQUAL(502, send("/once/bad").m_Status);
  });
  checkFailureIsCounted("event");
}

// Guards against a report whose reader fails and that ends all requests, or
// after which no report of the engine is asked for any more.
TEST(GatewayNode, FailureInAReportEndsNoRequest) {
  start();
  m_Protocol.m_FailsForReports = true;
  checkOthersComplete([this] {
    LONGS_EQUAL(200, send("/stream/a").m_Status);
    checkFailureIsCounted("event");
    m_Protocol.m_FailsForReports = false;
    std::size_t Calls = m_Engine->calls().size();
    LONGS_EQUAL(200, send("/stream/b").m_Status);
    CHECK(m_Engine->calls().size() > Calls + 1);
  });
}

// Guards against a request that fails when it arrives and that ends all others,
// or is never answered.
TEST(GatewayNode, FailureInARequestEndsThatRequest) {
  start();
  m_Protocol.m_FailsForPaths = true;
  checkOthersComplete([this] { LONGS_EQUAL(500, send("/stream/a").m_Status); });
  checkFailureIsCounted("event");
}

// Guards against a failure in periodic work that stops the periodic work, on
// which deadlines depend.
TEST(GatewayNode, FailureInATickEndsOneRequest) {
  start();
  m_Protocol.m_FailsForCalls = true;
  checkOthersComplete([this] { LONGS_EQUAL(502, send("/stream/a").m_Status); });
  checkFailureIsCounted("request");
  m_Protocol.m_FailsForCalls = false;
  LONGS_EQUAL(200, send("/stream/b").m_Status);
}

// Guards against an item of the store that fails and hides the items after it,
// at the start or as a change.
TEST(GatewayNode, FailureInAnItemHidesNoOther) {
  m_Store.put("servers/bad-1", serverEntry("plain", m_Plain->address()));
  start();
  LONGS_EQUAL(200, send("/once/a").m_Status);
  checkFailureIsCounted("store-item");
  FakeEndpoint Second([](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Body = "second";
    return Answer;
  });
  m_Store.put("servers/bad-2", serverEntry("plain", Second.address()));
  m_Store.put("servers/second", serverEntry("plain", Second.address()));
  m_Store.remove("servers/plain");
  CHECK(eventually([&] { return send("/once/b").m_Body == "second"; }));
}

PARSLEYRING_TEST_MAIN
