#include "support/Eventually.h"
#include "support/FloodServer.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <fstream>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static const std::string SealedHead =
    "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: id-1\r\n";

TEST_GROUP(FaultyEndpoint) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;

  void setup() override { m_Store.put("op/config", gatewayConfiguration(1)); }
  void start(const std::string &Service, const std::string &Address) {
    m_Store.put("servers/e1", serverEntry(Service, Address));
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
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
  /// Resident memory of the gateway process, in megabytes.
  double memory() const {
    std::ifstream File("/proc/" + std::to_string(m_Gateway->process().pid()) +
                       "/statm");
    double Total = 0;
    double Resident = 0;
    File >> Total >> Resident;
    return Resident * 4096 / 1e6;
  }
  /// Sends requests at the same time and checks the memory meanwhile.
  void sendWhileFlooded(const std::string &Path, int Count) {
    double Before = memory();
    double Most = Before;
    std::atomic<int> Answered{0};
    std::vector<std::thread> Callers;
    for (int Index = 0; Index < Count; ++Index)
      Callers.emplace_back([&] {
        HttpAnswer Answer = send(Path);
        Answered += Answer.m_Status == 502 || Answer.m_Status == 504;
      });
    for (int Sample = 0; Sample < 250 && Answered < Count; ++Sample) {
      Most = std::max(Most, memory());
      std::this_thread::sleep_for(20ms);
    }
    for (std::thread &Caller : Callers)
      Caller.join();
    LONGS_EQUAL(Count, Answered);
    // A VM has 160 MB at least; each of 100 connections may take a quarter of
    // a megabyte.
    CHECK(Most - Before < 30);
  }
};

// Guards against a late second copy of an earlier refusal that is taken for
// one of this request: it would be said not to have run, although it may have.
TEST(FaultyEndpoint, RefusalOfAnotherRequestProvesNothing) {
  for (const char *Status : {"503 Busy", "421 Other"}) {
    std::string Copy = std::string("HTTP/1.1 ") + Status +
                       "\r\nAttempt-Id: id-0\r\nNot-Executed: 1\r\n"
                       "Connection: close\r\nContent-Length: 0\r\n\r\n";
    for (const char *Service : {"plain", "model"}) {
      ScriptedServer Endpoint(Copy, ScriptedServer::End::Close);
      start(Service, Endpoint.address());
      bool IsStream = std::string(Service) == "model";
      LONGS_EQUAL(502, send(IsStream ? "/stream/a" : "/once/a").m_Status);
    }
  }
}

// Guards against a refusal that is passed on although nothing proves it.
TEST(FaultyEndpoint, UnprovedRefusalIsNotPassedOn) {
  for (const char *Status : {"503 Busy", "429 Many", "408 Late"}) {
    ScriptedServer Endpoint(std::string("HTTP/1.1 ") + Status +
                                "\r\nContent-Length: 0\r\n\r\n",
                            ScriptedServer::End::Close);
    start("plain", Endpoint.address());
    LONGS_EQUAL(502, send("/once/a").m_Status);
  }
}

// Guards against a refusal, or the proof of an answer, that only the trailer
// states: whether it arrives with the head depends on the packets.
TEST(FaultyEndpoint, TrailersProveNothing) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n0\r\n";
  const std::string Refusal =
      "HTTP/1.1 503 Busy\r\n" + Chunked + "Not-Executed: 1\r\n\r\n";
  const std::string Answer = "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\n" +
                             Chunked + "Server-Seal: s\r\n\r\n";
  for (const std::string &Bytes : {Refusal, Answer}) {
    ScriptedServer Server(Bytes, ScriptedServer::End::KeepOpen);
    start("plain", Server.address());
    LONGS_EQUAL(502, send("/once/a").m_Status);
  }
}

// Guards against a late second copy that makes the answer which follows it
// fail, or that is passed on in its place.
TEST(FaultyEndpoint, OwnAnswerFollowsTheCopyOfAnEarlierOne) {
  const std::string Copy =
      "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: id-0\r\n"
      "Content-Length: 5\r\n\r\nother";
  ScriptedServer Plain(Copy + SealedHead + "Content-Length: 3\r\n\r\nown",
                       ScriptedServer::End::KeepOpen);
  start("plain", Plain.address());
  HttpAnswer Answer = send("/once/a");
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL("own", Answer.m_Body.c_str());
  ScriptedServer Engine(Copy + SealedHead +
                            "Content-Length: 17\r\n\r\nid: 1\ndata: own\n\n",
                        ScriptedServer::End::KeepOpen);
  start("model", Engine.address());
  Answer = send("/stream/a");
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL("id: 1\ndata: own\n\n", Answer.m_Body.c_str());
}

// Guards against an interim answer that is taken for the final one, and
// against interim answers without end.
TEST(FaultyEndpoint, InterimAnswersAreSkipped) {
  const std::string Interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  ScriptedServer Plain(Interim + Interim + SealedHead +
                           "Content-Length: 3\r\n\r\nown",
                       ScriptedServer::End::KeepOpen);
  start("plain", Plain.address());
  HttpAnswer Answer = send("/once/a");
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL("own", Answer.m_Body.c_str());
  FloodServer Endless("", Interim);
  start("plain", Endless.address());
  LONGS_EQUAL(502, send("/once/a").m_Status);
  CHECK(eventually([&] { return Endless.closedConnections() == 1; }));
}

// Guards against bytes without end, in a head or a body, that fill the memory
// of the VM or keep the caller waiting.
TEST(FaultyEndpoint, EndlessBytesTakeLittleMemory) {
  const std::string Filler(8000, 'x');
  struct {
    const char *m_Service;
    std::string m_First;
    std::string m_Repeated;
  } const Cases[] = {
      {"plain", "HTTP/1.1 200 OK\r\nX-Long: ", Filler},
      {"plain", "HTTP/1.1 200 OK\r\n", "X-Many: " + Filler + "\r\n"},
      {"plain", "HTTP/1.1 200 OK\r\n\r\n", Filler},
      {"plain",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", Filler},
      {"plain", "", Filler},
      {"model", "HTTP/1.1 200 OK\r\n\r\n", Filler},
      {"model", SealedHead + "\r\nid: 1\ndata: ", Filler},
  };
  for (const auto &Case : Cases) {
    FloodServer Endpoint(Case.m_First, Case.m_Repeated);
    start(Case.m_Service, Endpoint.address());
    sendWhileFlooded(
        std::string(Case.m_Service) == "plain" ? "/once/a" : "/stream/a", 100);
    CHECK(eventually([&] { return Endpoint.closedConnections() > 0; }));
  }
}

// Guards against a stalled stream that never ends since it sends a byte now and
// then: only whole events with an id are progress.
TEST(FaultyEndpoint, TricklingStreamEnds) {
  for (const char *Repeated : {"x", ": comment\n\n"}) {
    FloodServer Engine(SealedHead + "\r\nid: 1\ndata: a\n\n", Repeated, 100ms);
    start("model", Engine.address());
    auto Start = std::chrono::steady_clock::now();
    send("/stream/a");
    // Within the time after which callers leave a silent stream.
    CHECK(std::chrono::steady_clock::now() - Start < 2s);
  }
}

// Guards against a spoiled report of one engine that ends all requests of the
// VM, or that makes a sound engine count as silent.
TEST(FaultyEndpoint, SpoiledReportEndsNoRequest) {
  for (const char *Report : {R"({"stalled":[{"id":null,"address":null}]})",
                             R"({"stalled":[{"id":7,"address":[]}]})",
                             R"({"pace":-1})", "[]", "{"}) {
    FakeEndpoint Engine([Report](const ReceivedCall &Call) {
      FakeEndpointAnswer Answer;
      if (Call.m_Path == "/v1/report")
        Answer.m_Body = Report;
      else
        Answer.m_Chunks = {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"};
      // Longer than the pause after which an engine is asked for its report.
      Answer.m_BeforeChunk = [](std::size_t) {
        std::this_thread::sleep_for(600ms);
      };
      return Answer;
    });
    FakeEndpoint Plain([](const ReceivedCall &) {
      std::this_thread::sleep_for(900ms);
      FakeEndpointAnswer Answer;
      Answer.m_Body = "done";
      return Answer;
    });
    m_Store.put("servers/e2", serverEntry("plain", Plain.address()));
    start("model", Engine.address());
    HttpAnswer Stream;
    std::thread Caller([&] { Stream = send("/stream/a"); });
    HttpAnswer Answer = send("/once/a");
    Caller.join();
    LONGS_EQUAL(200, Answer.m_Status);
    LONGS_EQUAL(200, Stream.m_Status);
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Stream.m_Body.c_str());
    std::string Log = m_Gateway->process().output();
    CHECK(Log.find("engine-report-invalid") != std::string::npos);
    CHECK(Log.find("endpoint-suspect") == std::string::npos);
    m_Store.remove("servers/e2");
  }
}

// Guards against fields of a trailer that are taken for fields of the head if
// all of the answer arrives at once: the seal would prove an answer that has
// none, and the caller would get them as its fields.
TEST(FaultyEndpoint, TrailerIsNoPartOfTheHead) {
  static const std::string Body =
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
  ScriptedServer Unsealed("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\n" + Body +
                              "Server-Seal: s\r\n\r\n",
                          ScriptedServer::End::Close);
  start("plain", Unsealed.address());
  LONGS_EQUAL(502, send("/once/a").m_Status);
  ScriptedServer Sealed(SealedHead + Body +
                            "Server-Leaving: 1\r\nServer-Limit: 1\r\n\r\n",
                        ScriptedServer::End::Close);
  m_Gateway.reset();
  start("plain", Sealed.address());
  HttpAnswer Answer = send("/once/a");
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL("body", Answer.m_Body.c_str());
  STRCMP_EQUAL("", Answer.header("Server-Leaving").c_str());
  std::string Log;
  CHECK(eventually([&] {
    Log = m_Gateway->process().output();
    return Log.find("\"request-end\"") != std::string::npos;
  }));
  CHECK(Log.find("endpoint-leaving") == std::string::npos);
  CHECK(Log.find("endpoint-limit") == std::string::npos);
}

PARSLEYRING_TEST_MAIN
