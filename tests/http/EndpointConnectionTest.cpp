#include "http/EndpointConnection.h"

#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using End = ScriptedServer::End;

// Far less than a long request, which therefore stays unfinished.
static constexpr int ReceiveBufferBytes = 4096;

static const std::string Head = "HTTP/1.1 200 OK\r\n";
static const std::string Body(600, 'b');

TEST_GROUP(EndpointConnection) {
  std::string m_Received;
  SocketStream::Fault m_Fault = SocketStream::Fault::None;

  /// Sends a request of so many bytes; true if the answer is complete.
  bool call(const std::string &Answer, End After,
            std::size_t RequestBytes = 2) {
    m_Received.clear();
    ScriptedServer Server(Answer, {After, 20ms, ReceiveBufferBytes, 0});
    EndpointConnection Connection(*parseSocketAddress(Server.address()), 5s);
    Connection.setDeadline(std::chrono::steady_clock::now() + 10s);
    httplib::Request Request;
    Request.method = "POST";
    Request.path = "/";
    Request.body = std::string(RequestBytes, 'r');
    Request.content_receiver = [this](const char *Data, std::size_t Size,
                                      std::uint64_t, std::uint64_t) {
      m_Received.append(Data, Size);
      return true;
    };
    httplib::Response Response;
    httplib::Error Error = httplib::Error::Success;
    bool IsComplete = Connection.call(Request, Response, Error);
    m_Fault = Connection.fault();
    return IsComplete;
  }
};

// Guards against a part of an answer without a length that counts as a complete
// one although its server has reset the connection.
TEST(EndpointConnection, ResetIsNoEndOfAnAnswer) {
  for (std::size_t RequestBytes : {2, 3'000'000}) {
    CHECK(!call(Head + "\r\n" + Body, End::Reset, RequestBytes));
    CHECK(m_Fault == SocketStream::Fault::Reset);
  }
  CHECK(!call(Head + "Content-Length: 601\r\n\r\n" + Body, End::Reset));
  CHECK(!call(Head + "Transfer-Encoding: chunked\r\n\r\n258\r\n" + Body,
              End::Reset));
}

// Guards against a complete answer that is taken for a cut one.
TEST(EndpointConnection, OrderlyEndCompletesAnAnswer) {
  for (End After : {End::ShutDown, End::ShutDownAndReset}) {
    CHECK(call(Head + "\r\n" + Body, After));
    STRCMP_EQUAL(Body.c_str(), m_Received.c_str());
  }
  CHECK(call(Head + "Content-Length: 600\r\n\r\n" + Body, End::Reset));
  STRCMP_EQUAL(Body.c_str(), m_Received.c_str());
}

PARSLEYRING_TEST_MAIN
