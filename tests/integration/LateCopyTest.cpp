#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/RawHttpServer.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static const std::string Events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

namespace {

/// A faulty endpoint that is full when the first request arrives. It rejects
/// that one truly, and sends a second copy of the rejection where the next
/// answer on the connection is expected.
class LateCopyEndpoint {
public:
  LateCopyEndpoint()
      : m_Server([this](const RawRequest &Call) { return respond(Call); }) {}

  std::string address() const { return m_Server.address(); }
  int runs(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Runs[Id];
  }

private:
  static std::string answer(const std::string &Status, const std::string &Id,
                            const std::string &Fields,
                            const std::string &Body) {
    return "HTTP/1.1 " + Status + "\r\nAttempt-Id: " + Id + "\r\n" + Fields +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  std::string respond(const RawRequest &Call) {
    std::string Id = Call.field("Attempt-Id");
    if (Id.empty())
      return answer("200 OK", "", "", "{}");
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (m_IsFull) {
      m_IsFull = false;
      m_Copies[Call.m_Connection] =
          answer("503 Service Unavailable", Id, "Not-Executed: 1\r\n", "");
      return m_Copies[Call.m_Connection];
    }
    std::string Copy = m_Copies[Call.m_Connection];
    m_Copies.erase(Call.m_Connection);
    ++m_Runs[Id];
    return Copy + answer("200 OK", Id, "Server-Seal: s\r\n", Events);
  }

  std::mutex m_Mutex;
  bool m_IsFull = true;
  std::map<int, std::string> m_Copies; ///< By connection.
  std::map<std::string, int> m_Runs;   ///< By attempt id.
  RawHttpServer m_Server;
};

} // namespace

TEST_GROUP(LateCopy) {
  FakeMetadataStore m_Store;
  LateCopyEndpoint m_Endpoint;
  std::unique_ptr<GatewayProcess> m_Gateway;

  /// Requests of each kind may run once only, but may be sent twice.
  static std::string configuration() {
    auto Root = nlohmann::json::parse(gatewayConfiguration(1));
    for (auto &Route : Root["routes"]) {
      Route["resumable"] = false;
      Route["max_attempts"] = 2;
      Route["latency_goal_ms"] = 2000;
    }
    return Root.dump();
  }
  void start() {
    m_Store.put("op/config", configuration());
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  HttpAnswer send(const std::string &Path, const std::string &Id) const {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", Id},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "2500"}};
    return sendHttp(m_Gateway->callerAddress(), Request);
  }
  void checkRunsOnce(const std::string &Path) {
    HttpAnswer Answer = send(Path, "id-1");
    LONGS_EQUAL(1, m_Endpoint.runs("id-1"));
    LONGS_EQUAL(200, Answer.m_Status);
    STRCMP_EQUAL(Events.c_str(), Answer.m_Body.c_str());
    Answer = send(Path, "id-2");
    LONGS_EQUAL(1, m_Endpoint.runs("id-2"));
    STRCMP_EQUAL(Events.c_str(), Answer.m_Body.c_str());
  }
};

// Guards against the copy of a rejection that is taken for the answer to the
// second sending of the same stream, which is then sent a third time.
TEST(LateCopy, RejectedStreamRunsOnce) {
  m_Store.put("servers/e1", serverEntry("model", m_Endpoint.address()));
  start();
  checkRunsOnce("/stream/a");
}

// Guards against the same for a plain request, which can come to the same
// connection again if an address is listed under two ids.
TEST(LateCopy, RejectedPlainRequestRunsOnce) {
  m_Store.put("servers/e1", serverEntry("plain", m_Endpoint.address()));
  m_Store.put("servers/e2", serverEntry("plain", m_Endpoint.address()));
  start();
  checkRunsOnce("/once/a");
}

PARSLEYRING_TEST_MAIN
