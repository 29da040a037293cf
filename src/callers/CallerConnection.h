#ifndef PARSLEYRING_CALLERS_CALLERCONNECTION_H
#define PARSLEYRING_CALLERS_CALLERCONNECTION_H

#include "http/SocketStream.h"

#include <string>

namespace parsleyring {

/// How the reading of a request's body ended.
enum class BodyEnd { Whole, TooLarge, TimedOut, Broken };

/// One connection of a caller, used by the thread that serves it.
class CallerConnection {
public:
  CallerConnection(int Socket, std::uint64_t MaxBodyBytes);

  SocketStream &stream() { return m_Stream; }

  /// Limits for the request line and the headers of the next request.
  void beginRequest();
  /// Called once the headers are read; makes the request safe to dispatch.
  /// What is wrong with it is kept for headerProblem().
  void headersRead(httplib::Request &Request);
  /// Empty if the headers are fine.
  const std::string &headerProblem() const { return m_HeaderProblem; }
  /// Content type as the caller sent it.
  const std::string &contentType() const { return m_ContentType; }

  BodyEnd readBody(const httplib::ContentReader &Reader, std::string &Body);

  /// The answer says that the connection ends, and it does.
  void closeAfterAnswer();
  bool mustClose() const { return m_MustClose; }
  bool isPeerGone() const { return m_Stream.isPeerGone(); }

  /// Ends the connection such that the caller can still read the answer while
  /// parts of its request are unread.
  void lingeringClose();

private:
  /// Only the caller's reading of the answer is limited from now on.
  void beginAnswer();

  SocketStream m_Stream;
  const std::uint64_t m_MaxBodyBytes;
  httplib::Request *m_Request = nullptr;
  std::string m_HeaderProblem;
  std::string m_ContentType;
  bool m_MustClose = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERCONNECTION_H
