#include "gateway/HttpConnection.h"

#include "support/TestMain.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

static constexpr std::size_t LongRequest = 3 << 20;
static constexpr std::size_t ShortRequest = 2;
// Far less than a long request, which therefore stays unfinished.
static constexpr int ReceiveBufferBytes = 4096;

static const std::string Head = "HTTP/1.1 200 OK\r\n";
static const std::string Part(600, 'p');

/// The server is operated by the test between the steps of the event loop, so
/// that the test decides which events the connection finds pending together.
TEST_GROUP(HttpConnection) {
  boost::asio::io_context m_Loop;
  boost::asio::io_context m_ServerLoop;
  tcp::acceptor m_Acceptor{m_ServerLoop};
  tcp::socket m_Server{m_ServerLoop};
  std::shared_ptr<HttpConnection> m_Connection;
  std::string m_Body;
  std::optional<ExchangeEnd> m_End;

  void setup() override {
    m_Acceptor.open(tcp::v4());
    // Connections inherit the size if it is set before listen().
    m_Acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    m_Acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    m_Acceptor.listen();
  }
  void teardown() override {
    m_Connection->close();
    m_Loop.poll();
  }

  /// Begins an exchange; returns once the server has the head of the request.
  void begin(std::size_t RequestBytes, bool IsPaused = false) {
    m_Body.clear();
    m_End.reset();
    m_Connection = std::make_shared<HttpConnection>(
        m_Loop,
        "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port()));
    ExchangeHandlers Handlers;
    Handlers.m_OnBody = [this, IsPaused](std::string_view Bytes) {
      m_Body += Bytes;
      if (IsPaused)
        m_Connection->pauseReading();
    };
    Handlers.m_OnEnd = [this](ExchangeEnd End) { m_End = End; };
    std::string Length = std::to_string(RequestBytes);
    m_Connection->send(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + Length + "\r\n\r\n",
        std::make_shared<std::string>(RequestBytes, 'r'), 5s,
        std::move(Handlers));
    m_Loop.restart();
    while (m_Connection->isUnsent() && m_Loop.run_one_for(5s) > 0)
      continue;
    CHECK(!m_Connection->isUnsent());
    m_Server = m_Acceptor.accept();
    boost::asio::streambuf Request;
    std::size_t HeadBytes =
        boost::asio::read_until(m_Server, Request, "\r\n\r\n");
    if (RequestBytes == ShortRequest)
      boost::asio::read(m_Server, Request,
                        boost::asio::transfer_exactly(HeadBytes + RequestBytes -
                                                      Request.size()));
    handleEvents();
  }
  void respond(const std::string &Bytes) {
    boost::asio::write(m_Server, boost::asio::buffer(Bytes));
  }
  void shutDown() { m_Server.shutdown(tcp::socket::shutdown_send); }
  void reset() {
    m_Server.set_option(boost::asio::socket_base::linger(true, 0));
    m_Server.close();
  }
  /// Runs the handlers of the events that have occurred.
  void handleEvents() {
    m_Loop.restart();
    m_Loop.poll();
  }
  void checkEnd(ExchangeEnd Expected, const std::string &Body) {
    m_Loop.restart();
    while (!m_End && m_Loop.run_one_for(20s) > 0)
      continue;
    CHECK(m_End.has_value());
    STRCMP_EQUAL(std::string(name(Expected)).c_str(),
                 std::string(name(*m_End)).c_str());
    STRCMP_EQUAL(Body.c_str(), m_Body.c_str());
    CHECK(!m_Connection->isReusable());
  }
};

// Guards against a reset that is reported to the unfinished upload, and the
// part of the response before it that then counts as a complete response.
TEST(HttpConnection, ResetDuringTheRequestIsNoEndOfTheResponse) {
  for (const std::string &Fields :
       {std::string("\r\n"), std::string("Connection: close\r\n\r\n")})
    for (bool IsSeparate : {false, true}) {
      begin(LongRequest);
      respond(Head + Fields + Part);
      if (IsSeparate)
        handleEvents();
      reset();
      checkEnd(ExchangeEnd::Closed, Part);
    }
}

// Guards against the same when only the head has arrived, or not even that.
TEST(HttpConnection, ResetBeforeTheBodyIsNoEndOfTheResponse) {
  for (const std::string &Bytes : {std::string(), Head, Head + "\r\n"}) {
    begin(LongRequest);
    respond(Bytes);
    reset();
    checkEnd(ExchangeEnd::Closed, "");
  }
}

// Guards against the same after the request has been written.
TEST(HttpConnection, ResetAfterTheRequestIsNoEndOfTheResponse) {
  for (bool IsSeparate : {false, true}) {
    begin(ShortRequest);
    respond(Head + "\r\n" + Part);
    if (IsSeparate)
      handleEvents();
    reset();
    checkEnd(ExchangeEnd::Closed, Part);
  }
}

// Guards against a reset that the upload learns of while reading is paused,
// and that is forgotten when reading goes on.
TEST(HttpConnection, ResetWhileReadingIsPausedIsNoEndOfTheResponse) {
  begin(LongRequest, true);
  respond(Head + "\r\n" + Part);
  handleEvents();
  respond(Part);
  reset();
  handleEvents();
  CHECK(!m_End);
  m_Connection->resumeReading();
  handleEvents();
  m_Connection->resumeReading();
  checkEnd(ExchangeEnd::Closed, Part + Part);
}

// Guards against a connection that the kernel gives up, since the server reads
// nothing, and that is taken for one that the server has ended.
TEST(HttpConnection, KernelTimeoutIsNoEndOfTheResponse) {
  begin(LongRequest);
  respond(Head + "\r\n" + Part);
  checkEnd(ExchangeEnd::Closed, Part);
}

// Guards against a complete response that is given up because the server does
// not read the rest of the request.
TEST(HttpConnection, OrderlyEndDuringTheRequestCompletesTheResponse) {
  for (bool IsSeparate : {false, true}) {
    begin(LongRequest);
    respond(Head + "\r\n" + Part);
    if (IsSeparate)
      handleEvents();
    shutDown();
    checkEnd(ExchangeEnd::Complete, Part);
  }
}

// Guards against the same when the server also resets the connection, which it
// does by closing without having read the request.
TEST(HttpConnection, ResetAfterAnOrderlyEndChangesNothing) {
  for (bool IsPaused : {false, true}) {
    begin(LongRequest, IsPaused);
    respond(Head + "\r\n" + Part);
    shutDown();
    reset();
    handleEvents();
    m_Connection->resumeReading();
    checkEnd(ExchangeEnd::Complete, Part);
  }
}

// Guards against a complete response that is given up because the request
// cannot be written any more, and against a connection that is then used again.
TEST(HttpConnection, DelimitedResponseIsCompleteInSpiteOfAReset) {
  for (const std::string &Rest :
       {"Content-Length: 600\r\n\r\n" + Part,
        "Transfer-Encoding: chunked\r\n\r\n258\r\n" + Part + "\r\n0\r\n\r\n"}) {
    begin(LongRequest);
    respond(Head + Rest);
    reset();
    checkEnd(ExchangeEnd::Complete, Part);
  }
}

// Guards against a delimited response that counts as complete although a part
// is missing.
TEST(HttpConnection, DelimitedResponseIsCutByAReset) {
  for (const std::string &Rest :
       {"Content-Length: 601\r\n\r\n" + Part,
        "Transfer-Encoding: chunked\r\n\r\n258\r\n" + Part + "\r\n0\r\n"}) {
    begin(LongRequest);
    respond(Head + Rest);
    reset();
    checkEnd(ExchangeEnd::Closed, Part);
  }
}

PARSLEYRING_TEST_MAIN
