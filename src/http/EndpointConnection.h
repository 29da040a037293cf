#ifndef PARSLEYRING_HTTP_ENDPOINTCONNECTION_H
#define PARSLEYRING_HTTP_ENDPOINTCONNECTION_H

#include "core/SocketAddress.h"
#include "http/SocketStream.h"

#include <mutex>

namespace parsleyring {

/// HTTP client for one endpoint. One thread sends requests; cancel() may be
/// called from any thread and interrupts it at once, also while connecting.
class EndpointConnection final : public httplib::ClientImpl {
public:
  EndpointConnection(const SocketAddress &Address,
                     std::chrono::microseconds ConnectTimeout);

  /// Aborts the request in progress and makes all later requests fail.
  void cancel();
  bool isCancelled() const;

  /// Time by which the answer to the next request must be complete.
  void setDeadline(SteadyTime Deadline) { m_Deadline = Deadline; }

  /// Sends a request and receives the answer. False if it is incomplete or its
  /// head is not valid.
  bool call(httplib::Request &Request, httplib::Response &Response,
            httplib::Error &Error);

  /// Bytes sent by the last request, and its error.
  std::uint64_t bytesSent() const { return m_BytesSent; }
  SocketStream::Fault fault() const { return m_Fault; }
  /// What is wrong with the head of the last answer; empty if it is valid or
  /// was not received.
  const std::string &headFinding() const { return m_HeadFinding; }

protected:
  bool create_and_connect_socket(Socket &Target,
                                 httplib::Error &Error) override;

private:
  bool
  process_socket(const Socket &Source,
                 std::function<bool(httplib::Stream &)> UseStream) override;
  bool registerSocket(int Descriptor);
  void unregisterSocket();
  bool connectSocket(int Descriptor);

  const SocketAddress m_Address;
  const std::chrono::microseconds m_ConnectTimeout;
  SteadyTime m_Deadline = SteadyTime::max();
  std::uint64_t m_BytesSent = 0;
  SocketStream::Fault m_Fault = SocketStream::Fault::None;
  std::string m_HeadFinding;

  mutable std::mutex m_Mutex;
  /// Guarded by m_Mutex. Reset to -1 before the socket may be closed.
  int m_Descriptor = -1;
  bool m_IsCancelled = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_HTTP_ENDPOINTCONNECTION_H
