#include "platform/HttpPlatformClient.h"

#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using Kind = PlatformError::Kind;

/// For calls that get no answer.
static constexpr Duration ShortTimeout = std::chrono::milliseconds(200);
/// For calls that get an answer. On a busy machine the thread of the server may
/// run later than ShortTimeout.
static constexpr Duration AnswerTimeout = std::chrono::seconds(30);

/// Accepts one connection, reads one request, and sends the given bytes after
/// the given delay.
class SingleAnswerServer {
public:
  enum class ServerMode { Close, KeepOpen, RefuseConnections };

  SingleAnswerServer(const std::string &Answer, ServerMode Mode,
                     Duration Delay = {})
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)), m_Delay(Delay) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    auto *Name = reinterpret_cast<sockaddr *>(&Address);
    // A bound socket that does not listen refuses connections on its port.
    bool IsOpen = Mode != ServerMode::RefuseConnections;
    if (bind(m_Socket, Name, Length) != 0 ||
        (IsOpen && listen(m_Socket, 1) != 0) ||
        getsockname(m_Socket, Name, &Length) != 0)
      throw std::runtime_error("cannot listen");
    m_Port = ntohs(Address.sin_port);
    m_Thread = std::thread([this, Answer, Mode, IsOpen] {
      if (IsOpen)
        serve(Answer, Mode);
    });
  }
  ~SingleAnswerServer() {
    shutdown(m_Socket, SHUT_RDWR);
    m_Thread.join();
    close(m_Socket);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }
  /// The received request; waits until the server has closed the connection.
  std::string request() {
    m_Thread.join();
    m_Thread = std::thread([] {});
    return m_Request;
  }

private:
  void serve(const std::string &Answer, ServerMode Mode) {
    int Connection = accept(m_Socket, nullptr, nullptr);
    char Buffer[4096];
    ssize_t Count = 0;
    while (Connection >= 0 && m_Request.find("\r\n\r\n") == std::string::npos &&
           (Count = recv(Connection, Buffer, sizeof(Buffer), 0)) > 0)
      m_Request.append(Buffer, static_cast<std::size_t>(Count));
    std::this_thread::sleep_for(m_Delay);
    send(Connection, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    while (Mode == ServerMode::KeepOpen && recv(Connection, Buffer, 1, 0) > 0)
      ;
    close(Connection);
  }

  int m_Socket;
  const Duration m_Delay;
  int m_Port = 0;
  std::string m_Request;
  std::thread m_Thread;
};

static std::string answer(const std::string &Status, const std::string &Body,
                          const std::string &Headers = "") {
  return "HTTP/1.1 " + Status + "\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

TEST_GROUP(HttpPlatformClient) {
  enum class Call { Read, Write };

  /// The kind of error of a call that gets this answer; empty if it succeeds.
  static std::optional<Kind> errorOf(
      Call Operation, const std::string &Answer,
      SingleAnswerServer::ServerMode Mode =
          SingleAnswerServer::ServerMode::Close) {
    SingleAnswerServer Server(Answer, Mode);
    bool IsAnswered = Mode != SingleAnswerServer::ServerMode::KeepOpen;
    HttpPlatformClient Client(Server.address(),
                              IsAnswered ? AnswerTimeout : ShortTimeout);
    try {
      if (Operation == Call::Read)
        Client.read("key");
      else
        Client.compareAndSwap("key", "value", 1);
    } catch (const PlatformError &Error) {
      return Error.kind();
    }
    return std::nullopt;
  }
};

// Guards against reads and watches that deviate from the published format.
TEST(HttpPlatformClient, ReadAndWatch) {
  std::string Body = R"([{"Key":"a b","Value":"aGk=","ModifyIndex":7}])";
  {
    SingleAnswerServer Server(answer("200 OK", Body),
                              SingleAnswerServer::ServerMode::Close);
    HttpPlatformClient Client(Server.address(), AnswerTimeout);
    auto Value = Client.read("config/a b?");
    STRCMP_EQUAL("hi", Value->m_Value.c_str());
    LONGS_EQUAL(7, Value->m_ModifyIndex);
    STRCMP_CONTAINS("GET /v1/kv/config/a%20b%3F HTTP/1.1",
                    Server.request().c_str());
  }
  {
    SingleAnswerServer Server(
        answer("404 Not Found", "", "X-Consul-Index: 12\r\n"),
        SingleAnswerServer::ServerMode::Close);
    HttpPlatformClient Client(Server.address(), AnswerTimeout);
    auto Result = Client.watch("k", 5, std::chrono::seconds(5));
    CHECK_FALSE(Result.m_Value.has_value());
    LONGS_EQUAL(12, Result.m_Index);
    STRCMP_CONTAINS("GET /v1/kv/k?index=5&wait=5s HTTP/1.1",
                    Server.request().c_str());
  }
}

// Guards against a compare-and-swap without its condition, and against this
// test failing because a busy machine runs the thread of the server late.
TEST(HttpPlatformClient, Writes) {
  for (Duration Delay : {Duration::zero(), 2 * ShortTimeout}) {
    SingleAnswerServer Server(answer("200 OK", "false\n"),
                              SingleAnswerServer::ServerMode::Close, Delay);
    HttpPlatformClient Client(Server.address(), AnswerTimeout);
    CHECK_FALSE(Client.compareAndSwap("k", "v", 3));
    STRCMP_CONTAINS("PUT /v1/kv/k?cas=3 HTTP/1.1", Server.request().c_str());
  }
}

// Guards against a write reported as not sent although it may take effect, and
// against a refused write reported as unknown.
TEST(HttpPlatformClient, ErrorKinds) {
  CHECK(errorOf(Call::Write, answer("200 OK", "true")) == std::nullopt);
  CHECK(errorOf(Call::Write, "") == Kind::Unknown);
  CHECK(errorOf(Call::Write, "", SingleAnswerServer::ServerMode::KeepOpen) ==
        Kind::Unknown);
  CHECK(
      errorOf(Call::Write, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr") ==
      Kind::Unknown);
  CHECK(errorOf(Call::Write, answer("200 OK", "maybe")) == Kind::Unknown);
  CHECK(errorOf(Call::Write, answer("500 Error", "")) == Kind::Unknown);
  CHECK(errorOf(Call::Write, answer("413 Too Large", "")) == Kind::NoEffect);
  CHECK(errorOf(Call::Write, answer("429 Many", "")) == Kind::RateLimited);
  CHECK(errorOf(Call::Read, "", SingleAnswerServer::ServerMode::KeepOpen) ==
        Kind::NoEffect);
  CHECK(errorOf(Call::Read, answer("200 OK", "[]")) == Kind::NoEffect);
  CHECK(errorOf(Call::Read, answer("200 OK", "[{\"Value\":\"%\"}]")) ==
        Kind::NoEffect);
  SingleAnswerServer Server("",
                            SingleAnswerServer::ServerMode::RefuseConnections);
  HttpPlatformClient Client(Server.address(), ShortTimeout);
  try {
    Client.remove("k", 1);
    FAIL("no error");
  } catch (const PlatformError &Error) {
    CHECK(Error.kind() == Kind::NoEffect);
  }
}

// Guards against an answer that is used although its head is malformed.
TEST(HttpPlatformClient, MalformedHeadsAreNotUsed) {
  const std::string Value = R"([{"Key":"k","Value":"aGk=","ModifyIndex":7}])";
  for (const char *Status : {"000 ", "103 Early", "600 "}) {
    CHECK(errorOf(Call::Read, answer(Status, Value)) == Kind::NoEffect);
    CHECK(errorOf(Call::Write, answer(Status, "true")) == Kind::Unknown);
  }
  for (const char *Line : {"X Bad: v\r\n", "X-Bad : v\r\n", " X-Bad: v\r\n"}) {
    CHECK(errorOf(Call::Read, answer("200 OK", Value, Line)) == Kind::NoEffect);
    CHECK(errorOf(Call::Write, answer("200 OK", "true", Line)) ==
          Kind::Unknown);
    CHECK(errorOf(Call::Write, answer("413 Too Large", "", Line)) ==
          Kind::Unknown);
  }
}

// Guards against an answer without a length that is used although its server
// has reset the connection, so that a part of it may be missing.
TEST(HttpPlatformClient, AnswersEndedByAResetAreNotUsed) {
  ScriptedServer Server(
      "HTTP/1.1 200 OK\r\n\r\n"
      R"([{"Key":"k","Value":"aGk=","ModifyIndex":7}])",
      {ScriptedServer::End::Reset, std::chrono::milliseconds(20), 0, 0});
  HttpPlatformClient Client(Server.address(), AnswerTimeout);
  CHECK_THROWS(PlatformError, Client.read("key"));
  CHECK_THROWS(PlatformError, Client.compareAndSwap("key", "value", 1));
}

// Guards against a shutdown that waits for the end of a watch.
TEST(HttpPlatformClient, ShutDownEndsCalls) {
  SingleAnswerServer Server("", SingleAnswerServer::ServerMode::KeepOpen);
  HttpPlatformClient Client(Server.address(), ShortTimeout);
  bool IsEnded = false;
  std::thread Watcher([&] {
    try {
      Client.watch("k", 1, std::chrono::hours(1));
    } catch (const PlatformError &) {
      IsEnded = true;
    }
  });
  // Must end the watch whether or not it has begun.
  Client.shutDown();
  Watcher.join();
  CHECK(IsEnded);
  CHECK_THROWS(PlatformError, Client.read("k"));
}

PARSLEYRING_TEST_MAIN
