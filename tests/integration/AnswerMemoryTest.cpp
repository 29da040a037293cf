#include "core/SocketAddress.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/LoopbackSocket.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using nlohmann::json;

// The budget is half of it.
static constexpr int MemoryMegabytes = 20;
static constexpr std::size_t Megabyte = 1 << 20;

namespace {

/// A caller that sends a request and reads nothing.
class SilentCaller {
public:
  SilentCaller(const std::string &Address, const std::string &Request)
      : m_Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int Bytes = 64 << 10;
    ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
    auto Parsed = parseSocketAddress(Address);
    sockaddr_in Target{};
    Target.sin_family = AF_INET;
    Target.sin_port = htons(static_cast<std::uint16_t>(Parsed->m_Port));
    ::inet_pton(AF_INET, Parsed->m_Host.c_str(), &Target.sin_addr);
    m_IsSent = ::connect(m_Socket, reinterpret_cast<sockaddr *>(&Target),
                         sizeof(Target)) == 0 &&
               ::send(m_Socket, Request.data(), Request.size(), MSG_NOSIGNAL) ==
                   static_cast<ssize_t>(Request.size());
  }
  ~SilentCaller() { leave(); }
  bool isSent() const { return m_IsSent; }
  void leave() {
    if (m_Socket >= 0)
      ::close(m_Socket);
    m_Socket = -1;
  }

private:
  int m_Socket;
  bool m_IsSent = false;
};

} // namespace

TEST_GROUP(AnswerMemory) {
  FakeMetadataStore m_Store;
  std::unique_ptr<FakeEndpoint> m_Endpoint;
  std::unique_ptr<GatewayProcess> m_Gateway;

  void start(const std::string &EndpointAddress) {
    json Root = json::parse(gatewayConfiguration(1));
    for (auto &Route : Root["routes"])
      Route["timeout_ms"] = 40000;
    Root["limits"]["max_body_bytes"] = 4 * Megabyte;
    m_Store.put("op/config", Root.dump());
    m_Store.put("servers/p1", serverEntry("plain", EndpointAddress));
    GatewayOptions Options;
    Options.m_Name = "vm-0";
    Options.m_StoreAddress = m_Store.address();
    Options.m_MemoryMegabytes = MemoryMegabytes;
    m_Gateway = std::make_unique<GatewayProcess>(Options);
    CHECK(m_Gateway->waitUntilReady());
  }
  void start(FakeEndpoint::Behaviour Respond) {
    m_Endpoint = std::make_unique<FakeEndpoint>(std::move(Respond));
    start(m_Endpoint->address());
  }

  HttpAnswer send(const std::string &Path, const std::string &Body,
                  const std::string &Id) const {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = Body;
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", Id},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "40000"}};
    return sendHttp(m_Gateway->callerAddress(), Request);
  }
  static std::string requestText(const std::string &Path,
                                 const std::string &Body) {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: host\r\nAttempt-Id: silent\r\n"
           "Authorization: Bearer key-1\r\nDeadline-Ms: 40000\r\n"
           "Content-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  /// Bytes that the gateway has reserved for a use; -1 if they are unknown.
  double reserved(const std::string &Use) const {
    HttpAnswer Metrics =
        sendHttp(m_Gateway->metricsAddress(), {"GET", "/metrics"});
    std::string Name =
        "parsleyring_reserved_memory_bytes{use=\"" + Use + "\"} ";
    std::size_t Position = Metrics.m_Body.find(Name);
    return Position == std::string::npos
               ? -1
               : std::stod(Metrics.m_Body.substr(Position + Name.size()));
  }
};

// Guards against answers that each hold a part of the memory and wait for the
// rest until their deadlines.
TEST(AnswerMemory, AnswersThatExceedItTogetherAreAllDelivered) {
  static constexpr int Callers = 6;
  const std::string Body(3 * Megabyte, 'a');
  std::atomic<int> Received{0};
  start([&](const ReceivedCall &) {
    FakeEndpointAnswer Answer;
    Answer.m_Body = Body;
    ++Received;
    eventually([&] { return Received >= Callers; }, 20s);
    return Answer;
  });
  std::vector<HttpAnswer> Answers(Callers);
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Callers; ++Index)
    Threads.emplace_back([&, Index] {
      Answers[Index] = send("/once/a", "body", "id-" + std::to_string(Index));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (const HttpAnswer &Answer : Answers) {
    LONGS_EQUAL(200, Answer.m_Status);
    CHECK(Answer.m_Body == Body);
  }
  CHECK(eventually([this] { return reserved("answer") == 0; }));
}

// Guards against an answer that is cut off, or never goes on, after there was
// no room for it.
TEST(AnswerMemory, PausedAnswerGoesOnWhenThereIsRoom) {
  const std::string Large(9 * Megabyte, 'a');
  const std::string Body(3 * Megabyte, 'b');
  start([&](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    Answer.m_Body = Call.m_Path == "/once/large" ? Large : Body;
    return Answer;
  });
  SilentCaller Holder(m_Gateway->callerAddress(),
                      requestText("/once/large", "body"));
  CHECK(Holder.isSent());
  CHECK(eventually([&] { return reserved("output") >= Large.size(); }));
  HttpAnswer Answer;
  std::atomic<bool> IsDone{false};
  std::thread Caller([&] {
    Answer = send("/once/b", "body", "id-b");
    IsDone = true;
  });
  bool HasPaused = eventually([&] { return reserved("answer") > 0; }, 20s);
  bool WasDone = IsDone;
  Holder.leave();
  Caller.join();
  CHECK(HasPaused);
  CHECK(!WasDone);
  LONGS_EQUAL(200, Answer.m_Status);
  CHECK(Answer.m_Body == Body);
  CHECK(eventually(
      [this] { return reserved("answer") == 0 && reserved("output") == 0; }));
}

// Guards against a body that is cut off or changed between its buffer and the
// connection.
TEST(AnswerMemory, LargeBodyIsSentWhole) {
  start([](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    Answer.m_Body = Call.m_Body;
    return Answer;
  });
  std::string Body;
  while (Body.size() < 3 * Megabyte)
    Body += std::to_string(Body.size()) + " ";
  HttpAnswer Answer = send("/repeat/a", Body, "id-1");
  LONGS_EQUAL(200, Answer.m_Status);
  CHECK(Answer.m_Body == Body);
  CHECK(eventually([this] { return reserved("request-body") == 0; }));
}

// Guards against a body whose memory stays taken after its caller has left
// while it was being sent.
TEST(AnswerMemory, BodyIsFreedWhenItsCallerLeaves) {
  // Connections wait in the backlog, where nothing reads them.
  int Listener = boundLoopbackSocket();
  int Bytes = 4 << 10;
  ::setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  ::listen(Listener, SOMAXCONN);
  start(loopbackAddress(Listener));
  SilentCaller Caller(
      m_Gateway->callerAddress(),
      requestText("/once/a", std::string(4 * Megabyte - 1, 'a')));
  CHECK(Caller.isSent());
  CHECK(eventually(
      [this] { return reserved("request-body") >= 4 * Megabyte - 1; }));
  Caller.leave();
  CHECK(eventually([this] { return reserved("request-body") == 0; }));
  ::close(Listener);
}

// Guards against bytes of a stream that take memory without being counted: an
// event without an end, the body of an answer that is no stream, and the read
// buffer of the connection.
TEST(AnswerMemory, BytesOfStreamsAreCounted) {
  static constexpr std::size_t Bytes = 50000;
  for (bool IsStream : {true, false}) {
    std::atomic<bool> IsReleased{false};
    m_Gateway.reset();
    start([&](const ReceivedCall &Call) {
      FakeEndpointAnswer Answer;
      if (Call.m_Path.rfind("/v1/", 0) == 0)
        return Answer;
      Answer.m_Status = IsStream ? 200 : 500;
      Answer.m_Chunks = {"id: 1\ndata: " + std::string(Bytes, 'x'), "\n\n"};
      Answer.m_BeforeChunk = [&](std::size_t Index) {
        if (Index == 1)
          eventually([&] { return IsReleased.load(); }, 20s);
      };
      return Answer;
    });
    json Entry = json::parse(serverEntry("model", m_Endpoint->address()));
    Entry["layers"]["from"] = 0;
    Entry["layers"]["target"] = 10;
    m_Store.put("servers/m1", Entry.dump());
    std::thread Caller([&] { send("/stream/a", "body", "stream"); });
    bool IsCounted =
        eventually([&] { return reserved("answer") >= Bytes; }, 15s);
    double Connections = reserved("connection");
    IsReleased = true;
    Caller.join();
    CHECK(IsCounted);
    // The read buffer has 16 KiB, and few connections are open.
    CHECK(Connections >= 16 << 10);
    CHECK(eventually([&] { return reserved("answer") == 0; }, 15s));
    m_Gateway.reset();
    m_Endpoint.reset();
  }
}

PARSLEYRING_TEST_MAIN
