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

  /// Returns the head of the answer, whose body must be empty; an empty text if
  /// the connection ended without one.
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

TEST_GROUP(IdleConnection) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;

  /// A configuration that is in force when its route "/repeat/" is, or is not.
  static std::string configuration(int Version, int IdleTimeoutMs,
                                   bool HasRepeatRoute) {
    auto Root =
        nlohmann::json::parse(gatewayConfiguration(Version, HasRepeatRoute));
    Root["limits"]["idle_timeout_ms"] = IdleTimeoutMs;
    return Root.dump();
  }

  void start(int IdleTimeoutMs) {
    m_Store.put("op/config", configuration(1, IdleTimeoutMs, true));
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
TEST(IdleConnection, LoweredTimeoutDoesNotCloseEarlierConnections) {
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
TEST(IdleConnection, CallersAreToldOfTheTimeout) {
  start(15000);
  KeptConnection Caller(m_Gateway->callerAddress());
  STRCMP_CONTAINS("Keep-Alive: timeout=14\r\n", Caller.send().c_str());
  changeTimeout(4500);
  STRCMP_CONTAINS("Keep-Alive: timeout=3\r\n", Caller.send().c_str());
}

// Guards against a time that callers are told of and that is longer than the
// timeout.
TEST(IdleConnection, ShortTimeoutIsNotAnnounced) {
  start(900);
  KeptConnection Caller(m_Gateway->callerAddress());
  std::string Answer = Caller.send();
  CHECK(!Answer.empty());
  CHECK(Answer.find("Keep-Alive") == std::string::npos);
}

PARSLEYRING_TEST_MAIN
