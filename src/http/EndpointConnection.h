#ifndef PARSLEYRING_HTTP_ENDPOINTCONNECTION_H
#define PARSLEYRING_HTTP_ENDPOINTCONNECTION_H

#include "core/SocketAddress.h"
#include "http/SocketStream.h"

#include <mutex>

namespace parsleyring {

/// HTTP client of one endpoint. Requests are sent by one thread; cancel() may
/// be called by any other and wakes it at once, also while it connects.
class EndpointConnection final : public httplib::ClientImpl {
public:
  EndpointConnection(const SocketAddress &Peer,
                     std::chrono::microseconds ConnectLimit);

  /// Ends the request in progress and lets all later ones fail.
  void cancel();
  bool isCancelled() const;

  /// Time by which the whole answer of the next request must be there.
  void setDeadline(SteadyTime Deadline) { m_Deadline = Deadline; }

  /// Sends a request and receives its answer. True if the answer is whole.
  bool call(httplib::Request &Request, httplib::Response &Response,
            httplib::Error &Error);

  /// How the last request went.
  std::uint64_t bytesSent() const { return m_BytesSent; }
  SocketStream::Fault fault() const { return m_Fault; }

protected:
  bool create_and_connect_socket(Socket &Target,
                                 httplib::Error &Error) override;

private:
  bool process_socket(const Socket &Source,
                      std::function<bool(httplib::Stream &)> Use) override;
  bool enter(int Descriptor);
  void leave();
  bool connectWithin(int Descriptor);

  const SocketAddress m_Peer;
  const std::chrono::microseconds m_ConnectLimit;
  SteadyTime m_Deadline = SteadyTime::max();
  std::uint64_t m_BytesSent = 0;
  SocketStream::Fault m_Fault = SocketStream::Fault::None;

  mutable std::mutex m_Mutex;
  int m_Descriptor = -1; ///< Guarded by m_Mutex; -1 when it may be closed.
  bool m_IsCancelled = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_HTTP_ENDPOINTCONNECTION_H
