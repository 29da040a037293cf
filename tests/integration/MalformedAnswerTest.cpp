#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/RawHttpServer.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <atomic>
#include <memory>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static const std::string ProofFields = "Server-Seal: s\r\nAttempt-Id: id-1\r\n";
static const std::string Event = "id: 1\ndata: a\n\n";

/// An answer with this status line and these field lines, which bears the
/// endpoint's proof and an event as its body.
static std::string sealedAnswer(const std::string &StatusLine,
                                const std::string &FieldLines) {
  return StatusLine + "\r\n" + ProofFields + FieldLines +
         "Content-Length: " + std::to_string(Event.size()) + "\r\n\r\n" + Event;
}

TEST_GROUP(MalformedAnswer) {
  FakeMetadataStore m_Store;
  std::mutex m_Mutex; ///< Guards the answer.
  std::string m_Answer;
  std::atomic<int> m_Requests{0};
  std::atomic<int> m_ReusedConnections{0};
  std::unique_ptr<RawHttpServer> m_Endpoint;
  std::unique_ptr<GatewayProcess> m_Gateway;

  void setup() override {
    m_Endpoint =
        std::make_unique<RawHttpServer>([this](const RawRequest &Call) {
          ++m_Requests;
          m_ReusedConnections += Call.m_Index > 0;
          std::lock_guard<std::mutex> Lock(m_Mutex);
          return m_Answer;
        });
    m_Store.put("op/config", gatewayConfiguration(1));
  }
  void teardown() override {
    m_Gateway.reset();
    m_Endpoint.reset();
  }
  void start() {
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  /// Lists the endpoint that gives malformed answers for both services.
  void listFaulty() {
    m_Store.put("servers/plain-1", serverEntry("plain", m_Endpoint->address()));
    m_Store.put("servers/model-1", serverEntry("model", m_Endpoint->address()));
  }
  void setAnswer(const std::string &Answer) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Answer = Answer;
  }
  HttpAnswer send(const std::string &Path) const {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-1"},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "2500"}};
    return sendHttp(m_Gateway->callerAddress(), Request);
  }
  /// Sends a request on each kind of route to the endpoint, which gives this
  /// answer. Callers must get a failure that promises nothing, and the
  /// connection to the endpoint must not be used again.
  void checkRejected(const std::string &Answer) {
    setAnswer(Answer);
    for (const char *Path : {"/once/a", "/repeat/a", "/stream/a"}) {
      std::string Case = Path + (": " + Answer);
      int RequestsBefore = m_Requests;
      HttpAnswer Received = send(Path);
      CHECK_TEXT(m_Requests > RequestsBefore, Case.c_str());
      LONGS_EQUAL_TEXT(502, Received.m_Status, Case.c_str());
      STRCMP_EQUAL_TEXT("", Received.m_Body.c_str(), Case.c_str());
      STRCMP_EQUAL_TEXT("", Received.header("Server-Seal").c_str(),
                        Case.c_str());
      LONGS_EQUAL_TEXT(0, m_ReusedConnections, Case.c_str());
    }
  }
  bool logs(const std::string &Text) {
    return eventually([&] {
      return m_Gateway->process().output().find(Text) != std::string::npos;
    });
  }
};

// Guards against a status that no final answer can have and that reaches the
// caller as the status of an answer.
TEST(MalformedAnswer, StatusOutsideTheFinalOnesIsNotPassedOn) {
  listFaulty();
  start();
  for (const char *Status : {"000", "001", "099", "101", "600", "999"})
    for (const char *Type : {"application/json", "text/event-stream"})
      checkRejected(
          sealedAnswer(std::string("HTTP/1.1 ") + Status + " ",
                       std::string("Content-Type: ") + Type + "\r\n"));
  CHECK(logs("\"answer-malformed\""));
  CHECK(logs("status 000"));
}

// Guards against the same in an answer without a proof, without a body, after
// an interim answer, or with a statement that the request has not run.
TEST(MalformedAnswer, StatusZeroIsNoAnswerInAnyForm) {
  listFaulty();
  start();
  checkRejected("HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n");
  checkRejected("HTTP/1.1 000 \r\n" + ProofFields + "\r\n");
  checkRejected("HTTP/1.1 000 None\r\n" + ProofFields +
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  checkRejected("HTTP/1.1 103 Early\r\n\r\n" +
                sealedAnswer("HTTP/1.1 000 ", ""));
  checkRejected("HTTP/1.1 000 \r\n" + ProofFields +
                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

// Guards against a field name with a blank or a control byte that is passed
// on, or that hides the field that delimits the body.
TEST(MalformedAnswer, FieldNameThatIsNoTokenIsNotPassedOn) {
  const std::string Lines[] = {
      "X Bad: v\r\n",
      "X-Bad : v\r\n",
      "X-Bad\t: v\r\n",
      "X\tBad: v\r\n",
      std::string("X\0Bad: v\r\n", 10),
      "X\001Bad: v\r\n",
      "X-Bad\x7f: v\r\n",
      "X\rBad: v\r\n",
      "X\nBad: v\r\n",
      "X Bad:\r\n",
      ": v\r\n",
      "X-Bad\r\n",
      "Content-Length : 3\r\n",
      "Transfer-Encoding : chunked\r\n",
  };
  listFaulty();
  start();
  for (const std::string &Line : Lines) {
    checkRejected(sealedAnswer("HTTP/1.1 200 OK", Line));
    checkRejected("HTTP/1.1 103 Early\r\n" + Line + "\r\n" +
                  sealedAnswer("HTTP/1.1 200 OK", ""));
  }
  CHECK(logs("\"answer-malformed\""));
  CHECK(logs("bad field"));
}

// Guards against a field line that begins with a blank and is taken for the
// continuation of the one before: it would be passed on in that one's value,
// and hide the field that delimits the body.
TEST(MalformedAnswer, FieldNameAfterABlankIsNotPassedOn) {
  listFaulty();
  start();
  for (const char *Line : {" X-Bad: v\r\n", "\tX-Bad: v\r\n", " \r\n"}) {
    std::string Folded = std::string("X-Other: v\r\n") + Line;
    checkRejected(sealedAnswer("HTTP/1.1 200 OK", Folded));
    checkRejected("HTTP/1.1 103 Early\r\n" + Folded + "\r\n" +
                  sealedAnswer("HTTP/1.1 200 OK", ""));
  }
  checkRejected("HTTP/1.1 200 OK\r\n" + ProofFields +
                "X-Other: v\r\n Content-Length: 3\r\n\r\n" + Event);
  checkRejected("HTTP/1.1 200 OK\r\n" + ProofFields +
                "X-Other: v\r\n Transfer-Encoding: chunked\r\n"
                "Content-Length: 3\r\n\r\n" +
                Event);
  CHECK(logs("\"answer-malformed\""));
  CHECK(logs("begins with a blank"));
}

// Guards against a stream that has begun and whose next engine gives a
// malformed answer: what it sends must not be joined to the stream.
TEST(MalformedAnswer, StreamIsNotResumedWithAMalformedAnswer) {
  for (const std::string &Answer :
       {sealedAnswer("HTTP/1.1 000 ", ""),
        sealedAnswer("HTTP/1.1 200 OK", "X Bad: v\r\n"),
        sealedAnswer("HTTP/1.1 200 OK", "X-Other: v\r\n X-Bad: v\r\n")}) {
    std::atomic<int> Streams{0};
    FakeEndpoint First([&](const ReceivedCall &Call) {
      FakeEndpointAnswer Begun;
      Begun.m_IsTruncated = Call.m_Path == "/stream/a";
      if (Begun.m_IsTruncated) {
        ++Streams;
        Begun.m_Chunks = {Event};
      }
      return Begun;
    });
    setAnswer(Answer);
    m_Store.put("servers/first", serverEntry("model", First.address()));
    m_Store.remove("servers/model-1");
    start();
    int RequestsBefore = m_Requests;
    m_Store.put("servers/model-1", serverEntry("model", m_Endpoint->address()));
    // The first choice between the two is arbitrary.
    CHECK(eventually([&] {
      int StreamsBefore = Streams;
      HttpAnswer Received = send("/stream/a");
      if (Received.m_Status == 200)
        FAIL("an incomplete stream counts as complete");
      CHECK(Received.m_Body.empty() || Received.m_Body == Event);
      return Streams > StreamsBefore && m_Requests > RequestsBefore;
    }));
    m_Gateway.reset();
  }
}

// Guards against an idempotent request that fails although a sound endpoint
// could have answered it.
TEST(MalformedAnswer, IdempotentRequestGoesToAnotherEndpoint) {
  ScriptedServer Sound(sealedAnswer("HTTP/1.1 200 OK", ""),
                       ScriptedServer::End::Close);
  m_Store.put("servers/plain-2", serverEntry("plain", Sound.address()));
  m_Store.put("servers/model-2", serverEntry("model", Sound.address()));
  listFaulty();
  for (const std::string &Answer :
       {sealedAnswer("HTTP/1.1 000 ", ""),
        sealedAnswer("HTTP/1.1 200 OK", "X Bad: v\r\n"),
        sealedAnswer("HTTP/1.1 200 OK", "X-Other: v\r\n X-Bad: v\r\n")})
    for (const char *Path : {"/repeat/a", "/stream/a"}) {
      setAnswer(Answer);
      start();
      int RequestsBefore = m_Requests;
      // The first choice between the two is arbitrary.
      for (int Count = 0; Count < 20 && m_Requests == RequestsBefore; ++Count)
        LONGS_EQUAL(200, send(Path).m_Status);
      CHECK(m_Requests > RequestsBefore);
      m_Gateway.reset();
    }
}

// Guards against answers of the store that are used although their head is
// malformed, and against requests that are refused because of them.
TEST(MalformedAnswer, StoreWithMalformedAnswersCountsAsAway) {
  FakeEndpoint Endpoint([](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Body = "done";
    return Answer;
  });
  m_Store.put("servers/plain-1", serverEntry("plain", Endpoint.address()));
  start();
  LONGS_EQUAL(200, send("/repeat/a").m_Status);
  m_Store.setMalformed(true);
  m_Store.put("op/config", gatewayConfiguration(2, false));
  CHECK(logs("\"store-lost\""));
  LONGS_EQUAL(200, send("/repeat/a").m_Status);
  CHECK(m_Gateway->process().output().find("\"version\":2") ==
        std::string::npos);
  m_Store.setMalformed(false);
  CHECK(logs("\"version\":2"));
  LONGS_EQUAL(404, send("/repeat/a").m_Status);
}

PARSLEYRING_TEST_MAIN
