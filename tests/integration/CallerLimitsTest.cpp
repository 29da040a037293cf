#include "core/SocketAddress.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/TestMain.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A caller that decides on each byte that it sends.
class RawCaller {
public:
  explicit RawCaller(const std::string &Address,
                     const std::string &Local = "127.0.0.1")
      : m_Socket(m_Loop) {
    std::optional<SocketAddress> Target = parseSocketAddress(Address);
    m_Socket.open(asio::ip::tcp::v4());
    m_Socket.bind({asio::ip::make_address(Local), 0});
    m_Socket.connect({asio::ip::make_address(Target->m_Host), Target->m_Port});
    m_Socket.set_option(asio::ip::tcp::no_delay(true));
  }

  void send(const std::string &Text) {
    boost::system::error_code Ignored;
    asio::write(m_Socket, asio::buffer(Text), Ignored);
  }
  void sendSingly(const std::string &Text) {
    for (char Byte : Text)
      send(std::string(1, Byte));
  }
  /// Reads until Text has come Count times or the connection has ended, and
  /// returns what has been read by this call.
  std::string readUntil(const std::string &Text, int Count = 1) {
    std::string Answer;
    boost::system::error_code Error;
    char Byte = 0;
    while (!Error && Count > 0) {
      if (m_Socket.read_some(asio::buffer(&Byte, 1), Error) == 1)
        Answer += Byte;
      if (Answer.size() >= Text.size() &&
          Answer.compare(Answer.size() - Text.size(), Text.size(), Text) == 0)
        --Count;
    }
    return Answer;
  }
  std::string readAll() { return readUntil("", 1 << 30); }
  /// True if bytes have arrived that have not been read; does not wait.
  bool isReadable() { return m_Socket.available() > 0; }
  /// True if the gateway has closed the connection; does not wait.
  bool isClosed() {
    boost::system::error_code Error;
    char Byte = 0;
    m_Socket.non_blocking(true);
    m_Socket.read_some(asio::buffer(&Byte, 1), Error);
    m_Socket.non_blocking(false);
    return Error && Error != asio::error::would_block;
  }

private:
  asio::io_context m_Loop;
  asio::ip::tcp::socket m_Socket;
};

std::string head(const std::string &Path, const std::string &Id,
                 const std::string &Fields) {
  return "POST " + Path + " HTTP/1.1\r\nHost: host\r\nAttempt-Id: " + Id +
         "\r\nAuthorization: Bearer key-1\r\n" + Fields + "\r\n";
}

std::string post(const std::string &Id, const std::string &Body) {
  return head("/once/a", Id,
              "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
         Body;
}

} // namespace

TEST_GROUP(CallerLimits) {
  std::atomic<bool> m_IsHeld{false};
  FakeMetadataStore m_Store;
  std::unique_ptr<FakeEndpoint> m_Endpoint;
  std::unique_ptr<GatewayProcess> m_Gateway;

  /// The endpoint answers "got SIZE " and the first bytes of the body.
  void start(int MemoryMegabytes = 0, int MaxDescriptors = 0) {
    m_Endpoint =
        std::make_unique<FakeEndpoint>([this](const ReceivedCall &Call) {
          eventually([this] { return !m_IsHeld; }, 20s);
          FakeEndpointAnswer Answer;
          Answer.m_Body = "got " + std::to_string(Call.m_Body.size()) + " " +
                          Call.m_Body.substr(0, 64) + "#";
          return Answer;
        });
    auto Root = nlohmann::json::parse(gatewayConfiguration(1));
    Root["limits"]["max_body_bytes"] = 1000000;
    for (auto &Route : Root["routes"])
      Route["timeout_ms"] = 20000;
    m_Store.put("op/config", Root.dump());
    m_Store.put("servers/p1", serverEntry("plain", m_Endpoint->address()));
    GatewayOptions Options{"vm-0", m_Store.address(), {}};
    Options.m_MemoryMegabytes = MemoryMegabytes;
    Options.m_MaxDescriptors = MaxDescriptors;
    m_Gateway = std::make_unique<GatewayProcess>(Options);
    CHECK(m_Gateway->waitUntilReady());
    // Ready does not mean that the endpoints are known.
    CHECK(eventually([this] {
      RawCaller Caller(m_Gateway->callerAddress());
      Caller.send(post("first", "x"));
      std::string Answer = Caller.readUntil("\r\n");
      return Answer.find(" 200 ") != std::string::npos;
    }));
  }
  void teardown() override { m_IsHeld = false; }

  /// Starts a request that holds most of the memory that 2 MB leave.
  std::unique_ptr<RawCaller> holdMemory() {
    std::size_t Before = m_Endpoint->calls().size();
    m_IsHeld = true;
    auto Caller = std::make_unique<RawCaller>(m_Gateway->callerAddress());
    Caller->send(post("holder", std::string(500000, 'h')));
    CHECK(eventually([&] { return m_Endpoint->calls().size() > Before; }));
    return Caller;
  }
};

// Guards against a process that takes more memory than its limit, and against a
// refusal that the caller cannot relate to its request or that ends the one
// that runs.
TEST(CallerLimits, RequestWithoutRoomIsRefused) {
  start(2);
  auto Holder = holdMemory();
  RawCaller Caller(m_Gateway->callerAddress());
  Caller.send(post("waits", std::string(400000, 'w')));
  std::string Answer = Caller.readAll();
  STRCMP_CONTAINS("HTTP/1.1 503", Answer.c_str());
  STRCMP_CONTAINS("Retry-After: ", Answer.c_str());
  STRCMP_CONTAINS("Attempt-Id: waits\r\n", Answer.c_str());
  m_IsHeld = false;
  STRCMP_CONTAINS("got 500000 ", Holder->readUntil("#").c_str());
  for (const ReceivedCall &Call : m_Endpoint->calls())
    CHECK(Call.header("Attempt-Id") != "waits");
}

// Guards against a wait that is not ended when memory is freed: a connection
// that waits does not read, so nothing else would wake it.
TEST(CallerLimits, RequestIsServedIfRoomComesBack) {
  start(2);
  auto Holder = holdMemory();
  RawCaller Caller(m_Gateway->callerAddress());
  std::thread Sender(
      [&] { Caller.send(post("waits", std::string(400000, 'w'))); });
  std::this_thread::sleep_for(100ms);
  m_IsHeld = false;
  Sender.join();
  STRCMP_CONTAINS("got 400000 ", Caller.readUntil("#").c_str());
}

// Guards against bytes that are lost or counted twice where a body is split.
TEST(CallerLimits, BodyInSingleBytesIsServed) {
  start();
  RawCaller Caller(m_Gateway->callerAddress());
  Caller.sendSingly(post("length", "0123456789"));
  STRCMP_CONTAINS("got 10 0123456789#", Caller.readUntil("#").c_str());
  Caller.sendSingly(
      head("/once/a", "chunked", "Transfer-Encoding: chunked\r\n") +
      "5;name=value\r\n01234\r\n5\r\n56789\r\n0\r\n"
      "Trailer-Field: value\r\n\r\n");
  STRCMP_CONTAINS("got 10 0123456789#", Caller.readUntil("#").c_str());
}

// Guards against pipelined requests that are lost or answered in another order,
// and against bytes of earlier requests that are taken for later ones: the next
// input is read while the buffer still holds a pipelined request.
TEST(CallerLimits, PipelinedRequestsAreServedInOrder) {
  start();
  RawCaller Caller(m_Gateway->callerAddress());
  Caller.send(post("a", "first") + post("b", "second") + post("c", "third"));
  std::string Answers = Caller.readUntil("#", 3);
  auto First = Answers.find("got 5 first#");
  auto Second = Answers.find("got 6 second#");
  auto Third = Answers.find("got 5 third#");
  CHECK(First < Second && Second < Third && Third != std::string::npos);
  Caller.send(post("d", "the last one"));
  STRCMP_CONTAINS("got 12 the last one#", Caller.readUntil("#").c_str());
  LONGS_EQUAL(5, m_Endpoint->calls().size());
}

// Guards against a chunk extension that fills memory without being part of the
// body that the limit applies to.
TEST(CallerLimits, LongChunkLineIsRefused) {
  start();
  RawCaller Caller(m_Gateway->callerAddress());
  Caller.send(head("/once/a", "line", "Transfer-Encoding: chunked\r\n") + "5;" +
              std::string(40000, 'e'));
  std::string Answer = Caller.readAll();
  STRCMP_CONTAINS("HTTP/1.1 400", Answer.c_str());
  STRCMP_CONTAINS("Attempt-Id: line\r\n", Answer.c_str());
}

// Guards against callers of one address that take the descriptors of others,
// and against connections in use that are closed.
TEST(CallerLimits, ExcessConnectionOfTheLargestAddressIsClosed) {
  // 232 - 200 descriptors for sockets allow 16 connections of callers.
  start(0, 232);
  RawCaller Other(m_Gateway->callerAddress(), "127.0.0.3");
  std::vector<std::unique_ptr<RawCaller>> Many;
  for (int Index = 0; Index < 20; ++Index) {
    Many.push_back(
        std::make_unique<RawCaller>(m_Gateway->callerAddress(), "127.0.0.2"));
    std::this_thread::sleep_for(5ms);
  }
  CHECK(eventually([&] { return Many[0]->isClosed(); }));
  CHECK(!Other.isClosed());
  Other.send(post("other", "other"));
  STRCMP_CONTAINS("got 5 other#", Other.readUntil("#").c_str());
  Many.back()->send(post("newest", "newest"));
  STRCMP_CONTAINS("got 6 newest#", Many.back()->readUntil("#").c_str());
}

// Guards against a stop that lasts until its limit, after which the platform
// kills the process, since a body does not end.
TEST(CallerLimits, RequestInReceiptDoesNotHoldUpTheStop) {
  start();
  RawCaller Caller(m_Gateway->callerAddress());
  Caller.send(head("/once/a", "open", "Content-Length: 1000\r\n") + "x");
  std::this_thread::sleep_for(100ms);
  m_Gateway->process().terminate();
  // Idle connections are closed on each tick from 3.2 s after the signal on.
  // The request must be refused on the first of these ticks, although its
  // connection is open, and thus before a connection is closed that is opened
  // later than that. Otherwise the stop would last until a later limit.
  for (int Tick = 0; Tick < 2; ++Tick) {
    try {
      RawCaller(m_Gateway->callerAddress()).readAll();
    } catch (const boost::system::system_error &) {
      // The process has ended.
    }
  }
  CHECK(Caller.isReadable());
  std::string Answer = Caller.readAll();
  STRCMP_CONTAINS("HTTP/1.1 503", Answer.c_str());
  STRCMP_CONTAINS("Attempt-Id: open\r\n", Answer.c_str());
  LONGS_EQUAL(0, m_Gateway->process().waitForExit().value_or(-1));
  // The process ended since nothing was left, not since its limit had passed.
  std::string Output = m_Gateway->process().output();
  std::size_t End = Output.find("\"event\":\"end\"");
  CHECK(End != std::string::npos);
  STRCMP_CONTAINS("\"connections\":0", Output.substr(End).c_str());
}

PARSLEYRING_TEST_MAIN
