#include "http/EndpointConnection.h"

#include "http/ResponseHead.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace parsleyring {

EndpointConnection::EndpointConnection(const SocketAddress &Address,
                                       std::chrono::microseconds ConnectTimeout)
    : ClientImpl(Address.m_Host, Address.m_Port), m_Address(Address),
      m_ConnectTimeout(ConnectTimeout) {
  // Forward request targets and bodies unchanged.
  set_url_encode(false);
  set_decompress(false);
}

void EndpointConnection::cancel() {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  m_IsCancelled = true;
  if (m_Descriptor >= 0)
    ::shutdown(m_Descriptor, SHUT_RDWR);
}

bool EndpointConnection::isCancelled() const {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_IsCancelled;
}

bool EndpointConnection::call(httplib::Request &Request,
                              httplib::Response &Response,
                              httplib::Error &Error) {
  m_BytesSent = 0;
  m_Fault = SocketStream::Fault::None;
  m_HeadFinding.clear();
  // Called before the body is received, which may be a stream.
  Request.response_handler = [this, Next = Request.response_handler](
                                 const httplib::Response &Received) {
    m_HeadFinding = checkResponseHead(Received);
    return m_HeadFinding.empty() && (!Next || Next(Received));
  };
  if (!send(Request, Response, Error))
    return false;
  // The library does not call the handler for answers without a body.
  m_HeadFinding = checkResponseHead(Response);
  return m_HeadFinding.empty();
}

bool EndpointConnection::registerSocket(int Descriptor) {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_IsCancelled)
    return false;
  m_Descriptor = Descriptor;
  return true;
}

void EndpointConnection::unregisterSocket() {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  m_Descriptor = -1;
}

static bool fillSockaddr(const SocketAddress &Address,
                         sockaddr_storage &Storage, socklen_t &Length) {
  auto *Ipv4 = reinterpret_cast<sockaddr_in *>(&Storage);
  if (::inet_pton(AF_INET, Address.m_Host.c_str(), &Ipv4->sin_addr) == 1) {
    Ipv4->sin_family = AF_INET;
    Ipv4->sin_port = htons(Address.m_Port);
    Length = sizeof(sockaddr_in);
    return true;
  }
  auto *Ipv6 = reinterpret_cast<sockaddr_in6 *>(&Storage);
  if (::inet_pton(AF_INET6, Address.m_Host.c_str(), &Ipv6->sin6_addr) != 1)
    return false;
  Ipv6->sin6_family = AF_INET6;
  Ipv6->sin6_port = htons(Address.m_Port);
  Length = sizeof(sockaddr_in6);
  return true;
}

bool EndpointConnection::connectSocket(int Descriptor) {
  sockaddr_storage Storage{};
  socklen_t Length = 0;
  if (!fillSockaddr(m_Address, Storage, Length))
    return false;
  if (::connect(Descriptor, reinterpret_cast<sockaddr *>(&Storage), Length) ==
      0)
    return true;
  if (errno != EINPROGRESS)
    return false;
  auto Remaining = std::chrono::duration_cast<std::chrono::microseconds>(
      m_Deadline - std::chrono::steady_clock::now());
  if (pollSocket(Descriptor, POLLOUT, std::min(Remaining, m_ConnectTimeout)) ==
      0)
    return false;
  int Error = 0;
  socklen_t ErrorLength = sizeof(Error);
  return ::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &ErrorLength) ==
             0 &&
         Error == 0;
}

bool EndpointConnection::create_and_connect_socket(Socket &Target,
                                                   httplib::Error &Error) {
  Error = httplib::Error::Connection;
  bool IsIpv6 = m_Address.m_Host.find(':') != std::string::npos;
  int Descriptor = ::socket(IsIpv6 ? AF_INET6 : AF_INET,
                            SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Descriptor < 0)
    return false;
  int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  bool IsConnected = registerSocket(Descriptor) && connectSocket(Descriptor);
  unregisterSocket();
  if (!IsConnected) {
    ::close(Descriptor);
    return false;
  }
  Target.sock = Descriptor;
  Error = httplib::Error::Success;
  return true;
}

bool EndpointConnection::process_socket(
    const Socket &Source, std::function<bool(httplib::Stream &)> UseStream) {
  if (!registerSocket(Source.sock))
    return false;
  SocketStream Stream(Source.sock);
  Stream.setDeadline(m_Deadline);
  bool IsDone = UseStream(Stream);
  unregisterSocket();
  m_BytesSent = Stream.bytesSent();
  m_Fault = Stream.fault();
  return IsDone;
}

} // namespace parsleyring
