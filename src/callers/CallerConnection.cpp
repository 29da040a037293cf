#include "callers/CallerConnection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace parsleyring {

using std::chrono::steady_clock;

static constexpr std::uint64_t MaxHeaderBytes = 64 * 1024;
static constexpr std::chrono::seconds HeaderTimeout(10);
static constexpr std::chrono::seconds BodyTimeout(30);
/// The connection is closed if the caller reads none of its answer for this
/// long.
static constexpr std::chrono::seconds WriteTimeout(20);
/// cpp-httplib matches paths with std::regex, whose recursion depth grows with
/// the length of the path.
static constexpr std::size_t MaxPathBytes = 2048;
static constexpr std::chrono::milliseconds LingerTimeout(500);
static constexpr std::uint64_t MaxLingerBytes = 8 << 20;

CallerConnection::CallerConnection(int Socket, std::uint64_t MaxBodyBytes)
    : m_Stream(Socket), m_MaxBodyBytes(MaxBodyBytes) {}

void CallerConnection::beginRequest() {
  m_Request = nullptr;
  m_HeaderError.clear();
  m_ContentType.clear();
  m_Stream.setReadLimit(MaxHeaderBytes);
  m_Stream.setDeadline(steady_clock::now() + HeaderTimeout);
}

static bool isNumber(const std::string &Text) {
  static constexpr std::size_t MaxDigits = 18;
  return !Text.empty() && Text.size() <= MaxDigits &&
         std::all_of(Text.begin(), Text.end(),
                     [](char Digit) { return Digit >= '0' && Digit <= '9'; });
}

/// Describes why the end of the request body is ambiguous; empty if it is not.
static std::string framingError(const httplib::Request &Request) {
  bool HasLength = Request.has_header("Content-Length");
  bool HasTransferEncoding = Request.has_header("Transfer-Encoding");
  if (HasLength && HasTransferEncoding)
    return "both Content-Length and Transfer-Encoding are given";
  if (Request.get_header_value_count("Content-Length") > 1)
    return "Content-Length is given more than once";
  if (HasLength && !isNumber(Request.get_header_value("Content-Length")))
    return "Content-Length is not a number";
  if (HasTransferEncoding &&
      Request.get_header_value("Transfer-Encoding") != "chunked")
    return "Transfer-Encoding must be chunked";
  bool HasBody =
      HasTransferEncoding ||
      (HasLength && Request.get_header_value("Content-Length") != "0");
  if (HasBody && (Request.method == "GET" || Request.method == "HEAD" ||
                  Request.method == "OPTIONS"))
    return Request.method + " must not have a body";
  return {};
}

void CallerConnection::handleHeaders(httplib::Request &Request) {
  m_Request = &Request;
  m_Stream.setDeadline(steady_clock::now() + BodyTimeout);
  m_Stream.setReadLimit(std::numeric_limits<std::uint64_t>::max());
  m_HeaderError = framingError(Request);
  if (Request.method == "GET" || Request.method == "HEAD" ||
      Request.method == "OPTIONS")
    beginAnswer();
  if (Request.path.size() > MaxPathBytes)
    m_HeaderError =
        "the path is longer than " + std::to_string(MaxPathBytes) + " bytes";
  // Without a length cpp-httplib would read until the connection ends.
  if (!Request.has_header("Content-Length") &&
      !Request.has_header("Transfer-Encoding"))
    Request.set_header("Content-Length", "0");
  // cpp-httplib would parse multipart bodies and compress answers or cut them
  // to a range; bodies and answers are passed on unchanged instead.
  m_ContentType = Request.get_header_value("Content-Type");
  Request.headers.erase("Content-Type");
  Request.headers.erase("Accept-Encoding");
  Request.headers.erase("Range");
  Request.ranges.clear();
}

void CallerConnection::beginAnswer() {
  m_Stream.setDeadline(SteadyTime::max());
  m_Stream.setIdleTimeout(WriteTimeout);
}

BodyResult CallerConnection::readBody(const httplib::ContentReader &Reader,
                                      std::string &Body) {
  bool IsTooLarge = m_Request->get_header_value<std::uint64_t>(
                        "Content-Length") > m_MaxBodyBytes;
  bool IsComplete = !IsTooLarge && Reader([&](const char *Data, size_t Size) {
    IsTooLarge = Body.size() + Size > m_MaxBodyBytes;
    if (!IsTooLarge)
      Body.append(Data, Size);
    return !IsTooLarge;
  });
  bool IsTimedOut = m_Stream.fault() == SocketStream::Fault::TimedOut;
  beginAnswer();
  if (IsComplete)
    return BodyResult::Complete;
  closeAfterAnswer();
  if (IsTooLarge)
    return BodyResult::TooLarge;
  return IsTimedOut ? BodyResult::TimedOut : BodyResult::Broken;
}

void CallerConnection::closeAfterAnswer() {
  m_MustClose = true;
  if (!m_Request)
    return;
  // cpp-httplib copies the answer's Connection header from the request.
  m_Request->headers.erase("Connection");
  m_Request->set_header("Connection", "close");
}

void CallerConnection::lingeringClose() {
  int Socket = m_Stream.socket();
  ::shutdown(Socket, SHUT_WR);
  auto End = steady_clock::now() + LingerTimeout;
  std::array<char, 16 * 1024> Discarded;
  std::uint64_t Bytes = 0;
  while (Bytes < MaxLingerBytes) {
    auto Remaining = std::chrono::duration_cast<std::chrono::microseconds>(
        End - steady_clock::now());
    if (Remaining.count() <= 0 || pollSocket(Socket, POLLIN, Remaining) == 0)
      return;
    ssize_t Count =
        ::recv(Socket, Discarded.data(), Discarded.size(), MSG_DONTWAIT);
    if (Count <= 0)
      return;
    Bytes += static_cast<std::uint64_t>(Count);
  }
}

} // namespace parsleyring
