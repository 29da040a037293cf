#include "core/SocketAddress.h"
#include "membership/LoadDigest.h"
#include "support/Eventually.h"
#include "support/FaultProxy.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static FakeEndpointAnswer answerOk(const ReceivedCall &) {
  FakeEndpointAnswer Answer;
  Answer.m_Body = "fine";
  return Answer;
}

static void sendDatagram(const std::string &Address, const std::string &Bytes) {
  std::optional<SocketAddress> Target = parseSocketAddress(Address);
  boost::asio::io_context Loop;
  boost::asio::ip::udp::socket Socket(Loop, boost::asio::ip::udp::v4());
  Socket.send_to(
      boost::asio::buffer(Bytes),
      {boost::asio::ip::make_address(Target->m_Host), Target->m_Port});
}

static std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: event-" + std::to_string(Id) +
         "\n\n";
}

static std::string events(int First, int Last) {
  std::string Text;
  for (int Id = First; Id <= Last; ++Id)
    Text += event(Id);
  return Text;
}

TEST_GROUP(Gateway) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;
  int m_Requests = 0;

  void setup() override { m_Store.put("op/config", gatewayConfiguration(1)); }
  void start() {
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  void listEndpoint(const std::string &Id, const std::string &Service,
                    const std::string &Address,
                    const std::string &State = "ready") {
    m_Store.put("servers/" + Id, serverEntry(Service, Address, State));
  }
  HttpRequest makeRequest(const std::string &Path) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "2500"}};
    return Request;
  }
  HttpAnswer send(const HttpRequest &Request) const {
    return sendHttp(m_Gateway->callerAddress(), Request);
  }
};

// Guards against requests that are forwarded modified, with a forged account
// or with the caller's API key.
TEST(Gateway, ForwardsRequestUnchanged) {
  FakeEndpoint Endpoint(answerOk);
  listEndpoint("e1", "plain", Endpoint.address());
  start();
  HttpRequest Request = makeRequest("/once/a/b?c=d");
  Request.m_Headers["Tenant"] = "forged";
  Request.m_Headers["Expect-Instance"] = "forged";
  Request.m_Headers["X-Other"] = "kept";
  HttpAnswer Answer = send(Request);
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL("fine", Answer.m_Body.c_str());
  STRCMP_EQUAL("seal", Answer.header("Server-Seal").c_str());
  LONGS_EQUAL(1, Endpoint.calls().size());
  ReceivedCall Call = Endpoint.calls()[0];
  STRCMP_EQUAL("/once/a/b?c=d", Call.m_Path.c_str());
  STRCMP_EQUAL("the body", Call.m_Body.c_str());
  STRCMP_EQUAL("id-1", Call.header("Attempt-Id").c_str());
  STRCMP_EQUAL("account", Call.header("Tenant").c_str());
  STRCMP_EQUAL("e1", Call.header("Expect-Instance").c_str());
  STRCMP_EQUAL("kept", Call.header("X-Other").c_str());
  STRCMP_EQUAL("", Call.header("Authorization").c_str());
  LONGS_EQUAL(1, Call.m_Headers.count("Tenant"));
  int Left = std::stoi(Call.header("Deadline-Ms"));
  CHECK(Left > 1500 && Left <= 2500);
}

// Guards against callers that are refused by a VM that has just started, and
// that have used up their retries when it has its configuration.
TEST(Gateway, RequestsWaitForTheFirstConfiguration) {
  FakeEndpoint Endpoint(answerOk);
  listEndpoint("e1", "plain", Endpoint.address());
  m_Store.remove("op/config");
  m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
  CHECK(eventually([&] {
    return sendHttp(m_Gateway->readyAddress(), {"GET", "/v1/readyz"})
               .m_Status == 503;
  }));
  // Without a configuration, the wait ends with a refusal.
  HttpAnswer Refused = send(makeRequest("/once/a"));
  LONGS_EQUAL(503, Refused.m_Status);
  CHECK(!Refused.header("Retry-After").empty());
  HttpAnswer Answer;
  HttpRequest Request = makeRequest("/once/b");
  Request.m_Headers["Deadline-Ms"] = "20000";
  std::thread Caller([&] { Answer = send(Request); });
  std::this_thread::sleep_for(100ms);
  m_Store.put("op/config", gatewayConfiguration(1));
  Caller.join();
  LONGS_EQUAL(200, Answer.m_Status);
  LONGS_EQUAL(1, Endpoint.calls().size());
}

// Guards against a deadline far in the future that overflows and counts as
// past.
TEST(Gateway, DeadlinesMayBeAnyNumber) {
  FakeEndpoint Endpoint(answerOk);
  listEndpoint("e1", "plain", Endpoint.address());
  start();
  for (const char *Deadline : {"9223372036854775807", "9223372036854775",
                               "99999999999999999999999", "3000000000"}) {
    HttpRequest Request = makeRequest("/once/a");
    Request.m_Headers["Deadline-Ms"] = Deadline;
    LONGS_EQUAL(200, send(Request).m_Status);
    int Left = std::stoi(Endpoint.calls().back().header("Deadline-Ms"));
    // The timeout of the route.
    CHECK(Left > 2000 && Left <= 3000);
  }
}

// Guards against refused or malformed requests that reach an endpoint.
TEST(Gateway, RefusesInvalidRequests) {
  FakeEndpoint Endpoint(answerOk);
  listEndpoint("e1", "plain", Endpoint.address());
  start();
  HttpRequest Unknown = makeRequest("/once/a");
  Unknown.m_Headers["Authorization"] = "Bearer other";
  LONGS_EQUAL(401, send(Unknown).m_Status);
  LONGS_EQUAL(404, send(makeRequest("/nowhere/a")).m_Status);
  HttpRequest OtherHost = makeRequest("/once/a");
  OtherHost.m_Headers["Host"] = "other";
  LONGS_EQUAL(404, send(OtherHost).m_Status);
  HttpRequest Large = makeRequest("/once/a");
  Large.m_Body = std::string(20000, 'x');
  LONGS_EQUAL(413, send(Large).m_Status);
  HttpRequest Long = makeRequest("/once/a");
  Long.m_Headers["X-Long"] = std::string(6000, 'x');
  LONGS_EQUAL(431, send(Long).m_Status);
  HttpRequest Smuggled = makeRequest("/once/a");
  Smuggled.m_Headers["Transfer-Encoding"] = "chunked";
  LONGS_EQUAL(400, send(Smuggled).m_Status);
  LONGS_EQUAL(0, Endpoint.calls().size());
}

// Guards against a non-idempotent request that runs twice, and against a 503
// for a request that may have run: 503 states that the request has not run.
TEST(Gateway, DoesNotRetryNonIdempotentRequest) {
  FakeEndpoint First([](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_ClosesConnection = true;
    return Answer;
  });
  FakeEndpoint Second([](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_ClosesConnection = true;
    return Answer;
  });
  listEndpoint("e1", "plain", First.address());
  listEndpoint("e2", "plain", Second.address());
  start();
  LONGS_EQUAL(502, send(makeRequest("/once/a")).m_Status);
  LONGS_EQUAL(1, First.calls().size() + Second.calls().size());
}

// Guards against an idempotent request that fails although another endpoint
// would answer.
TEST(Gateway, RetriesIdempotentRequestElsewhere) {
  std::atomic<int> Calls{0};
  auto FailFirst = [&](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer = answerOk(Call);
    Answer.m_ClosesConnection = Calls++ == 0;
    return Answer;
  };
  FakeEndpoint First(FailFirst);
  FakeEndpoint Second(FailFirst);
  listEndpoint("e1", "plain", First.address());
  listEndpoint("e2", "plain", Second.address());
  start();
  LONGS_EQUAL(200, send(makeRequest("/repeat/a")).m_Status);
  LONGS_EQUAL(1, First.calls().size());
  LONGS_EQUAL(1, Second.calls().size());
}

// Guards against a refusal without Retry-After, and against a second attempt
// on a route that allows only one.
TEST(Gateway, ForwardsRefusalWithRetryAfter) {
  auto Refuse = [](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Status = 503;
    Answer.m_HasServerSeal = false;
    Answer.m_Headers["Not-Executed"] = "1";
    return Answer;
  };
  FakeEndpoint First(Refuse);
  FakeEndpoint Second(Refuse);
  listEndpoint("e1", "plain", First.address());
  listEndpoint("e2", "plain", Second.address());
  start();
  HttpAnswer Answer = send(makeRequest("/once/a"));
  LONGS_EQUAL(503, Answer.m_Status);
  CHECK(!Answer.header("Retry-After").empty());
  LONGS_EQUAL(1, First.calls().size() + Second.calls().size());
}

// Guards against the failure of a request that has run and whose status tells
// the caller that it has not, so that the caller sends it once more.
TEST(Gateway, FailureThatClaimsNotToHaveRunIsNotPassedOn) {
  std::atomic<int> Status{0};
  auto Fail = [&](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Status = Status;
    return Answer;
  };
  FakeEndpoint First(Fail);
  FakeEndpoint Second(Fail);
  listEndpoint("e1", "plain", First.address());
  listEndpoint("e2", "plain", Second.address());
  start();
  for (int Each : {503, 429, 408}) {
    Status = Each;
    for (const char *Path : {"/once/a", "/repeat/a"}) {
      HttpAnswer Answer = send(makeRequest(Path));
      LONGS_EQUAL(502, Answer.m_Status);
      STRCMP_EQUAL("", Answer.header("Server-Seal").c_str());
    }
  }
  // Each of the three was sent once, or twice where it may be repeated.
  LONGS_EQUAL(9, First.calls().size() + Second.calls().size());
}

// Guards against forwarding as a success an answer of another program (without
// a Server-Seal header, or not HTTP), to another attempt, or cut off.
TEST(Gateway, RejectsSuccessWithoutSeal) {
  FakeEndpoint WithoutSeal([](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer = answerOk(Call);
    Answer.m_HasServerSeal = false;
    return Answer;
  });
  listEndpoint("e1", "plain", WithoutSeal.address());
  start();
  LONGS_EQUAL(502, send(makeRequest("/once/a")).m_Status);
  for (const char *Bytes :
       {"no answer at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: id-0\r\n"
        "Connection: close\r\nContent-Length: 5\r\n\r\nother",
        "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 50\r\n\r\ncut"}) {
    ScriptedServer Faulty(Bytes, ScriptedServer::End::Close);
    listEndpoint("e1", "plain", Faulty.address());
    HttpAnswer Answer;
    CHECK(eventually([&] {
      Answer = send(makeRequest("/once/a"));
      return Faulty.hasRequest();
    }));
    LONGS_EQUAL(502, Answer.m_Status);
  }
}

// Guards against missing, repeated or partial events in a stream whose engine
// stopped in the middle of an event.
TEST(Gateway, StreamResumesAfterLastEvent) {
  std::atomic<int> Streams{0};
  auto Respond = [&](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (Call.m_Path != "/stream/a") {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    if (Streams++ == 0) {
      Answer.m_Chunks = {events(1, 3), "id: 4\ndata: ev"};
      Answer.m_IsTruncated = true;
      return Answer;
    }
    int After = std::stoi("0" + Call.header("Last-Event-Id"));
    Answer.m_Chunks = {events(After + 1, 9)};
    return Answer;
  };
  FakeEndpoint First(Respond);
  FakeEndpoint Second(Respond);
  listEndpoint("m1", "model", First.address());
  listEndpoint("m2", "model", Second.address());
  start();
  HttpAnswer Answer = send(makeRequest("/stream/a"));
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL(events(1, 9).c_str(), Answer.m_Body.c_str());
  LONGS_EQUAL(2, Streams);
  ReceivedCall Call = (First.calls().empty() ? Second : First).calls()[0];
  STRCMP_CONTAINS("=0-10", Call.header("Hop-Count").c_str());
}

// Guards against a sound stream that is given up since another VM, which may
// itself be cut off or slow, tells that it does not reach the engine.
TEST(Gateway, StreamStaysOnAnEngineThatOnlyOthersSuspect) {
  std::atomic<int> Streams{0};
  auto Respond = [&](const ReceivedCall &) {
    ++Streams;
    std::this_thread::sleep_for(300ms);
    FakeEndpointAnswer Answer;
    Answer.m_Chunks = {events(1, 3)};
    return Answer;
  };
  FakeEndpoint First(Respond);
  FakeEndpoint Second(Respond);
  listEndpoint("m1", "model", First.address());
  listEndpoint("m2", "model", Second.address());
  FreePort DigestPort;
  GatewayOptions Options{"vm-0", m_Store.address(), {}};
  Options.m_DigestPort = parseSocketAddress(DigestPort.address())->m_Port;
  m_Gateway = std::make_unique<GatewayProcess>(Options);
  CHECK(m_Gateway->waitUntilReady());
  std::thread Teller([&] {
    eventually([&] { return Streams > 0; });
    std::this_thread::sleep_for(150ms);
    LoadDigest Digest{"vm-1", false, 1, {}};
    for (const char *Engine : {"m1", "m2"})
      Digest.m_Loads.push_back({Engine, 0, 0, 0, 4000});
    sendDatagram(DigestPort.address(), Digest.encode());
  });
  HttpAnswer Answer = send(makeRequest("/stream/a"));
  Teller.join();
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL(events(1, 3).c_str(), Answer.m_Body.c_str());
  LONGS_EQUAL(1, Streams);
  STRCMP_CONTAINS("\"told\"", m_Gateway->process().output().c_str());
}

// Guards against a stream that waits until its caller gives up: the engine's
// answer was lost, but the connection stays open and the engine reports no
// stalled streams.
TEST(Gateway, LostAnswerIsDetectedBeforeTheCallerDisconnects) {
  std::atomic<int> Streams{0};
  auto Respond = [&](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (Call.m_Path != "/stream/a") {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    if (Streams++ == 0)
      std::this_thread::sleep_for(2600ms);
    Answer.m_Chunks = {events(1, 3)};
    return Answer;
  };
  FakeEndpoint First(Respond);
  FakeEndpoint Second(Respond);
  listEndpoint("m1", "model", First.address());
  listEndpoint("m2", "model", Second.address());
  start();
  HttpRequest Request = makeRequest("/stream/a");
  Request.m_Timeout = 2s;
  HttpAnswer Answer = send(Request);
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL(events(1, 3).c_str(), Answer.m_Body.c_str());
  LONGS_EQUAL(2, Streams);
}

// Guards against requests that are refused because the only engine has no free
// slot for a moment.
TEST(Gateway, WaitsForAFreeSlot) {
  std::atomic<int> Calls{0};
  FakeEndpoint Engine([&](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    if (Calls++ == 0) {
      Answer.m_Status = 503;
      Answer.m_Headers["Not-Executed"] = "full";
      return Answer;
    }
    Answer.m_Chunks = {events(1, 3)};
    return Answer;
  });
  listEndpoint("m1", "model", Engine.address());
  start();
  HttpAnswer Answer = send(makeRequest("/stream/a"));
  LONGS_EQUAL(200, Answer.m_Status);
  STRCMP_EQUAL(events(1, 3).c_str(), Answer.m_Body.c_str());
  LONGS_EQUAL(2, Calls);
}

// Guards against a request that runs on more engines than its route allows,
// because engines that do not answer are taken for dead, and against one that
// ends before its deadline because they are silent.
TEST(Gateway, UnresponsiveEnginesCountAsAttempts) {
  auto Respond = [](const ReceivedCall &Call) {
    if (Call.m_Path == "/stream/a")
      std::this_thread::sleep_for(2600ms);
    FakeEndpointAnswer NoReport;
    NoReport.m_Status = 500;
    return NoReport;
  };
  FakeEndpoint First(Respond);
  FakeEndpoint Second(Respond);
  FakeEndpoint Third(Respond);
  listEndpoint("m1", "model", First.address());
  listEndpoint("m2", "model", Second.address());
  listEndpoint("m3", "model", Third.address());
  start();
  auto Start = std::chrono::steady_clock::now();
  LONGS_EQUAL(504, send(makeRequest("/stream/a")).m_Status);
  CHECK(std::chrono::steady_clock::now() - Start >= 2400ms);
  int Runs = 0;
  for (const FakeEndpoint *Each : {&First, &Second, &Third})
    for (const ReceivedCall &Call : Each->calls())
      Runs += Call.m_Path == "/stream/a";
  LONGS_EQUAL(2, Runs);
}

// Guards against a stream that ends as if complete although its engine skipped
// an event and no other engine is left.
TEST(Gateway, StreamWithAGapIsNotComplete) {
  FakeEndpoint Engine([](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Chunks = {event(1) + event(3)};
    return Answer;
  });
  listEndpoint("m1", "model", Engine.address());
  start();
  LONGS_EQUAL(0, send(makeRequest("/stream/a")).m_Status);
}

// Guards against endpoints that keep working after the caller has disconnected,
// for a plain request and for a started stream.
TEST(Gateway, CancelsWhenTheCallerDisconnects) {
  ScriptedServer Plain("", ScriptedServer::End::KeepOpen);
  ScriptedServer Engine("HTTP/1.1 200 OK\r\nServer-Seal: s\r\n"
                        "Attempt-Id: id-2\r\nContent-Type: text/event-stream"
                        "\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "11\r\nid: 1\ndata: abc\n\n\r\n",
                        ScriptedServer::End::KeepOpen);
  listEndpoint("e1", "plain", Plain.address());
  listEndpoint("m1", "model", Engine.address());
  start();
  HttpRequest Call = makeRequest("/once/a");
  Call.m_Timeout = 300ms;
  LONGS_EQUAL(0, send(Call).m_Status);
  CHECK(eventually([&] { return Plain.wasClosedByClient(); }, 500ms));
  HttpRequest Stream = makeRequest("/stream/a");
  std::string Received;
  Stream.m_OnChunk = [&](std::string_view Chunk) {
    Received += Chunk;
    return false;
  };
  send(Stream);
  STRCMP_EQUAL("id: 1\ndata: abc\n\n", Received.c_str());
  CHECK(eventually([&] { return Engine.wasClosedByClient(); }, 500ms));
}

// Guards against callers that wait longer than the timeout of their route for
// an endpoint that does not answer.
TEST(Gateway, AnswersAtTheTimeoutOfTheRoute) {
  ScriptedServer Silent("", ScriptedServer::End::KeepOpen);
  listEndpoint("e1", "plain", Silent.address());
  start();
  HttpRequest Call = makeRequest("/once/a");
  Call.m_Headers["Deadline-Ms"] = "20000";
  auto Start = std::chrono::steady_clock::now();
  LONGS_EQUAL(504, send(Call).m_Status);
  auto TakenTime = std::chrono::steady_clock::now() - Start;
  CHECK(TakenTime >= 2900ms && TakenTime < 3500ms);
}

// Guards against changes of the configuration that are not applied, and against
// an invalid configuration that stops the service.
TEST(Gateway, FollowsTheConfiguration) {
  FakeEndpoint Endpoint(answerOk);
  listEndpoint("e1", "plain", Endpoint.address());
  start();
  LONGS_EQUAL(200, send(makeRequest("/repeat/a")).m_Status);
  m_Store.put("op/config", gatewayConfiguration(2, false));
  CHECK(eventually(
      [&] { return send(makeRequest("/repeat/a")).m_Status == 404; }, 2s));
  m_Store.put("op/config", "{\"version\": 3, \"routes\": 7}");
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(200, send(makeRequest("/once/a")).m_Status);
  STRCMP_CONTAINS("configuration-rejected",
                  m_Gateway->process().output().c_str());
}

// Guards against new requests to an endpoint that is draining, and against
// refusing all requests while the store is down.
TEST(Gateway, AvoidsDrainingEndpointsAndServesInOutage) {
  FakeEndpoint Leaving(answerOk);
  FakeEndpoint NotDraining(answerOk);
  listEndpoint("e1", "plain", Leaving.address());
  listEndpoint("e2", "plain", NotDraining.address());
  start();
  listEndpoint("e1", "plain", Leaving.address(), "draining");
  std::this_thread::sleep_for(1s);
  std::size_t Before = Leaving.calls().size();
  m_Store.setDown(true);
  for (int Round = 0; Round < 10; ++Round)
    LONGS_EQUAL(200, send(makeRequest("/once/a")).m_Status);
  LONGS_EQUAL(Before, Leaving.calls().size());
}

// Guards against a VM that starts while the store is down and does not get the
// configuration from its peers.
TEST(Gateway, LearnsFromPeersDuringAnOutage) {
  FakeEndpoint Endpoint(answerOk);
  listEndpoint("e1", "plain", Endpoint.address());
  start();
  m_Store.setDown(true);
  GatewayProcess Late("vm-1", m_Store.address(), {m_Gateway->peerAddress()});
  CHECK(Late.waitUntilReady());
  LONGS_EQUAL(200,
              sendHttp(Late.callerAddress(), makeRequest("/once/a")).m_Status);
}

// Guards against a shutdown that aborts a request in progress, and against a
// process that does not exit.
TEST(Gateway, ExitsAfterRequestsInProgress) {
  std::atomic<bool> IsRunning{false};
  FakeEndpoint Endpoint([&](const ReceivedCall &Call) {
    IsRunning = true;
    std::this_thread::sleep_for(1500ms);
    return answerOk(Call);
  });
  listEndpoint("e1", "plain", Endpoint.address());
  start();
  HttpAnswer Answer;
  HttpRequest Request = makeRequest("/once/a");
  std::thread Caller([&] { Answer = send(Request); });
  CHECK(eventually([&] { return IsRunning.load(); }));
  m_Gateway->process().terminate();
  CHECK(eventually([&] {
    return sendHttp(m_Gateway->readyAddress(), {"GET", "/v1/readyz"})
               .m_Status == 503;
  }));
  Caller.join();
  LONGS_EQUAL(200, Answer.m_Status);
  auto Code = m_Gateway->process().waitForExit();
  CHECK(Code.has_value());
  LONGS_EQUAL(0, *Code);
}

// Guards against VMs that receive the store's changes through relays and keep
// an old configuration because the relays have silently lost the store, or are
// paused. A change must be in force within 2 s.
TEST(Gateway, VMsReplaceRelaysThatAreCutOff) {
  FakeEndpoint Endpoint(answerOk);
  listEndpoint("e1", "plain", Endpoint.address());
  FaultProxy Link(m_Store.address());
  std::vector<std::unique_ptr<GatewayProcess>> VMs;
  for (int Index = 0; Index < 6; ++Index) {
    // The first two VMs by name are the relays of the others.
    VMs.push_back(std::make_unique<GatewayProcess>(
        "vm-" + std::to_string(Index),
        Index < 2 ? Link.address() : m_Store.address()));
    CHECK(VMs.back()->waitUntilReady());
  }
  std::this_thread::sleep_for(2s);
  auto Answer = [&](int Index) {
    return sendHttp(VMs[Index]->callerAddress(), makeRequest("/repeat/a"))
        .m_Status;
  };
  auto AllAnswer = [&](int Status) {
    return eventually(
        [&] {
          for (int Index = 2; Index < 6; ++Index)
            if (Answer(Index) != Status)
              return false;
          return true;
        },
        2s);
  };
  LONGS_EQUAL(200, Answer(5));
  Link.setFaults("{\"lose_to_server\": true, \"lose_to_client\": true}");
  m_Store.put("op/config", gatewayConfiguration(2, false));
  CHECK(AllAnswer(404));
  Link.heal();
  VMs[0]->process().pause();
  VMs[1]->process().pause();
  m_Store.put("op/config", gatewayConfiguration(3, true));
  CHECK(AllAnswer(200));
  VMs[0]->process().resume();
  VMs[1]->process().resume();
}

PARSLEYRING_TEST_MAIN
