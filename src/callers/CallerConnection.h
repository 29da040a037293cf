#ifndef PARSLEYRING_CALLERS_CALLERCONNECTION_H
#define PARSLEYRING_CALLERS_CALLERCONNECTION_H

#include "http/SocketStream.h"

#include <string>

namespace parsleyring {

/// Result of reading a request body.
enum class BodyResult { Complete, TooLarge, TimedOut, Broken };

/// Connection of a caller; used only by the thread that serves the connection.
class CallerConnection {
public:
  CallerConnection(int Socket, std::uint64_t MaxBodyBytes);

  SocketStream &stream() { return m_Stream; }

  /// Sets the limits for the request line and headers of the next request.
  void beginRequest();
  /// Called when the headers are complete: validates them for headerError(),
  /// adjusts those that cpp-httplib would act on, and sets the body limits.
  void handleHeaders(httplib::Request &Request);
  /// Empty if the headers are valid.
  const std::string &headerError() const { return m_HeaderError; }
  /// Content type as the caller sent it.
  const std::string &contentType() const { return m_ContentType; }

  BodyResult readBody(const httplib::ContentReader &Reader, std::string &Body);

  /// Sends "Connection: close" with the answer and closes the connection then.
  void closeAfterAnswer();
  bool mustClose() const { return m_MustClose; }
  bool isPeerDisconnected() const { return m_Stream.isPeerDisconnected(); }

  /// Shuts down the sending side and discards the unread rest of the request
  /// for a short time: closing at once would reset the connection before the
  /// caller has read the answer.
  void lingeringClose();

private:
  /// Switches from the body timeout to the timeout for writing the answer.
  void beginAnswer();

  SocketStream m_Stream;
  const std::uint64_t m_MaxBodyBytes;
  httplib::Request *m_Request = nullptr;
  std::string m_HeaderError;
  std::string m_ContentType;
  bool m_MustClose = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERCONNECTION_H
