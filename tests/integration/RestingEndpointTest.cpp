#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
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

// Bounds of the platform: from this time after its answer on, an endpoint gets
// at most so many requests of a VM until the end of the time that it stated.
static constexpr std::chrono::milliseconds NoticeTime = 500ms;
static constexpr int MaxRequestsWhileResting = 2;

namespace {

/// An endpoint that answers at once, or rejects all requests for a time that
/// it states. An engine rejects only requests whose path contains Part, if that
/// is set, and names it as the one that rests.
class RestingEndpoint {
public:
  RestingEndpoint(FakeMetadataStore &Store, const std::string &Id,
                  const std::string &Service, int FirstLayer = 0,
                  int EndLayer = 10)
      : m_Server([this](const ReceivedCall &Call) { return respond(Call); }) {
    nlohmann::json Entry =
        nlohmann::json::parse(serverEntry(Service, m_Server.address()));
    Entry["layers"]["from"] = FirstLayer;
    Entry["layers"]["target"] = EndLayer;
    Store.put("servers/" + Id, Entry.dump());
  }

  const std::string &address() const { return m_Server.address(); }
  void rest(std::chrono::milliseconds Time, const std::string &Part = {}) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_RestEnd = Clock::now() + Time;
    m_Part = Part;
  }
  /// Requests that the resting endpoint got although it had told so.
  int lateRequests() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_LateRequests;
  }
  int rejections() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Rejections;
  }
  int answersSince(Clock::time_point From) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return static_cast<int>(
        std::count_if(m_Answers.begin(), m_Answers.end(),
                      [From](Clock::time_point At) { return At >= From; }));
  }

private:
  FakeEndpointAnswer respond(const ReceivedCall &Call) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Clock::time_point Now = Clock::now();
    FakeEndpointAnswer Answer;
    bool IsMeant = m_Part.empty() ||
                   Call.header("Hop-Count").find(m_Part) != std::string::npos;
    if (Now < m_RestEnd && IsMeant) {
      if (m_Rejections++ == 0)
        m_FirstRejectionAt = Now;
      m_LateRequests += Now >= m_FirstRejectionAt + NoticeTime;
      double Seconds = std::chrono::duration<double>(m_RestEnd - Now).count();
      Answer.m_Status = 503;
      Answer.m_HasServerSeal = false;
      Answer.m_Headers = {{"Not-Executed", "1"},
                          {"Retry-After", std::to_string(Seconds)}};
      if (!m_Part.empty())
        Answer.m_Headers["At-Server"] = m_Part;
      return Answer;
    }
    if (Call.header("Attempt-Id").empty()) {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    m_Answers.push_back(Now);
    if (Call.m_Path.rfind("/stream/", 0) == 0)
      Answer.m_Chunks = {"id: 1\ndata: only\n\n"};
    return Answer;
  }

  mutable std::mutex m_Mutex;
  Clock::time_point m_RestEnd{};
  Clock::time_point m_FirstRejectionAt{};
  std::string m_Part;
  int m_Rejections = 0;
  int m_LateRequests = 0;
  std::vector<Clock::time_point> m_Answers;
  FakeEndpoint m_Server;
};

} // namespace

TEST_GROUP(RestingEndpoint) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;
  std::vector<std::thread> m_Callers;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<int> m_Requests{0};
  std::atomic<int> m_Answered{0};
  std::atomic<int> m_Failed{0};

  void setup() override {
    m_Store.put("op/config", gatewayConfiguration(1));
    m_Gateway = std::make_unique<GatewayProcess>("vm-a", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  void teardown() override {
    stopCallers();
    m_Gateway.reset();
  }
  HttpAnswer send(const std::string &Path, std::string Id = {}) {
    if (Id.empty())
      Id = "id-" + std::to_string(++m_Requests);
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", Id},
                         {"Authorization", "Bearer key-1"},
                         {"Token-Count", "100,20"},
                         {"Deadline-Ms", "2500"}};
    HttpAnswer Reply = sendHttp(m_Gateway->callerAddress(), Request);
    ++(Reply.m_Status == 200 ? m_Answered : m_Failed);
    return Reply;
  }
  /// Waits until the gateway uses all of Endpoints.
  void waitUntilUsed(const std::string &Path,
                     const std::vector<RestingEndpoint *> &Endpoints) {
    for (RestingEndpoint *Endpoint : Endpoints)
      CHECK(eventually([&] {
        send(Path);
        return Endpoint->answersSince({}) > 0;
      }));
    m_Answered = m_Failed = 0;
  }
  void startCallers(const std::string &Path) {
    for (int Caller = 0; Caller < 3; ++Caller)
      m_Callers.emplace_back([this, Path] {
        while (!m_IsStopping) {
          send(Path);
          std::this_thread::sleep_for(20ms);
        }
      });
  }
  void stopCallers() {
    m_IsStopping = true;
    for (std::thread &Caller : m_Callers)
      Caller.join();
    m_Callers.clear();
  }
};

// Guards against requests to an endpoint of a plain service that has asked for
// none for a time, while another one has capacity; and against leaving it alone
// for longer.
TEST(RestingEndpoint, PlainEndpointGetsNoRequestsWhileItRests) {
  RestingEndpoint Resting(m_Store, "resting", "plain");
  RestingEndpoint Other(m_Store, "other", "plain");
  waitUntilUsed("/repeat/a", {&Resting, &Other});
  startCallers("/repeat/a");
  Clock::time_point RestEnd = Clock::now() + 2000ms;
  Resting.rest(2000ms);
  std::this_thread::sleep_until(RestEnd + 700ms);
  stopCallers();
  std::string Message = std::to_string(Resting.rejections()) + " rejected, " +
                        std::to_string(Resting.lateRequests()) + " late, " +
                        std::to_string(Resting.answersSince(RestEnd)) +
                        " after the rest, " + std::to_string(m_Answered) +
                        " answered, " + std::to_string(m_Failed) + " not";
  CHECK_TEXT(Resting.rejections() > 0, Message.c_str());
  CHECK_TEXT(Resting.lateRequests() <= MaxRequestsWhileResting,
             Message.c_str());
  CHECK_TEXT(Resting.answersSince(RestEnd) > 0, Message.c_str());
  CHECK_TEXT(m_Failed == 0, Message.c_str());
}

// Guards against paths through an engine that has asked for no requests, and
// against leaving the engine alone that passed this on.
TEST(RestingEndpoint, PathsAvoidThePartThatRests) {
  RestingEndpoint First(m_Store, "first", "model", 0, 5);
  RestingEndpoint Resting(m_Store, "resting", "model", 5, 10);
  RestingEndpoint Other(m_Store, "third", "model", 5, 10);
  waitUntilUsed("/stream/a", {&First});
  startCallers("/stream/a");
  std::this_thread::sleep_for(300ms);
  First.rest(2000ms, Resting.address());
  std::this_thread::sleep_for(2000ms);
  stopCallers();
  std::string Message = std::to_string(First.rejections()) + " rejected, " +
                        std::to_string(First.lateRequests()) + " late, " +
                        std::to_string(m_Answered) + " answered, " +
                        std::to_string(m_Failed) + " not";
  CHECK_TEXT(First.rejections() > 0, Message.c_str());
  CHECK_TEXT(First.lateRequests() <= MaxRequestsWhileResting, Message.c_str());
  CHECK_TEXT(m_Answered > 50, Message.c_str());
  CHECK_TEXT(m_Failed == 0, Message.c_str());
}

// Guards against callers that wait for nothing, come back too early or all at
// the same time, when all endpoints rest.
TEST(RestingEndpoint, CallersAreToldWhenTheFirstRestEnds) {
  RestingEndpoint PlainShort(m_Store, "a", "plain");
  RestingEndpoint PlainLong(m_Store, "b", "plain");
  RestingEndpoint Engine(m_Store, "c", "model");
  waitUntilUsed("/repeat/a", {&PlainShort, &PlainLong});
  waitUntilUsed("/stream/a", {&Engine});
  Clock::time_point RestEnd = Clock::now() + 1500ms;
  PlainShort.rest(1500ms);
  PlainLong.rest(8000ms);
  Engine.rest(1500ms);
  for (const char *Path : {"/repeat/a", "/stream/a"}) {
    // The first ones find out that the endpoints rest.
    for (int Request = 0; Request < 4; ++Request)
      send(Path);
    std::set<std::string> Times;
    for (int Request = 0; Request < 8; ++Request) {
      Clock::time_point SentAt = Clock::now();
      HttpAnswer Reply = send(Path);
      LONGS_EQUAL(503, Reply.m_Status);
      CHECK(Clock::now() - SentAt < 200ms);
      double Seconds = std::stod(Reply.header("Retry-After"));
      Clock::time_point Return =
          Clock::now() + std::chrono::milliseconds(std::int64_t(Seconds * 1e3));
      CHECK_TEXT(Return >= RestEnd - 20ms, Reply.header("Retry-After").c_str());
      CHECK_TEXT(Return <= RestEnd + 1500ms,
                 Reply.header("Retry-After").c_str());
      Times.insert(Reply.header("Retry-After"));
    }
    CHECK(Times.size() >= 6);
  }
  std::this_thread::sleep_until(RestEnd + 100ms);
  LONGS_EQUAL(200, send("/repeat/a").m_Status);
  LONGS_EQUAL(200, send("/stream/a").m_Status);
  LONGS_EQUAL(0, PlainShort.lateRequests() + PlainLong.lateRequests() +
                     Engine.lateRequests());
}

// Guards against rests that are read from bytes which do not show that this
// endpoint has rejected this request, or that are missed because of the form of
// the field.
TEST(RestingEndpoint, OnlyProvedRejectionsStateARest) {
  struct Form {
    const char *m_Fields;
    bool m_IsRest;
    const char *m_Body = "Content-Length: 0\r\n\r\n";
  };
  const std::string Date = "Date: Sun, 06 Nov 1994 08:49:37 GMT\r\n";
  const std::string Dated =
      Date +
      "Not-Executed: 1\r\nRetry-After: Sun, 06 Nov 1994 08:49:40 GMT\r\n";
  const std::string Past =
      Date +
      "Not-Executed: 1\r\nRetry-After: Sun, 06 Nov 1994 08:49:30 GMT\r\n";
  const Form Forms[] = {
      {"Not-Executed: 1\r\nRetry-After: 3\r\n", true},
      {"Not-Executed: 1\r\nretry-after: 2.5\r\n", true},
      {"Not-Executed: 1\r\nRetry-After: 0.1\r\nRetry-After: 3\r\n", true},
      {"Not-Executed: 1\r\nRetry-After: soon\r\nRetry-After: 3\r\n", true},
      {"Server-Seal: s\r\nAttempt-Id: same\r\nRetry-After: 3\r\n", true},
      {Dated.c_str(), true},
      {Past.c_str(), false},
      {"Not-Executed: 1\r\nRetry-After: 0\r\n", false},
      {"Not-Executed: 1\r\nRetry-After: -3\r\n", false},
      {"Not-Executed: 1\r\nRetry-After: 3 s\r\n", false},
      {"Not-Executed: 1\r\n", false},
      {"Retry-After: 3\r\n", false},
      {"Not-Executed: 1\r\nAttempt-Id: other\r\nRetry-After: 3\r\n", false},
      {"Not-Executed: 1\r\nTrailer: Retry-After\r\n", false,
       "Transfer-Encoding: chunked\r\n\r\n0\r\nRetry-After: 3\r\n\r\n"},
  };
  for (const Form &Tried : Forms) {
    ScriptedServer Server(std::string("HTTP/1.1 503 Busy\r\nConnection: close"
                                      "\r\n") +
                              Tried.m_Fields + Tried.m_Body,
                          ScriptedServer::End::Close);
    m_Store.put("servers/e", serverEntry("plain", Server.address()));
    CHECK(eventually([&] {
      send("/once/a", "same");
      return Server.hasRequest();
    }));
    HttpAnswer Reply = send("/once/a", "same");
    double Seconds =
        Reply.m_Status == 503 ? std::stod(Reply.header("Retry-After")) : 0;
    CHECK_EQUAL_TEXT(Tried.m_IsRest, Seconds > 2, Tried.m_Fields);
  }
}

// Guards against a rest that is missed since the endpoint states it to a call
// of the VM's own: the report that it is asked for when a stream falls silent.
TEST(RestingEndpoint, AnswersToReportsStateARest) {
  std::atomic<bool> HasRejected{false};
  FakeEndpoint Engine([&](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (!Call.header("Attempt-Id").empty()) {
      std::this_thread::sleep_for(800ms);
      Answer.m_Chunks = {"id: 1\ndata: only\n\n"};
      return Answer;
    }
    HasRejected = true;
    Answer.m_Status = 503;
    Answer.m_Headers = {{"Not-Executed", "1"}, {"Retry-After", "3"}};
    return Answer;
  });
  m_Store.put("servers/e", serverEntry("model", Engine.address()));
  CHECK(eventually([&] {
    send("/stream/a");
    return HasRejected.load();
  }));
  HttpAnswer Reply = send("/stream/a");
  LONGS_EQUAL(503, Reply.m_Status);
  CHECK(std::stod(Reply.header("Retry-After")) > 1);
}

PARSLEYRING_TEST_MAIN
