#include "core/SocketAddress.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
namespace asio = boost::asio;

namespace {

/// A caller that sends one request after the other on one connection.
class KeptConnection {
public:
  explicit KeptConnection(const std::string &Address) : m_Socket(m_Loop) {
    std::optional<SocketAddress> Target = parseSocketAddress(Address);
    m_Socket.connect({asio::ip::make_address(Target->m_Host), Target->m_Port});
  }

  /// Returns the answer to a request that is refused since it has no route; an
  /// empty text if the connection ended without one.
  std::string send() {
    static int Requests = 0;
    std::string Text =
        "GET /nowhere/a HTTP/1.1\r\nHost: host\r\nAttempt-Id: id-" +
        std::to_string(++Requests) + "\r\n\r\n";
    boost::system::error_code Error;
    asio::write(m_Socket, asio::buffer(Text), Error);
    std::string Answer;
    char Byte = 0;
    while (!Error && Answer.find("no-route\n") == std::string::npos)
      if (m_Socket.read_some(asio::buffer(&Byte, 1), Error) == 1)
        Answer += Byte;
    return Error ? "" : Answer;
  }
  /// Returns the status of the answer to a request with a body that is refused
  /// since its client account is unknown, or too large.
  std::string postStatus(std::size_t BodyBytes) {
    std::string Text = "POST /once/a HTTP/1.1\r\nHost: host\r\n"
                       "Content-Length: " +
                       std::to_string(BodyBytes) + "\r\n\r\n" +
                       std::string(BodyBytes, 'x');
    boost::system::error_code Error;
    asio::write(m_Socket, asio::buffer(Text), Error);
    std::string Answer(1024, ' ');
    std::size_t Size = m_Socket.read_some(asio::buffer(Answer), Error);
    return Answer.substr(0, Size).substr(0, 12);
  }
  /// Waits until the gateway has closed the connection.
  void waitForClose() {
    boost::system::error_code Error;
    char Byte = 0;
    while (!Error)
      m_Socket.read_some(asio::buffer(&Byte, 1), Error);
  }

private:
  asio::io_context m_Loop;
  asio::ip::tcp::socket m_Socket;
};

} // namespace

TEST_GROUP(CallerConnection) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;

  /// A configuration that is in force when its route "/repeat/" is, or is not.
  static std::string configuration(int Version, int IdleTimeoutMs,
                                   bool HasRepeatRoute,
                                   int MaxBodyBytes = 10000) {
    auto Root =
        nlohmann::json::parse(gatewayConfiguration(Version, HasRepeatRoute));
    Root["limits"]["idle_timeout_ms"] = IdleTimeoutMs;
    Root["limits"]["max_body_bytes"] = MaxBodyBytes;
    return Root.dump();
  }

  void start(int IdleTimeoutMs, int MaxBodyBytes = 10000) {
    m_Store.put("op/config",
                configuration(1, IdleTimeoutMs, true, MaxBodyBytes));
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  void changeTimeout(int IdleTimeoutMs) {
    m_Store.put("op/config", configuration(2, IdleTimeoutMs, false));
    CHECK(eventually([this] {
      HttpRequest Request;
      Request.m_Path = "/repeat/a";
      Request.m_Headers = {{"Host", "host"}};
      return sendHttp(m_Gateway->callerAddress(), Request).m_Status == 404;
    }));
  }
};

// Guards against a request without an answer: its connection became idle under
// a longer timeout than the one in force, and is closed as the request arrives.
TEST(CallerConnection, LoweredTimeoutDoesNotCloseEarlierConnections) {
  start(15000);
  KeptConnection Caller(m_Gateway->callerAddress());
  CHECK(!Caller.send().empty());
  std::this_thread::sleep_for(1200ms);
  changeTimeout(1000);
  std::this_thread::sleep_for(700ms);
  CHECK(!Caller.send().empty());
  // The new timeout applies from this answer on.
  auto Start = Clock::now();
  Caller.waitForClose();
  CHECK(Clock::now() - Start < 3s);
}

// Guards against callers that use a connection for longer than the gateway
// keeps it, since the configuration that they know of allows more.
TEST(CallerConnection, CallersAreToldOfTheTimeout) {
  start(15000);
  KeptConnection Caller(m_Gateway->callerAddress());
  STRCMP_CONTAINS("Keep-Alive: timeout=14\r\n", Caller.send().c_str());
  changeTimeout(4500);
  STRCMP_CONTAINS("Keep-Alive: timeout=3\r\n", Caller.send().c_str());
}

// Guards against a time that callers are told of and that is longer than the
// timeout.
TEST(CallerConnection, ShortTimeoutIsNotAnnounced) {
  start(900);
  KeptConnection Caller(m_Gateway->callerAddress());
  std::string Answer = Caller.send();
  CHECK(!Answer.empty());
  CHECK(Answer.find("Keep-Alive") == std::string::npos);
}

// Guards against a request on a kept connection that is judged by the limits
// that were in force when the previous answer ended.
TEST(CallerConnection, KeptConnectionHasTheLimitsInForce) {
  start(15000, 100);
  KeptConnection Caller(m_Gateway->callerAddress());
  STRCMP_EQUAL("HTTP/1.1 401", Caller.postStatus(10).c_str());
  changeTimeout(15000);
  STRCMP_EQUAL("HTTP/1.1 401", Caller.postStatus(1000).c_str());
}

PARSLEYRING_TEST_MAIN
