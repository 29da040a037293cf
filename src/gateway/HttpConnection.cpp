#include "gateway/HttpConnection.h"

#include "core/NameTable.h"
#include "core/SocketAddress.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <array>
#include <charconv>
#include <utility>

namespace parsleyring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

static constexpr NameTable<ExchangeEnd, 5> ExchangeEndNames{
    {"complete", "connect-failed", "closed", "malformed", "timed-out"}};

std::string_view name(ExchangeEnd Value) {
  return ExchangeEndNames.name(Value);
}

static constexpr std::size_t ReadBytes = 16 << 10;
// Far above the headers that endpoints and the store send.
static constexpr std::uint32_t MaxResponseHeaderBytes = 64 << 10;
// A response may be a long stream; who collects its body limits the memory.
static constexpr std::uint64_t MaxResponseBodyBytes = 1 << 30;
// Received bytes that the parser has not used, such as the line of a chunk's
// length or a trailer. They would otherwise grow without end.
static constexpr std::size_t MaxUnparsedBytes = 2 * MaxResponseHeaderBytes;
// A server may send some before the response.
static constexpr int MaxInterimResponses = 8;
// Of a final response; others have no meaning in HTTP. 1xx statuses precede it,
// except 101, which answers a request for another protocol: none is sent.
static constexpr unsigned MinFinalStatus = 200;
static constexpr unsigned MaxFinalStatus = 599;
// During a network partition the kernel would by default wait for minutes
// before it gives up on unacknowledged bytes.
static constexpr unsigned UnacknowledgedTimeoutMs = 5000;
// Subtracted from the server's idle timeout, which may pass earlier on the
// server's side.
static constexpr Duration IdleMargin = std::chrono::milliseconds(500);

HttpConnection::HttpConnection(asio::io_context &Loop, std::string Address,
                               std::shared_ptr<const void> OpenToken,
                               MemoryBudget *Memory)
    : m_Loop(Loop), m_Address(std::move(Address)),
      m_OpenToken(std::move(OpenToken)), m_Socket(Loop), m_ConnectTimer(Loop) {
  if (Memory)
    m_BufferMemory.emplace(*Memory, MemoryUse::Connection, "");
}

// The buffer is bounded, and it is in use already, so no limit applies.
void HttpConnection::countBuffer() {
  if (m_BufferMemory)
    m_BufferMemory->resize(m_Buffer.capacity());
}

void HttpConnection::send(std::string Head,
                          std::shared_ptr<const std::string> Body,
                          Duration ConnectTimeout, ExchangeHandlers Handlers) {
  m_Output = std::move(Head);
  m_OutputBody = std::move(Body);
  m_HasWritten = false;
  m_WriteError = {};
  m_RequestBytes = m_Output.size() + (m_OutputBody ? m_OutputBody->size() : 0);
  m_WrittenBytes = 0;
  beginExchange(std::move(Handlers));
  if (m_IsConnected)
    write();
  else
    connect(ConnectTimeout);
}

void HttpConnection::receiveNextResponse(ExchangeHandlers Handlers) {
  beginExchange(std::move(Handlers));
  parse({});
}

void HttpConnection::beginExchange(ExchangeHandlers Handlers) {
  m_Handlers = std::move(Handlers);
  m_IsRunning = true;
  m_IsHeadDelivered = false;
  m_IsReusable = false;
  m_IsPaused = false;
  m_InterimResponses = 0;
  m_Finding.clear();
  resetParser();
}

void HttpConnection::resetParser() {
  m_Parser.emplace();
  // Without a limit, this version of Boost.Beast rejects some bodies.
  m_Parser->body_limit(MaxResponseBodyBytes);
  m_Parser->header_limit(MaxResponseHeaderBytes);
  m_HeadFields.clear();
  // The header section by itself, see keepHeadFields().
  m_Parser->eager(false);
}

void HttpConnection::connect(Duration Timeout) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(m_Address);
  auto Self = shared_from_this();
  if (!Parsed) {
    asio::post(m_Loop, [Self] { Self->finish(ExchangeEnd::ConnectFailed); });
    return;
  }
  tcp::endpoint Target(asio::ip::make_address(Parsed->m_Host), Parsed->m_Port);
  m_ConnectTimer.expires_after(Timeout);
  m_ConnectTimer.async_wait([Self](beast::error_code Error) {
    if (!Error && !Self->m_IsConnected)
      Self->finish(ExchangeEnd::ConnectFailed);
  });
  m_Socket.async_connect(Target, [Self](beast::error_code Error) {
    if (Self->m_IsClosed)
      return;
    if (Error) {
      Self->finish(ExchangeEnd::ConnectFailed);
      return;
    }
    Self->m_IsConnected = true;
    Self->m_ConnectTimer.cancel();
    beast::error_code Ignored;
    Self->m_Socket.set_option(tcp::no_delay(true), Ignored);
    setsockopt(Self->m_Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &UnacknowledgedTimeoutMs, sizeof(UnacknowledgedTimeoutMs));
    Self->write();
  });
}

void HttpConnection::write() {
  auto Self = shared_from_this();
  m_HasWritten = true;
  m_IsWriting = true;
  // Reading starts before writing has ended, as the response may arrive before
  // the whole request is written.
  std::array<asio::const_buffer, 2> Buffers{asio::buffer(m_Output)};
  if (m_OutputBody)
    Buffers[1] = asio::buffer(*m_OutputBody);
  // Nothing more is written once the input has ended, see handleRead().
  auto BytesToWrite = [Self](beast::error_code Error, std::size_t Written) {
    Self->m_WrittenBytes = Written;
    return Self->m_IsEndPending ? 0 : asio::transfer_all()(Error, Written);
  };
  asio::async_write(m_Socket, Buffers, BytesToWrite,
                    [Self](beast::error_code Error, std::size_t Size) {
                      Self->handleWritten(Error, Size);
                    });
  read();
}

void HttpConnection::handleWritten(beast::error_code Error, std::size_t Size) {
  m_IsWriting = false;
  m_WriteError = Error;
  m_WrittenBytes = Size;
  releaseOutput();
  if (std::exchange(m_IsEndPending, false))
    handleInput(asio::error::eof);
}

void HttpConnection::releaseOutput() {
  m_OutputBody.reset();
  std::string().swap(m_Output);
}

// Feeds the parser directly: Boost.Beast's read operations would not return
// before a chunked message is complete.
void HttpConnection::read() {
  if (m_IsReading || m_IsEndPending || m_IsPaused || m_IsClosed)
    return;
  m_IsReading = true;
  auto Self = shared_from_this();
  auto Target = m_Buffer.prepare(ReadBytes);
  countBuffer();
  m_Socket.async_read_some(Target,
                           [Self](beast::error_code Error, std::size_t Size) {
                             Self->handleRead(Error, Size);
                           });
}

void HttpConnection::handleRead(beast::error_code Error, std::size_t Size) {
  m_IsReading = false;
  if (!m_IsRunning)
    return;
  m_Buffer.commit(Size);
  // Only the result of the write tells whether this is an orderly end, see
  // endCause(). The write is cancelled, since a server that has ended its
  // response may never read the rest of the request.
  if (Error == asio::error::eof && m_IsWriting) {
    m_IsEndPending = true;
    beast::error_code Ignored;
    m_Socket.cancel(Ignored);
    return;
  }
  handleInput(Error);
}

void HttpConnection::handleInput(beast::error_code ReadError) {
  if (!m_IsRunning)
    return;
  try {
    parse(ReadError);
  } catch (...) {
    rejectResponse("a handler failed");
    close();
    throw;
  }
}

void HttpConnection::resumeReading() {
  if (!m_IsPaused)
    return;
  m_IsPaused = false;
  if (m_IsRunning)
    read();
}

// The kernel reports the error that has ended a connection once, to the first
// read or write that fails; reads after a failed write end as after an orderly
// close. A write fails with a broken pipe if the server had closed in an
// orderly way before the error.
beast::error_code HttpConnection::endCause(beast::error_code ReadError) const {
  bool HasWriteFailed =
      m_WriteError && m_WriteError != asio::error::operation_aborted;
  if (ReadError != asio::error::eof || !HasWriteFailed ||
      m_WriteError == asio::error::broken_pipe)
    return ReadError;
  return m_WriteError;
}

// True if the parser has just completed a head.
bool HttpConnection::hasNewHead() const {
  return m_Parser->is_header_done() && !m_Parser->eager();
}

// True if the parsed response only announces that the server goes on.
bool HttpConnection::isInterimResponse() const {
  unsigned Status = m_Parser->get().result_int();
  return Status >= 100 && Status < 200 && Status != 101;
}

// The parser accepts any three digits as a status, and takes a line that begins
// with a blank for the continuation of the one before. Such a line is no longer
// allowed in responses, and may be a field whose name is spoiled, also one that
// delimits the body.
std::string HttpConnection::headFinding(std::string_view Bytes) const {
  if (Bytes.find("\r\n ") != Bytes.npos || Bytes.find("\r\n\t") != Bytes.npos)
    return "a field line begins with a blank";
  unsigned Status = m_Parser->get().result_int();
  if (isInterimResponse() ||
      (Status >= MinFinalStatus && Status <= MaxFinalStatus))
    return "";
  std::string Digits = std::to_string(Status);
  return "status " + std::string(3 - Digits.size(), '0') + Digits;
}

// Returns true if the parsed response was an interim one, and begins the next.
bool HttpConnection::skipInterimResponse() {
  if (!m_Parser->is_done() || !isInterimResponse())
    return false;
  ++m_InterimResponses;
  resetParser();
  return true;
}

// The parser adds the fields of a trailer to those of the head. They are no
// part of it: whether they arrive with it depends on the packets.
void HttpConnection::keepHeadFields() {
  if (!hasNewHead())
    return;
  m_HeadFields = m_Parser->get().base();
  m_Parser->eager(true);
}

void HttpConnection::rejectResponse(std::string Finding) {
  if (!m_IsRunning)
    return;
  m_Finding = std::move(Finding);
  m_IsReusable = false;
  finish(ExchangeEnd::Malformed);
}

void HttpConnection::parse(beast::error_code ReadError) {
  auto Self = shared_from_this();
  beast::error_code Error;
  while (m_Buffer.size() > 0 && !m_Parser->is_done()) {
    std::size_t Used = m_Parser->put(m_Buffer.data(), Error);
    std::string Finding;
    if (!Error && hasNewHead())
      Finding = headFinding(
          {static_cast<const char *>(m_Buffer.data().data()), Used});
    m_Buffer.consume(Used);
    if (!Finding.empty()) {
      rejectResponse(std::move(Finding));
      return;
    }
    if (!Error && skipInterimResponse())
      continue;
    keepHeadFields();
    if (Error || Used == 0)
      break;
  }
  if (m_InterimResponses > MaxInterimResponses) {
    rejectResponse("too many interim responses");
    return;
  }
  if (m_Buffer.size() > MaxUnparsedBytes && !m_Parser->is_done()) {
    rejectResponse("a line without end");
    return;
  }
  if (Error == http::error::need_more)
    Error = {};
  // A body without a length ends with an orderly close of the connection, but
  // not with a reset.
  beast::error_code EndCause = endCause(ReadError);
  if (!Error && EndCause == asio::error::eof && m_Parser->got_some() &&
      !m_Parser->is_done())
    m_Parser->put_eof(Error);
  deliverReceived();
  if (!m_IsRunning)
    return;
  if (m_Parser->is_done() && !Error) {
    updateReuse();
    finish(ExchangeEnd::Complete);
    return;
  }
  if (Error && Error != http::error::partial_message) {
    rejectResponse(Error.message());
    return;
  }
  if (Error || ReadError) {
    m_Finding = EndCause == asio::error::eof ? "closed before its end"
                                             : EndCause.message();
    finish(ExchangeEnd::Closed);
    return;
  }
  read();
}

void HttpConnection::deliverReceived() {
  if (!m_Parser->is_header_done())
    return;
  if (!m_IsHeadDelivered) {
    m_IsHeadDelivered = true;
    ResponseHead Head;
    Head.m_Status = m_Parser->get().result_int();
    Head.m_Fields = std::move(m_HeadFields);
    if (m_Handlers.m_OnHead)
      m_Handlers.m_OnHead(Head);
    if (!m_IsRunning)
      return;
  }
  std::string &Body = m_Parser->get().body();
  if (Body.empty())
    return;
  std::string Received;
  Received.swap(Body);
  if (m_Handlers.m_OnBody)
    m_Handlers.m_OnBody(Received);
}

void HttpConnection::updateReuse() {
  // If the request is not fully written, the server would read the next one as
  // its continuation.
  m_IsReusable = m_Parser->keep_alive() && !m_IsWriting && !m_WriteError;
  m_IdleTimeout.reset();
  auto KeepAlive = m_Parser->get()[http::field::keep_alive];
  std::string_view Text(KeepAlive.data(), KeepAlive.size());
  std::size_t Position = Text.find("timeout=");
  if (Position == std::string_view::npos)
    return;
  Text.remove_prefix(Position + 8);
  int Seconds = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  m_IdleTimeout = std::max<Duration>(
      Duration::zero(), std::chrono::seconds(Seconds) - IdleMargin);
}

void HttpConnection::finish(ExchangeEnd End) {
  if (!m_IsRunning)
    return;
  m_IsRunning = false;
  if (!m_IsReusable)
    close();
  ExchangeHandlers Handlers = std::move(m_Handlers);
  m_Handlers = {};
  if (Handlers.m_OnEnd)
    Handlers.m_OnEnd(End);
}

void HttpConnection::close() {
  m_IsRunning = false;
  if (m_IsClosed)
    return;
  m_IsClosed = true;
  m_IsReusable = false;
  m_IsConnected = false;
  m_ConnectTimer.cancel();
  beast::error_code Ignored;
  m_Socket.close(Ignored);
  m_OpenToken.reset();
  if (!m_IsWriting)
    releaseOutput();
  // Handlers may keep the owner of this connection alive, and one of them may
  // be running now, so they are destroyed after it has returned.
  asio::post(m_Loop, [Self = shared_from_this()] {
    if (!Self->m_IsRunning)
      Self->m_Handlers = {};
  });
}

void HttpConnection::watchIdle(std::function<void()> OnEnded) {
  m_OnIdleEnded = std::move(OnEnded);
  m_Parser.reset();
  m_Buffer = {};
  countBuffer();
  std::uint64_t Watch = ++m_IdleWatch;
  auto Self = shared_from_this();
  m_Socket.async_wait(tcp::socket::wait_read, [Self, Watch](beast::error_code) {
    if (Self->m_IdleWatch != Watch || !Self->m_OnIdleEnded)
      return;
    auto Handler = std::move(Self->m_OnIdleEnded);
    Self->m_OnIdleEnded = nullptr;
    Self->close();
    Handler();
  });
}

bool HttpConnection::tryReuse() {
  ++m_IdleWatch;
  m_OnIdleEnded = nullptr;
  if (m_IsClosed)
    return false;
  beast::error_code Error;
  m_Socket.cancel(Error);
  // Detects a close or stray bytes that the event loop has not reported yet.
  char Byte;
  ssize_t Size =
      ::recv(m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    close();
    return false;
  }
  return true;
}

} // namespace parsleyring
