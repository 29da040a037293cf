#include "gateway/CallerConnection.h"

#include "core/NameTable.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace parsleyring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

static constexpr NameTable<ReceiptRefusal, 5> ReceiptRefusalNames{
    {"memory-wait", "stalled", "receive-timeout", "chunk-line", "stopping"}};

std::string_view name(ReceiptRefusal Value) {
  return ReceiptRefusalNames.name(Value);
}

static constexpr NameTable<ConnectionClose, 2> ConnectionCloseNames{
    {"connection-limit", "send-stalled"}};

std::string_view name(ConnectionClose Value) {
  return ConnectionCloseNames.name(Value);
}

// Idle connections keep a buffer of this size, which most heads fit in.
static constexpr std::size_t HeadReadBytes = 1 << 10;
static constexpr std::size_t BodyReadBytes = 16 << 10;
// Pipelined requests wait in the buffer up to this size.
static constexpr std::size_t MaxPipelinedBytes = 8 << 10;
// Input of all connections that only wait for their caller to close. What it
// holds is never read.
static char DiscardedInput[16 << 10];
// Far above the length of a chunk in digits, with some extensions.
static constexpr std::size_t MaxChunkLineBytes = 16 << 10;
// Bodies up to this length get their memory at once, others as they arrive.
static constexpr std::size_t MaxEagerBodyBytes = 64 << 10;
static constexpr std::size_t MinBodyBytes = 4 << 10;
// Estimates of what a parsed field takes besides its text (a node of a list and
// of a tree, with the allocator's overhead), and of what a connection takes.
static constexpr std::size_t FieldOverheadBytes = 160;
static constexpr std::size_t ConnectionBytes = 4 << 10;
// The field that ends the head of an answer with a body, with its blank line.
static constexpr std::size_t LengthFieldBytes = 48;
// Larger bodies are moved to the output instead of copied. They are written
// apart from their head, which takes a system call more.
static constexpr std::size_t MaxCopiedBodyBytes = 32 << 10;
// Output buffers above this size are freed after use.
static constexpr std::size_t MaxKeptOutputBytes = 4 << 10;
// After the last answer of a connection, such as an early rejection, further
// input is read and discarded for this long, and for longer while more arrives;
// closing at once would reset the connection and lose the answer.
static constexpr Duration LingerTime = std::chrono::seconds(1);
static constexpr Duration MaxLingerTime = std::chrono::seconds(5);

static constexpr unsigned UnacknowledgedTimeoutMs = 10000;

// How much less than the idle timeout a caller is told. A request that the
// caller sends in time must not cross the close of its connection.
static constexpr Duration IdleMargin = std::chrono::seconds(1);

CallerConnection::CallerConnection(tcp::socket Socket, std::string Address,
                                   RequestHandler &Handler)
    : m_Socket(std::move(Socket)), m_Address(std::move(Address)),
      m_Handler(Handler),
      m_ConnectionMemory(Handler.memoryBudget(), MemoryUse::Connection, ""),
      m_OutputMemory(Handler.memoryBudget(), MemoryUse::Output, "") {
  m_ConnectionMemory.resize(ConnectionBytes);
}

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
  // The head by itself, since it tells whose memory the body takes.
  m_Parser->eager(false);
}

ConnectionLimit::Activity CallerConnection::activity() const {
  if (m_IsLingering)
    return ConnectionLimit::Activity::Idle;
  if (isBusy())
    return ConnectionLimit::Activity::Serving;
  return m_IsReceiving ? ConnectionLimit::Activity::Receiving
                       : ConnectionLimit::Activity::Idle;
}

std::size_t CallerConnection::readBytes() const {
  bool IsBody = m_IsReceiving && m_Parser->is_header_done();
  return IsBody ? BodyReadBytes : HeadReadBytes;
}

void CallerConnection::read() {
  // Each change of the state by the caller ends here, or in noteOutput().
  noteActivity();
  bool IsDiscarded = m_IsLingering || m_ClosesAfterWrite;
  bool IsFull = isBusy() && m_Buffer.size() >= MaxPipelinedBytes;
  if (m_IsReading || m_IsClosed || m_IsAwaitingMemory ||
      (IsFull && !IsDiscarded))
    return;
  m_IsReading = true;
  if (m_Buffer.size() == 0 && m_Buffer.capacity() > readBytes())
    m_Buffer = {};
  auto Target = IsDiscarded ? asio::buffer(DiscardedInput)
                            : m_Buffer.prepare(readBytes());
  auto Self = shared_from_this();
  m_Socket.async_read_some(
      Target,
      [Self, IsDiscarded, Target](beast::error_code Error, std::size_t Size) {
        Self->m_IsReading = false;
        if (Self->m_IsClosed)
          return;
        if (Error) {
          // A caller that shut down only its sending side cannot be told apart
          // from one that closed, so it counts as disconnected.
          Self->close();
          return;
        }
        if (!IsDiscarded)
          Self->commitRead(Target.data(), Size);
        Self->handleRead();
      });
}

void CallerConnection::commitRead(const void *Bytes, std::size_t Size) {
  // A buffer that has been emptied during the read starts at its beginning
  // again, before the place that was read into.
  auto Target = m_Buffer.prepare(Size);
  if (Target.data() != Bytes)
    std::memmove(Target.data(), Bytes, Size);
  m_Buffer.commit(Size);
}

void CallerConnection::handleRead() {
  if (m_IsLingering || m_ClosesAfterWrite) {
    m_Buffer.consume(m_Buffer.size());
    m_LastReadAt = m_Handler.now();
  } else if (isBusy()) {
    m_ConnectionMemory.resize(ConnectionBytes + m_Buffer.capacity());
  } else {
    parse();
  }
  read();
}

void CallerConnection::beginReceipt() {
  m_IsReceiving = true;
  m_IsClientKnown = false;
  m_HeadBytes = m_ReceivedBytes = 0;
  m_StateSince = m_Handler.now();
  m_ConnectionMemory.resize(ConnectionBytes);
  // The limits may have changed since the previous answer.
  prepareParser();
  m_HeadMemory = std::make_shared<MemoryReservation>(
      m_Handler.memoryBudget(), MemoryUse::RequestHead, m_Address);
  m_HeadMemory->beginReceipt(
      m_StateSince, [this] { refuseReceipt(ReceiptRefusal::Stalled); });
}

void CallerConnection::noteReceived(std::size_t Bytes) {
  m_ReceivedBytes += Bytes;
  m_HeadMemory->noteReceived(m_ReceivedBytes, m_LastReadAt);
}

void CallerConnection::parse() {
  // The next request waits until the caller has taken the answer, since the
  // answers of pipelined requests would gather without bound.
  if (m_IsAwaitingMemory || m_IsLingering || m_ClosesAfterWrite || isBusy() ||
      (!m_IsReceiving && m_Buffer.size() == 0))
    return;
  if (!m_IsReceiving)
    beginReceipt();
  m_LastReadAt = m_Handler.now();
  while (m_Buffer.size() > 0 && !m_Parser->is_done()) {
    if (!reserveMemory()) {
      awaitMemory();
      return;
    }
    std::size_t Before = m_Buffer.size();
    if (!parseBuffered())
      return;
    if (m_Buffer.size() == Before)
      break;
  }
  if (!m_Parser->is_done()) {
    // The head counts for its client before any byte of the body arrives.
    if (m_Parser->is_header_done() && !m_IsClientKnown && !reserveMemory())
      awaitMemory();
    return;
  }
  if (reserveMemory())
    dispatch();
  else
    awaitMemory();
}

bool CallerConnection::parseBuffered() {
  bool IsHead = !m_Parser->is_header_done();
  beast::error_code Error;
  std::size_t Used = m_Parser->put(m_Buffer.data(), Error);
  m_Buffer.consume(Used);
  noteReceived(Used);
  if (IsHead && m_Parser->is_header_done()) {
    m_HeadBytes = Used;
    m_Parser->eager(true);
  }
  if (Error == http::error::need_more) {
    if (IsHead || m_Buffer.size() <= MaxChunkLineBytes)
      return true;
    refuseReceipt(ReceiptRefusal::ChunkLine);
  } else if (Error == http::error::header_limit) {
    reject(431, "the header is larger than the limit");
  } else if (Error == http::error::body_limit) {
    reject(413, "the body is larger than the limit");
  } else if (Error) {
    reject(400, Error.message());
  } else {
    return true;
  }
  return false;
}

bool CallerConnection::reserveMemory() {
  if (!m_Parser->is_header_done()) {
    // Parsing copies the text and takes much more for many short fields, so it
    // is reserved before. The buffer may hold a part of the body as well.
    const char *Begin = static_cast<const char *>(m_Buffer.data().data());
    auto Lines = std::count(Begin, Begin + m_Buffer.size(), '\n');
    return m_HeadMemory->tryResize(m_Buffer.capacity() + m_Buffer.size() +
                                   static_cast<std::size_t>(Lines) *
                                       FieldOverheadBytes);
  }
  const auto &Message = m_Parser->get();
  if (!m_IsClientKnown) {
    m_IsClientKnown = true;
    m_HeadMemory->setClient(m_Handler.clientOf(Message.base(), m_Address));
    auto Fields = std::distance(Message.begin(), Message.end());
    m_HeadBytes += static_cast<std::size_t>(Fields) * FieldOverheadBytes;
  }
  std::size_t Buffered =
      m_Parser->is_done() ? 0 : std::max(BodyReadBytes, m_Buffer.capacity());
  return m_HeadMemory->tryResize(m_HeadBytes + Buffered) &&
         (m_Parser->is_done() || reserveBody());
}

// Reserves by capacity, which is what the string takes.
bool CallerConnection::reserveBody() {
  std::string &Body = m_Parser->get().body();
  std::uint64_t Left = m_Buffer.size();
  if (auto Announced = m_Parser->content_length_remaining())
    Left = std::min<std::uint64_t>(Left, *Announced);
  std::size_t Needed = Body.size() + Left;
  if (Needed <= Body.capacity())
    return true;
  std::size_t Capacity = std::max({Needed, 2 * Body.size(), MinBodyBytes});
  if (auto Announced = m_Parser->content_length_remaining()) {
    std::uint64_t Length = Body.size() + *Announced;
    Capacity = Length <= MaxEagerBodyBytes
                   ? Length
                   : std::min<std::uint64_t>(Capacity, Length);
  }
  if (!m_BodyMemory)
    m_BodyMemory = std::make_shared<MemoryReservation>(m_Handler.memoryBudget(),
                                                       MemoryUse::RequestBody,
                                                       m_HeadMemory->client());
  // Little growth at a time would copy a large body too often.
  std::size_t Least = std::max(Needed, Body.size() + Body.size() / 16);
  if (!m_BodyMemory->tryResize(Capacity) && !m_BodyMemory->tryResize(Least))
    return false;
  // reserve() on the body itself may take up to twice its old capacity, which
  // would not be counted.
  std::string Grown;
  Grown.reserve(m_BodyMemory->bytes());
  Grown.append(Body);
  Body.swap(Grown);
  return true;
}

void CallerConnection::awaitMemory() {
  m_IsAwaitingMemory = true;
  m_WaitingSince = m_Handler.now();
  // It is this VM that does not read.
  m_HeadMemory->endReceipt();
  m_Handler.awaitMemory(shared_from_this());
}

bool CallerConnection::retryReceipt(Time Now) {
  if (m_IsClosed || !m_IsAwaitingMemory)
    return true;
  if (!reserveMemory()) {
    if (Now - m_WaitingSince < MaxMemoryWait)
      return false;
    refuseReceipt(ReceiptRefusal::MemoryWait);
    return true;
  }
  m_IsAwaitingMemory = false;
  m_HeadMemory->beginReceipt(
      Now, [this] { refuseReceipt(ReceiptRefusal::Stalled); });
  parse();
  read();
  return true;
}

bool CallerConnection::refuseStalled(Time Now) {
  MemoryReservation *Stalled =
      m_Handler.memoryBudget().stalledRequest(m_HeadMemory->client(), Now);
  if (!Stalled)
    return false;
  Stalled->refuse();
  return true;
}

void CallerConnection::refuseReceipt(ReceiptRefusal Cause) {
  if (m_IsClosed || !m_IsReceiving)
    return;
  static const http::fields NoFields;
  const http::fields &Head =
      m_Parser->is_header_done() ? m_Parser->get().base() : NoFields;
  std::size_t HeldBytes =
      m_HeadMemory->bytes() + (m_BodyMemory ? m_BodyMemory->bytes() : 0);
  AnswerFields Fields =
      m_Handler.refuseReceipt(Cause, Head, m_HeadMemory->client(), HeldBytes);
  m_IsAnswering = true;
  m_IsReceiving = false;
  m_KeepsAlive = false;
  m_IsLingering = true;
  releaseRequest();
  switch (Cause) {
  case ReceiptRefusal::ChunkLine:
    answer(400, Fields, "the line of a chunk's length is too long\n");
    break;
  case ReceiptRefusal::ReceiveTimeout:
    answer(408, Fields, "the request was not received in time\n");
    break;
  default:
    answer(503, Fields, std::string(name(Cause)) + "\n");
  }
  read();
}

// Frees the memory of a request that is not handed on.
void CallerConnection::releaseRequest() {
  m_IsAwaitingMemory = false;
  if (m_HeadMemory)
    m_HeadMemory->endReceipt();
  m_HeadMemory.reset();
  m_BodyMemory.reset();
  prepareParser();
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
  m_HeadMemory->endReceipt();
  Request.m_HeadMemory = std::move(m_HeadMemory);
  Request.m_BodyMemory = std::move(m_BodyMemory);
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
  releaseRequest();
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
                              std::string Body) {
  if (m_IsClosed)
    return;
  bool IsMoved = Body.size() > MaxCopiedBodyBytes && m_BeingWritten.empty();
  appendHead(Status, Fields);
  if (!IsMoved)
    m_Output.reserve(m_Output.size() + Body.size() + LengthFieldBytes);
  m_Output += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  if (IsMoved) {
    m_BeingWritten.swap(m_Output);
    m_Output = std::move(Body);
  } else {
    m_Output += Body;
  }
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
  parseLater();
}

// The caller may have pipelined its next request. Posted, since parsing at once
// would recurse through a series of short answers.
void CallerConnection::parseLater() {
  if (m_Buffer.size() == 0)
    return;
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    if (!Self->m_IsClosed)
      Self->parse();
    Self->read();
  });
}

void CallerConnection::flush() {
  if (m_IsClosed)
    return;
  if (m_IsWriting) {
    noteOutput();
    return;
  }
  if (m_BeingWritten.empty())
    m_BeingWritten.swap(m_Output);
  if (m_BeingWritten.empty()) {
    if (m_ClosesAfterWrite)
      lingerClose();
    return;
  }
  m_WrittenBytes = 0;
  // Usually the socket accepts everything, so no asynchronous write is needed.
  beast::error_code Error;
  m_Socket.non_blocking(true, Error);
  m_WrittenBytes = m_Socket.write_some(asio::buffer(m_BeingWritten), Error);
  if (!Error && m_WrittenBytes == m_BeingWritten.size()) {
    noteOutput();
    if (!m_Output.empty())
      flush();
    else if (m_ClosesAfterWrite)
      lingerClose();
    return;
  }
  m_WriteProgressAt = m_Handler.now();
  noteOutput();
  writeOutput();
}

// Frees what has been written, and counts the rest.
void CallerConnection::noteOutput() {
  if (m_WrittenBytes == m_BeingWritten.size()) {
    m_WrittenBytes = 0;
    m_BeingWritten.clear();
    if (m_BeingWritten.capacity() > MaxKeptOutputBytes)
      std::string().swap(m_BeingWritten);
  }
  bool IsHeld = !m_BeingWritten.empty();
  m_OutputMemory.resize(IsHeld ? m_BeingWritten.capacity() + m_Output.capacity()
                               : 0);
  noteActivity();
}

void CallerConnection::writeOutput() {
  auto Self = shared_from_this();
  m_IsWriting = true;
  m_Socket.async_write_some(asio::buffer(m_BeingWritten) + m_WrittenBytes,
                            [Self](beast::error_code Error, std::size_t Size) {
                              Self->m_IsWriting = false;
                              if (Error) {
                                Self->close();
                                return;
                              }
                              Self->m_WriteProgressAt = Self->m_Handler.now();
                              Self->m_WrittenBytes += Size;
                              Self->noteOutput();
                              if (Self->m_BeingWritten.empty())
                                Self->handleWritten();
                              else
                                Self->writeOutput();
                            });
}

void CallerConnection::handleWritten() {
  flush();
  if (m_IsClosed || isBusy() || m_ClosesAfterWrite || m_IsLingering)
    return;
  m_StateSince = m_Handler.now();
  noteActivity();
  parseLater();
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
  releaseRequest();
  m_ConnectionMemory.resize(0);
  m_OutputMemory.resize(0);
  noteActivity();
  if (!m_OnDisconnect)
    return;
  auto Handler = std::move(m_OnDisconnect);
  m_OnDisconnect = nullptr;
  Handler();
}

void CallerConnection::closeIfIdle() {
  // A lingering connection closes by itself; to close it now could lose its
  // last answer.
  if (isIdle() && !m_IsLingering && m_Output.empty() && m_BeingWritten.empty())
    close();
}

void CallerConnection::closeForLimit() {
  m_Handler.handleClosed(ConnectionClose::ConnectionLimit, m_Address);
  close();
}

void CallerConnection::tick(Time Now) {
  if (m_IsClosed)
    return;
  if (!m_BeingWritten.empty() &&
      Now - m_WriteProgressAt > m_Handler.transferTimeouts().m_SendStall) {
    m_Handler.handleClosed(ConnectionClose::SendStalled, m_Address);
    close();
    return;
  }
  if (m_IsAnswering)
    return;
  const CallerLimits &Limits = m_Handler.limits();
  if (m_IsLingering) {
    // A caller reads the answer after it has sent its whole request.
    bool IsSending = Now - m_LastReadAt < LingerTime && !m_Handler.isStopping();
    if (Now - m_StateSince > (IsSending ? MaxLingerTime : LingerTime))
      close();
    return;
  }
  if (!m_IsReceiving) {
    // The caller may still be reading a long answer.
    if (unsentBytes() > 0)
      return;
    // A change of the timeout applies from the next answer on, since the caller
    // relies on what it was told with the last one.
    Duration IdleTimeout =
        std::max(m_AnnouncedIdleTimeout, Limits.m_IdleTimeout);
    if (Now - m_StateSince > IdleTimeout)
      close();
    return;
  }
  if (m_IsAwaitingMemory)
    return;
  if (Now - m_StateSince > m_Handler.transferTimeouts().m_Receive) {
    refuseReceipt(ReceiptRefusal::ReceiveTimeout);
    return;
  }
  bool IsHeaderLate = !m_Parser->is_header_done() &&
                      Now - m_StateSince > Limits.m_HeaderTimeout;
  bool IsBodyLate = Now - m_LastReadAt > Limits.m_IdleTimeout;
  if (IsHeaderLate || IsBodyLate)
    reject(408, "the request was not received in time");
}

} // namespace parsleyring
