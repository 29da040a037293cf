#include "callers/CallerServer.h"

#include "support/TestMain.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using std::chrono::seconds;

/// Client socket connected to the server; reads time out after 20 s.
class CallerSocket {
public:
  explicit CallerSocket(int Port)
      : m_Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    timeval Limit{20, 0};
    ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    sockaddr_in Server{};
    Server.sin_family = AF_INET;
    Server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Server.sin_port = htons(static_cast<std::uint16_t>(Port));
    CHECK(::connect(m_Socket, reinterpret_cast<sockaddr *>(&Server),
                    sizeof(Server)) == 0);
  }
  ~CallerSocket() { ::close(m_Socket); }
  CallerSocket(const CallerSocket &) = delete;
  CallerSocket &operator=(const CallerSocket &) = delete;

  void send(const std::string &Text) {
    ::send(m_Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
  }
  /// Reads until Text was received or the connection ended.
  std::string readUntil(const std::string &Text) {
    std::array<char, 4096> Buffer;
    while (m_Received.find(Text) == std::string::npos) {
      ssize_t Count = ::recv(m_Socket, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0)
        break;
      m_Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
    return m_Received;
  }
  std::string readToEnd() { return readUntil("never sent"); }

private:
  int m_Socket;
  std::string m_Received;
};

TEST_GROUP(CallerServer) {
  AnswerStore m_Answers{seconds(600), 1 << 20};
  std::atomic<RequestNumber> m_LastNumber{0};
  std::atomic<RequestNumber> m_Arrived{0};
  std::atomic<RequestNumber> m_Disconnected{0};
  unsigned m_Reserved = 0;
  std::atomic<bool> m_IsDraining{false};
  std::vector<std::pair<RequestNumber, std::string>> m_Refused;
  std::unique_ptr<CallerContext> m_Context;
  std::unique_ptr<CallerServer> m_Server;

  void setup() override {
    m_Context.reset(new CallerContext{
        m_Answers,
        {"vm", 1},
        [this] { return ++m_LastNumber; },
        [this](const Event &Value) {
          if (auto *Arrived = std::get_if<CompletionArrived>(&Value))
            m_Arrived = Arrived->m_Request;
          if (auto *Disconnected = std::get_if<CallerDisconnected>(&Value))
            m_Disconnected = Disconnected->m_Request;
          if (auto *Call = std::get_if<ServiceCallArrived>(&Value)) {
            m_Answers.find(Call->m_Request)
                ->setServiceAnswer({200, {{"content-type", "a/b"}}, "body"});
            finish(Call->m_Request, Outcome::Completed);
          }
        },
        [] { return std::optional<ErrorAnswer>(); },
        [this](RequestNumber Number, const ErrorAnswer &Refusal) {
          m_Refused.emplace_back(Number, Refusal.m_Code);
        },
        [](const std::string &) { return 16U; },
        [](const std::string &, const std::string &) { return true; },
        [](const std::string &Key) {
          return Key.empty() ? std::nullopt : std::make_optional("account");
        },
        [this](const std::string &Account) {
          ++m_Reserved;
          return m_Reserved <= 1 ? std::make_optional("rsv-vm-1-1 " + Account)
                                 : std::nullopt;
        },
        [](const OwnedId &, std::uint32_t) {
          return std::optional<RemoteAnswer>();
        },
        [] { return true; },
        [this] { return m_IsDraining.load(); },
        [] { return std::string(); },
        [](const char *) {}});
    m_Server = std::make_unique<CallerServer>(
        CallerServerOptions{"127.0.0.1:0", 1000, 4}, *m_Context);
    m_Server->start();
  }

  void teardown() override { m_Server.reset(); }

  std::string exchange(const std::string &Request) {
    CallerSocket Client(m_Server->port());
    Client.send(Request);
    return Client.readToEnd();
  }

  static std::string completion(const std::string &ExtraFields = {}) {
    std::string Body = R"({"model":"m","prompt":"p")" + ExtraFields + "}";
    return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  static void waitForValue(const std::atomic<RequestNumber> &Value,
                           RequestNumber Expected) {
    while (Value != Expected)
      std::this_thread::yield();
  }

  void finish(RequestNumber Number, Outcome End) {
    FinishRequest Finish;
    Finish.m_Request = Number;
    Finish.m_Outcome = End;
    Finish.m_Status = End == Outcome::Completed ? 200 : 502;
    Finish.m_Code = "code";
    m_Answers.finish(Time(seconds(1)), Finish);
  }
};

// Guards against errors without an X-Outcome header, and against parsing the
// unread rest of a rejected request as the next request.
TEST(CallerServer, InvalidRequestsAreAnsweredNotRun) {
  const std::string Post = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::pair<std::string, const char *>> Cases{
      {Post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", " 400 "},
      {Post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
       " 400 "},
      {Post + "Content-Length: -1\r\n\r\n{}", " 400 "},
      {Post + "Content-Length: 5000\r\n\r\nGET / HTTP/1.1\r\n\r\n", " 413 "},
      {Post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2000, 'x') + "\r\n",
       " 413 "},
      {Post + "X: " + std::string(70000, 'x') + "\r\n\r\n", " 431 "},
      {"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", " 404 "},
      {"GET /" + std::string(3000, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n",
       " 400 "},
      {"PUT /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", " 405 "},
  };
  for (const auto &[Request, Status] : Cases) {
    std::string Reply = exchange(Request);
    STRCMP_CONTAINS(Status, Reply.substr(0, Reply.find('\n')).c_str());
    STRCMP_CONTAINS("X-Outcome: not-run", Reply.c_str());
    CHECK(Reply.find("HTTP/1.1", 1) == std::string::npos);
  }
  LONGS_EQUAL(0, m_Arrived);
}

// Guards against issuing keys that cannot be used later, and against refusals
// without the outcome "not-run".
TEST(CallerServer, ReservationsAreIssuedToKnownAccounts) {
  auto Reserve = [this](const std::string &Headers) {
    return exchange("POST /v1/reservations HTTP/1.1\r\nConnection: close\r\n"
                    "Content-Length: 0\r\n" +
                    Headers + "\r\n");
  };
  const std::string Known = "Authorization: Bearer k\r\n";
  STRCMP_CONTAINS(" 401 ", Reserve("").c_str());
  STRCMP_CONTAINS(R"({"key":"rsv-vm-1-1 account"})", Reserve(Known).c_str());
  STRCMP_CONTAINS("too-many-reservations", Reserve(Known).c_str());
  m_IsDraining = true;
  std::string Reply = Reserve(Known);
  STRCMP_CONTAINS("\"stopping\"", Reply.c_str());
  STRCMP_CONTAINS("X-Outcome: not-run", Reply.c_str());
  LONGS_EQUAL(2, m_Reserved);
}

// Guards against a refused request whose id the caller got but which has no
// audit record.
TEST(CallerServer, RefusalsWithARequestIdAreRecorded) {
  const std::string Close = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
  const std::string Post = "POST /v1/completions" + Close;
  exchange(Post + "Content-Length: 1\r\n\r\n{");
  exchange(Post + "Content-Length: 5000\r\n\r\n{");
  exchange("POST /services/p/../q" + Close + "\r\n");
  CHECK(m_Refused == (std::vector<std::pair<RequestNumber, std::string>>{
                         {1, "malformed-body"},
                         {2, "body-too-large"},
                         {3, "malformed-path"}}));
}

// Guards against a service header that is sent twice because its name differs
// in case from the one that the server sets.
TEST(CallerServer, ServiceHeadersArePassedOnOnce) {
  std::string Reply = exchange("GET /services/p/q HTTP/1.1\r\nHost: x\r\n"
                               "Connection: close\r\n\r\n");
  STRCMP_CONTAINS("content-type: a/b\r\n", Reply.c_str());
  CHECK(Reply.find("Content-Type") == std::string::npos);
}

// Guards against connections beyond the limit that get no answer, and against
// health checks that fail while the limit is reached.
TEST(CallerServer, ExcessConnectionsAreRefused) {
  std::vector<std::unique_ptr<CallerSocket>> Busy;
  for (RequestNumber Number = 1; Number <= 4; ++Number) {
    Busy.push_back(std::make_unique<CallerSocket>(m_Server->port()));
    Busy.back()->send(completion());
    waitForValue(m_LastNumber, Number);
  }
  std::string Reply = exchange(completion());
  STRCMP_CONTAINS("HTTP/1.1 503", Reply.c_str());
  STRCMP_CONTAINS("X-Outcome: not-run", Reply.c_str());
  STRCMP_CONTAINS("Retry-After: 1", Reply.c_str());
  STRCMP_CONTAINS("alive", exchange("GET /healthz HTTP/1.1\r\n\r\n").c_str());
  for (RequestNumber Number = 1; Number <= 4; ++Number)
    while (m_Answers.find(Number) == nullptr)
      std::this_thread::yield();
  for (RequestNumber Number = 1; Number <= 4; ++Number)
    finish(Number, Outcome::Completed);
  for (auto &Served : Busy)
    STRCMP_CONTAINS("HTTP/1.1 200", Served->readUntil("\r\n\r\n").c_str());
}

// Guards against streams whose end cannot be told from a lost connection.
TEST(CallerServer, StreamsEndExplicitly) {
  for (Outcome End : {Outcome::Completed, Outcome::Failed}) {
    CallerSocket Client(m_Server->port());
    Client.send(completion(R"(,"stream":true)"));
    RequestNumber Number = End == Outcome::Completed ? 1 : 2;
    waitForValue(m_Arrived, Number);
    m_Answers.find(Number)->appendToken(0, "hello");
    STRCMP_CONTAINS("hello", Client.readUntil("hello").c_str());
    finish(Number, End);
    std::string Reply = Client.readUntil("0\r\n\r\n");
    STRCMP_CONTAINS(End == Outcome::Completed ? "\"finish_reason\":\"length\""
                                              : "\"code\":\"code\"",
                    Reply.c_str());
    STRCMP_CONTAINS("data: [DONE]\n\n", Reply.c_str());
  }
}

// Guards against status 200 for an error that occurs before the first token.
TEST(CallerServer, ErrorBeforeFirstTokenSetsTheStatus) {
  CallerSocket Client(m_Server->port());
  Client.send(completion(R"(,"stream":true)"));
  waitForValue(m_Arrived, 1);
  finish(1, Outcome::Failed);
  std::string Reply = Client.readUntil("\"failed\"}");
  STRCMP_CONTAINS("HTTP/1.1 502", Reply.c_str());
  STRCMP_CONTAINS("X-Outcome: failed", Reply.c_str());
}

// Guards against requests that keep running after their caller disconnected.
TEST(CallerServer, DisconnectedCallersAreDetected) {
  for (const char *ExtraFields : {"", R"(,"stream":true)"}) {
    RequestNumber Number = m_LastNumber + 1;
    {
      CallerSocket Client(m_Server->port());
      Client.send(completion(ExtraFields));
      waitForValue(m_Arrived, Number);
    }
    waitForValue(m_Disconnected, Number);
    finish(Number, Outcome::NotRun);
  }
}

PARSLEYRING_TEST_MAIN
