#include "core/SocketAddress.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using End = ScriptedServer::End;

static constexpr std::size_t UploadBytes = 3'000'000;
static constexpr int ReceiveBufferBytes = 4096;

static const std::string ProofFields = "Server-Seal: s\r\nAttempt-Id: id-1\r\n";
static const std::string Event =
    "id: 1\ndata: " + std::string(585, 'a') + "\n\n";

/// An answer with the endpoint's proof, whose body is an event.
static std::string sealedAnswer(const std::string &FieldLines,
                                const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\n" + ProofFields + FieldLines + "\r\n" +
         Event;
}

/// Of an endpoint that leaves most of the upload unread.
static ScriptedServer::Script script(End After, std::chrono::milliseconds Pause,
                                     std::size_t RequestBytes = 0) {
  return {After, Pause, ReceiveBufferBytes, RequestBytes};
}

/// Endpoints that answer while the request is still being written.
TEST_GROUP(EarlyAnswer) {
  FakeMetadataStore m_Store;
  std::unique_ptr<ScriptedServer> m_Endpoint;
  std::unique_ptr<GatewayProcess> m_Gateway;

  void setup() override {
    auto Configuration = nlohmann::json::parse(gatewayConfiguration(1));
    Configuration["limits"]["max_body_bytes"] = UploadBytes;
    m_Store.put("op/config", Configuration.dump());
  }
  void teardown() override {
    m_Gateway.reset();
    m_Endpoint.reset();
  }
  /// Starts a gateway whose only endpoint follows this script.
  void start(const std::string &Answer, const ScriptedServer::Script &Steps) {
    m_Gateway.reset();
    m_Endpoint = std::make_unique<ScriptedServer>(Answer, Steps);
    m_Store.put("servers/plain-1", serverEntry("plain", m_Endpoint->address()));
    m_Store.put("servers/model-1", serverEntry("model", m_Endpoint->address()));
    startGateway();
  }
  void startGateway() {
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  HttpAnswer send(const std::string &Path) const {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = std::string(UploadBytes, 'x');
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-1"},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "5000"}};
    return sendHttp(m_Gateway->callerAddress(), Request);
  }
  bool hasLogged(const std::string &Text) {
    return m_Gateway->process().output().find(Text) != std::string::npos;
  }
};

// Guards against the part of an answer that is passed on as a complete one
// because the reset that ended it was reported to the unfinished upload.
TEST(EarlyAnswer, PartBeforeAResetIsNotPassedOn) {
  for (const ScriptedServer::Script &Steps :
       {script(End::Reset, 0ms), script(End::Reset, 50ms),
        script(End::Reset, 5ms, 16384), script(End::Close, 5ms)})
    for (const char *Connection : {"", "Connection: close\r\n"})
      for (const char *Type : {"text/plain", "text/event-stream"}) {
        start(sealedAnswer(Connection + ("Content-Type: " + std::string(Type)) +
                           "\r\n"),
              Steps);
        // Only one stream, which comes last: the endpoint also resets the
        // requests for its report, counts as crashed and gets no more.
        for (const char *Path :
             {"/once/a", "/once/a", "/repeat/a", "/repeat/a", "/stream/a"}) {
          HttpAnswer Received = send(Path);
          std::string Case = std::string(Path) + " " + Connection + Type +
                             " gave " + std::to_string(Received.m_Status) +
                             " with " + std::to_string(Received.m_Body.size()) +
                             " bytes";
          // A stream that has begun ends without its last chunk.
          bool IsBrokenStream =
              Received.m_Status == 0 && Path == std::string("/stream/a");
          CHECK_TEXT(Received.m_Status == 502 || IsBrokenStream, Case.c_str());
        }
      }
}

// Guards against an outcome that is told wrongly: the request may have run, and
// the log has to say what ended the answer.
TEST(EarlyAnswer, ResetIsLoggedWithTheBytesWritten) {
  start(sealedAnswer("Content-Type: text/event-stream\r\n"),
        script(End::Reset, 5ms));
  for (const char *Path : {"/once/a", "/stream/a"}) {
    // 503 would state that the request has not run.
    CHECK(send(Path).m_Status != 503);
    std::string Endpoint =
        Path == std::string("/once/a") ? "plain-1" : "model-1";
    std::string Line;
    CHECK(eventually([&] {
      std::string Output = m_Gateway->process().output();
      std::size_t Begin =
          Output.find("\"answer-incomplete\",\"request\":\"id-1\","
                      "\"endpoint\":\"" +
                      Endpoint + "\"");
      std::size_t LineEnd = Output.find('\n', Begin);
      if (Begin == Output.npos || LineEnd == Output.npos)
        return false;
      Line = Output.substr(Begin, LineEnd - Begin);
      return true;
    }));
    STRCMP_CONTAINS("\"finding\":\"Connection reset by peer\"", Line.c_str());
    int Written = 0;
    int Total = 0;
    LONGS_EQUAL(2, std::sscanf(Line.c_str() + Line.find("\"written_bytes\""),
                               "\"written_bytes\":%d,\"request_bytes\":%d",
                               &Written, &Total));
    CHECK(Written > 0);
    CHECK(Written < Total);
    CHECK(Total > static_cast<int>(UploadBytes));
  }
}

// Guards against a request that is sent again although it may have run and must
// run at most once, and against an idempotent one that fails although a sound
// endpoint could have answered it.
TEST(EarlyAnswer, OnlyIdempotentRequestsGoToAnotherEndpoint) {
  FakeEndpoint Sound([](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Body = "done";
    return Answer;
  });
  ScriptedServer Faulty(sealedAnswer(""), script(End::Reset, 5ms));
  m_Store.put("servers/plain-1", serverEntry("plain", Faulty.address()));
  m_Store.put("servers/plain-2", serverEntry("plain", Sound.address()));
  for (bool IsIdempotent : {false, true}) {
    startGateway();
    int Failures = 0;
    // The first choice between the two is arbitrary.
    for (int Count = 0;
         Count < 20 && Failures == 0 && !hasLogged("\"answer-incomplete\"");
         ++Count) {
      std::size_t CallsBefore = Sound.calls().size();
      HttpAnswer Received = send(IsIdempotent ? "/repeat/a" : "/once/a");
      if (Received.m_Status != 200) {
        ++Failures;
        LONGS_EQUAL(502, Received.m_Status);
        LONGS_EQUAL(CallsBefore, Sound.calls().size());
      } else {
        STRCMP_EQUAL("done", Received.m_Body.c_str());
      }
    }
    CHECK(eventually([&] { return hasLogged("\"answer-incomplete\""); }));
    LONGS_EQUAL(IsIdempotent ? 0 : 1, Failures);
    m_Gateway.reset();
  }
}

// Guards against a part of the first answer that is passed on while the answer
// to the hedged request is still to come.
TEST(EarlyAnswer, HedgedRequestWaitsForTheWholeAnswer) {
  FakeEndpoint Sound([](const ReceivedCall &) {
    std::this_thread::sleep_for(500ms);
    FakeEndpointAnswer Answer;
    Answer.m_Body = "done";
    return Answer;
  });
  // The reset comes after the hedged request and before its answer.
  ScriptedServer Faulty(sealedAnswer(""), script(End::Reset, 400ms));
  m_Store.put("servers/plain-1", serverEntry("plain", Faulty.address()));
  m_Store.put("servers/plain-2", serverEntry("plain", Sound.address()));
  startGateway();
  // The first choice between the two is arbitrary.
  for (int Count = 0; Count < 20 && !hasLogged("\"answer-incomplete\"");
       ++Count) {
    HttpAnswer Received = send("/repeat/a");
    LONGS_EQUAL(200, Received.m_Status);
    STRCMP_EQUAL("done", Received.m_Body.c_str());
  }
  CHECK(eventually([&] { return hasLogged("\"answer-incomplete\""); }));
}

// Guards against a stream that ends for its caller where an engine has reset
// it, although another engine could go on with it.
TEST(EarlyAnswer, StreamGoesOnAtAnotherEngine) {
  const std::string NextEvent = "id: 2\ndata: b\n\n";
  FakeEndpoint Sound([&](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Chunks = {Event, NextEvent};
    return Answer;
  });
  ScriptedServer Faulty(sealedAnswer("Content-Type: text/event-stream\r\n"),
                        script(End::Reset, 5ms));
  m_Store.put("servers/model-1", serverEntry("model", Faulty.address()));
  m_Store.put("servers/model-2", serverEntry("model", Sound.address()));
  startGateway();
  // The first choice between the two is arbitrary.
  for (int Count = 0; Count < 20 && !hasLogged("\"answer-incomplete\"");
       ++Count) {
    HttpAnswer Received = send("/stream/a");
    LONGS_EQUAL(200, Received.m_Status);
    STRCMP_EQUAL((Event + NextEvent).c_str(), Received.m_Body.c_str());
  }
  CHECK(eventually([&] { return hasLogged("\"answer-incomplete\""); }));
}

// Guards against a complete answer that is lost because its endpoint does not
// read the rest of the request.
TEST(EarlyAnswer, CompleteAnswerIsPassedOn) {
  const std::string Delimited =
      "Content-Length: " + std::to_string(Event.size()) + "\r\n";
  for (const char *Type : {"text/plain", "text/event-stream"}) {
    std::string Fields = "Content-Type: " + std::string(Type) + "\r\n";
    for (const auto &[Answer, After] :
         {std::pair(sealedAnswer(Fields), End::ShutDown),
          std::pair(sealedAnswer(Fields), End::ShutDownAndReset),
          std::pair(sealedAnswer(Fields + Delimited), End::Reset)}) {
      start(Answer, script(After, 20ms));
      for (const char *Path : {"/once/a", "/repeat/a", "/stream/a"}) {
        HttpAnswer Received = send(Path);
        LONGS_EQUAL_TEXT(200, Received.m_Status, Path);
        STRCMP_EQUAL_TEXT(Event.c_str(), Received.m_Body.c_str(), Path);
      }
    }
  }
}

// Guards against a refusal that is lost because its endpoint does not read the
// request that it refuses: the request has not run.
TEST(EarlyAnswer, RefusalIsPassedOn) {
  for (End After : {End::Close, End::Reset, End::ShutDown})
    for (const char *Length : {"", "Content-Length: 0\r\n"}) {
      start("HTTP/1.1 503 Busy\r\n" + ProofFields + "Not-Executed: 1\r\n" +
                Length + "\r\n",
            script(After, 5ms));
      for (const char *Path : {"/once/a", "/repeat/a", "/stream/a"}) {
        HttpAnswer Received = send(Path);
        LONGS_EQUAL_TEXT(503, Received.m_Status, Path);
        CHECK_TEXT(!Received.header("Retry-After").empty(), Path);
      }
    }
  start(sealedAnswer("Content-Length: " + std::to_string(Event.size()) + "\r\n",
                     "413 Large"),
        script(End::Reset, 20ms));
  for (const char *Path : {"/once/a", "/repeat/a", "/stream/a"})
    LONGS_EQUAL_TEXT(413, send(Path).m_Status, Path);
}

// Guards against a caller's reset during an upload that is taken for the end of
// the request.
TEST(EarlyAnswer, RequestCutByItsCallerIsNotSent) {
  FakeEndpoint Sound([](const ReceivedCall &) { return FakeEndpointAnswer(); });
  m_Store.put("servers/plain-1", serverEntry("plain", Sound.address()));
  startGateway();
  for (const char *Framing :
       {"Content-Length: 5000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
                                        "258\r\n"}) {
    std::string Begun = std::string("POST /repeat/a HTTP/1.1\r\nHost: host\r\n"
                                    "Attempt-Id: id-1\r\n"
                                    "Authorization: Bearer key-1\r\n"
                                    "Deadline-Ms: 5000\r\n") +
                        Framing + std::string(600, 'x');
    boost::asio::io_context Loop;
    tcp::socket Caller(Loop);
    auto Address = parseSocketAddress(m_Gateway->callerAddress());
    Caller.connect(
        {boost::asio::ip::make_address(Address->m_Host), Address->m_Port});
    boost::asio::write(Caller, boost::asio::buffer(Begun));
    std::this_thread::sleep_for(20ms);
    Caller.set_option(boost::asio::socket_base::linger(true, 0));
    Caller.close();
  }
  // Its answer shows that the gateway has handled the resets.
  LONGS_EQUAL(200, send("/repeat/a").m_Status);
  LONGS_EQUAL(1, Sound.calls().size());
}

PARSLEYRING_TEST_MAIN
