#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/RawHttpServer.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static const std::string Events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

static std::string answer(const std::string &Status, const std::string &Id,
                          const std::string &Fields, const std::string &Body) {
  std::string Text = "HTTP/1.1 " + Status + "\r\n";
  if (!Id.empty())
    Text += "Attempt-Id: " + Id + "\r\n";
  return Text + Fields + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

static std::string rejection(const std::string &Id) {
  return answer("503 Service Unavailable", Id, "Not-Executed: 1\r\n", "");
}

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
  /// Its rejections do not name the request.
  void leaveOutIds() { m_LeavesOutIds = true; }
  /// Takes all requests and rejects calls for its report instead. Its answers
  /// to requests take long, and close the connection.
  void rejectReports() {
    m_IsFull = false;
    m_RejectsReports = true;
  }

private:
  std::string respond(const RawRequest &Call) {
    std::string Id = Call.field("Attempt-Id");
    std::unique_lock<std::mutex> Lock(m_Mutex);
    if (Id.empty() ? m_RejectsReports.load() : m_IsFull.exchange(false)) {
      std::string Text = rejection(m_LeavesOutIds ? "" : Id);
      m_Copies[Call.m_Connection] = Text;
      return Text;
    }
    if (Id.empty())
      return answer("200 OK", "", "", "{}");
    std::string Copy = m_Copies[Call.m_Connection];
    m_Copies.erase(Call.m_Connection);
    ++m_Runs[Id];
    std::string Fields = "Server-Seal: s\r\n";
    if (m_RejectsReports) {
      Fields += "Connection: close\r\n";
      Lock.unlock();
      std::this_thread::sleep_for(600ms);
    }
    return Copy + answer("200 OK", Id, Fields, Events);
  }

  std::mutex m_Mutex;
  std::atomic<bool> m_IsFull{true};
  std::atomic<bool> m_LeavesOutIds{false};
  std::atomic<bool> m_RejectsReports{false};
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

// Guards against the copy of a rejection without an id that is taken for the
// answer to the next request: its caller was told that it had not run.
TEST(LateCopy, RequestAfterAnUnidentifiedRejectionRunsOnce) {
  m_Endpoint.leaveOutIds();
  m_Store.put("servers/e1", serverEntry("plain", m_Endpoint.address()));
  start();
  LONGS_EQUAL(503, send("/once/a", "id-1").m_Status);
  LONGS_EQUAL(0, m_Endpoint.runs("id-1"));
  // The endpoint gets no requests for a moment.
  std::this_thread::sleep_for(200ms);
  LONGS_EQUAL(200, send("/once/a", "id-2").m_Status);
  LONGS_EQUAL(1, m_Endpoint.runs("id-2"));
}

// Guards against the copy of an answer to a call of the gateway's own, which
// has no id, that is taken for the rejection of a stream.
TEST(LateCopy, StreamAfterARejectedReportRunsOnce) {
  m_Endpoint.rejectReports();
  m_Store.put("servers/e1", serverEntry("model", m_Endpoint.address()));
  start();
  for (const char *Id : {"id-1", "id-2", "id-3"}) {
    LONGS_EQUAL(200, send("/stream/a", Id).m_Status);
    LONGS_EQUAL(1, m_Endpoint.runs(Id));
  }
}

PARSLEYRING_TEST_MAIN
