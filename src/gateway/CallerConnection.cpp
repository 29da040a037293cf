#include "gateway/CallerConnection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleyring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

static constexpr std::size_t ReadBytes = 16 << 10;
// Pipelined requests wait in the buffer up to this size.
static constexpr std::size_t MaxPipelinedBytes = 64 << 10;
// After the last answer of a connection, such as an early rejection, further
// input is read and discarded for this long; closing at once would reset the
// connection and lose the answer.
static constexpr Duration LingerTime = std::chrono::seconds(1);

static constexpr unsigned UnacknowledgedTimeoutMs = 10000;

// How much less than the idle timeout a caller is told. A request that the
// caller sends in time must not cross the close of its connection.
static constexpr Duration IdleMargin = std::chrono::seconds(1);

CallerConnection::CallerConnection(tcp::socket Socket, RequestHandler &Handler)
    : m_Socket(std::move(Socket)), m_Handler(Handler) {}

void CallerConnection::start() {
  beast::error_code Ignored;
  m_Socket.set_option(tcp::no_delay(true), Ignored);
  setsockopt(m_Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &UnacknowledgedTimeoutMs, sizeof(UnacknowledgedTimeoutMs));
  m_StateSince = m_Handler.now();
  m_AnnouncedIdleTimeout = m_Handler.limits().m_IdleTimeout;
  prepareParser();
  read();
}

void CallerConnection::prepareParser() {
  const CallerLimits &Limits = m_Handler.limits();
  m_Parser.emplace();
  m_Parser->header_limit(Limits.m_MaxHeaderBytes);
  m_Parser->body_limit(Limits.m_MaxBodyBytes);
  m_Parser->eager(true);
}

void CallerConnection::read() {
  if (m_IsReading || m_IsClosed || m_Buffer.size() >= MaxPipelinedBytes)
    return;
  m_IsReading = true;
  auto Self = shared_from_this();
  m_Socket.async_read_some(m_Buffer.prepare(ReadBytes),
                           [Self](beast::error_code Error, std::size_t Size) {
                             Self->m_IsReading = false;
                             if (Self->m_IsClosed)
                               return;
                             if (Error) {
                               // A caller that shut down only its sending
                               // side cannot be told apart from one that
                               // closed, so it counts as disconnected.
                               Self->close();
                               return;
                             }
                             Self->m_Buffer.commit(Size);
                             if (Self->m_IsLingering) {
                               Self->m_Buffer.consume(Self->m_Buffer.size());
                             } else if (!Self->m_IsAnswering) {
                               Self->parse();
                             }
                             Self->read();
                           });
}

void CallerConnection::parse() {
  while (m_Buffer.size() > 0 && !m_Parser->is_done()) {
    if (!m_IsReceiving) {
      m_IsReceiving = true;
      m_StateSince = m_Handler.now();
      // The limits may have changed since the previous answer.
      prepareParser();
    }
    m_LastReadAt = m_Handler.now();
    beast::error_code Error;
    std::size_t Used = m_Parser->put(m_Buffer.data(), Error);
    m_Buffer.consume(Used);
    if (Error == http::error::need_more)
      return;
    if (Error == http::error::header_limit) {
      reject(431, "the header is larger than the limit");
      return;
    }
    if (Error == http::error::body_limit) {
      reject(413, "the body is larger than the limit");
      return;
    }
    if (Error) {
      reject(400, Error.message());
      return;
    }
    if (Used == 0)
      return;
  }
  if (m_Parser->is_done())
    dispatch();
}

void CallerConnection::dispatch() {
  auto &Message = m_Parser->get();
  if (Message.find(http::field::content_length) != Message.end() &&
      Message.chunked()) {
    reject(400, "both a length and a transfer encoding");
    return;
  }
  CallerRequest Request;
  Request.m_Method = std::string(Message.method_string());
  Request.m_Target = std::string(Message.target());
  Request.m_Body = std::move(Message.body());
  m_KeepsAlive = m_Parser->keep_alive();
  Request.m_Fields = std::move(Message.base());
  Request.m_ReceivedAt = m_Handler.now();
  m_IsReceiving = false;
  m_IsAnswering = true;
  try {
    m_Handler.handleRequest(std::move(Request), shared_from_this());
  } catch (...) {
    failRequest();
    throw;
  }
}

void CallerConnection::failRequest() {
  auto OnDisconnect = std::move(m_OnDisconnect);
  m_OnDisconnect = nullptr;
  m_KeepsAlive = false;
  if (m_IsAnswering && !m_IsChunked)
    answer(500, {}, "");
  else
    close();
  if (OnDisconnect)
    OnDisconnect();
}

void CallerConnection::reject(unsigned Status, const std::string &Reason) {
  m_Handler.handleMalformed(Status, Reason);
  m_IsAnswering = true;
  m_IsReceiving = false;
  m_KeepsAlive = false;
  m_IsLingering = true;
  answer(Status, {{"Content-Type", "text/plain"}}, Reason + "\n");
}

static std::string headText(unsigned Status, const AnswerFields &Fields) {
  auto Reason = http::obsolete_reason(http::int_to_status(Status));
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text.append(Reason.data(), Reason.size());
  Text += "\r\n";
  for (const auto &[Name, Value] : Fields) {
    Text += Name;
    Text += ": ";
    Text += Value;
    Text += "\r\n";
  }
  return Text;
}

void CallerConnection::appendHead(unsigned Status, const AnswerFields &Fields) {
  m_KeepsAlive = m_KeepsAlive && !m_Handler.isStopping();
  m_Output += headText(Status, Fields);
  if (!m_KeepsAlive) {
    m_Output += "Connection: close\r\n";
    return;
  }
  m_AnnouncedIdleTimeout = m_Handler.limits().m_IdleTimeout;
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
      m_AnnouncedIdleTimeout - IdleMargin);
  if (Seconds.count() > 0)
    m_Output +=
        "Keep-Alive: timeout=" + std::to_string(Seconds.count()) + "\r\n";
}

void CallerConnection::answer(unsigned Status, const AnswerFields &Fields,
                              const std::string &Body) {
  if (m_IsClosed)
    return;
  appendHead(Status, Fields);
  m_Output += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  m_Output += Body;
  finishAnswer();
}

void CallerConnection::beginAnswer(unsigned Status,
                                   const AnswerFields &Fields) {
  if (m_IsClosed)
    return;
  appendHead(Status, Fields);
  m_Output += "Transfer-Encoding: chunked\r\n\r\n";
  m_IsChunked = true;
  flush();
}

void CallerConnection::appendAnswer(std::string_view Bytes) {
  if (m_IsClosed || Bytes.empty())
    return;
  char Size[24];
  int Length = std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  m_Output.append(Size, Length);
  m_Output.append(Bytes);
  m_Output += "\r\n";
  flush();
}

void CallerConnection::endAnswer() {
  if (m_IsClosed)
    return;
  m_Output += "0\r\n\r\n";
  finishAnswer();
}

void CallerConnection::finishAnswer() {
  m_OnDisconnect = nullptr;
  m_IsAnswering = false;
  m_IsChunked = false;
  m_StateSince = m_Handler.now();
  m_ClosesAfterWrite = !m_KeepsAlive;
  flush();
  if (m_ClosesAfterWrite || m_IsClosed)
    return;
  prepareParser();
  // The caller may have pipelined its next request. Posted, since parsing here
  // would recurse through a series of short answers.
  if (m_Buffer.size() > 0)
    asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
      if (!Self->m_IsClosed && !Self->m_IsAnswering)
        Self->parse();
      Self->read();
    });
}

void CallerConnection::flush() {
  if (m_IsClosed || !m_BeingWritten.empty())
    return;
  if (m_Output.empty()) {
    if (m_ClosesAfterWrite)
      lingerClose();
    return;
  }
  m_BeingWritten.swap(m_Output);
  // Usually the socket accepts everything, so no asynchronous write is needed.
  beast::error_code Error;
  m_Socket.non_blocking(true, Error);
  std::size_t Sent = m_Socket.write_some(asio::buffer(m_BeingWritten), Error);
  if (!Error && Sent == m_BeingWritten.size()) {
    m_BeingWritten.clear();
    if (m_ClosesAfterWrite)
      lingerClose();
    return;
  }
  m_BeingWritten.erase(0, Sent);
  auto Self = shared_from_this();
  asio::async_write(m_Socket, asio::buffer(m_BeingWritten),
                    [Self](beast::error_code WriteError, std::size_t) {
                      Self->m_BeingWritten.clear();
                      if (WriteError) {
                        Self->close();
                        return;
                      }
                      Self->flush();
                    });
}

void CallerConnection::lingerClose() {
  beast::error_code Ignored;
  m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  m_IsLingering = true;
  m_Buffer.consume(m_Buffer.size());
  m_StateSince = m_Handler.now();
  read();
}

void CallerConnection::abort() {
  m_OnDisconnect = nullptr;
  close();
}

void CallerConnection::close() {
  if (m_IsClosed)
    return;
  m_IsClosed = true;
  beast::error_code Ignored;
  m_Socket.close(Ignored);
  if (!m_OnDisconnect)
    return;
  auto Handler = std::move(m_OnDisconnect);
  m_OnDisconnect = nullptr;
  Handler();
}

void CallerConnection::closeIfIdle() {
  if (isIdle() && m_Output.empty() && m_BeingWritten.empty())
    close();
}

void CallerConnection::tick(Time Now) {
  if (m_IsClosed || m_IsAnswering)
    return;
  const CallerLimits &Limits = m_Handler.limits();
  if (m_IsLingering) {
    if (Now - m_StateSince > LingerTime)
      close();
    return;
  }
  if (!m_IsReceiving) {
    // A change of the timeout applies from the next answer on, since the caller
    // relies on what it was told with the last one.
    Duration IdleTimeout =
        std::max(m_AnnouncedIdleTimeout, Limits.m_IdleTimeout);
    if (Now - m_StateSince > IdleTimeout)
      close();
    return;
  }
  bool IsHeaderLate = !m_Parser->is_header_done() &&
                      Now - m_StateSince > Limits.m_HeaderTimeout;
  bool IsBodyLate = Now - m_LastReadAt > Limits.m_IdleTimeout;
  if (IsHeaderLate || IsBodyLate)
    reject(408, "the request was not received in time");
}

} // namespace parsleyring
