#include "http/SocketStream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace parsleyring {

using std::chrono::microseconds;
using std::chrono::steady_clock;

short pollSocket(int Socket, short Events, microseconds Timeout) {
  SteadyTime Deadline = steady_clock::now() + Timeout;
  pollfd Entry{Socket, Events, 0};
  for (;;) {
    auto Remaining = std::chrono::ceil<std::chrono::milliseconds>(
        Deadline - steady_clock::now());
    int WaitMilliseconds =
        static_cast<int>(std::max<std::int64_t>(Remaining.count(), 0));
    int Count = ::poll(&Entry, 1, WaitMilliseconds);
    if (Count > 0)
      return Entry.revents;
    if (Count == 0)
      return 0;
    if (errno != EINTR)
      return POLLERR;
  }
}

bool SocketStream::isPeerDisconnected() const {
  short Events = pollSocket(m_Socket, POLLRDHUP, microseconds(0));
  return (Events & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

bool SocketStream::waitReadable(microseconds Timeout) const {
  if (hasBufferedData())
    return true;
  short Events = pollSocket(m_Socket, POLLIN, Timeout);
  return (Events & POLLIN) != 0;
}

bool SocketStream::is_readable() const { return waitReadable(microseconds(0)); }

bool SocketStream::is_writable() const {
  return m_Fault == Fault::None && !isPeerDisconnected();
}

bool SocketStream::waitFor(short Events) {
  auto Remaining = std::chrono::duration_cast<microseconds>(
      m_Deadline - steady_clock::now());
  microseconds Timeout = std::min(Remaining, m_IdleTimeout);
  if (Timeout > microseconds(0) && pollSocket(m_Socket, Events, Timeout) != 0)
    return true;
  m_Fault = Fault::TimedOut;
  return false;
}

// The kernel reports a reset once, to the first call that fails; reads after a
// failed write end as after an orderly close. A write fails with EPIPE if the
// peer had closed in an orderly way before.
void SocketStream::noteEnd(int Error) {
  bool IsOrderly = m_Fault != Fault::Reset && (Error == 0 || Error == EPIPE);
  m_Fault = IsOrderly ? Fault::Closed : Fault::Reset;
}

bool SocketStream::fillBuffer() {
  for (;;) {
    if (!waitFor(POLLIN))
      return false;
    ssize_t Count =
        ::recv(m_Socket, m_Buffer.data(), m_Buffer.size(), MSG_DONTWAIT);
    if (Count > 0) {
      m_BufferPosition = 0;
      m_BufferEnd = static_cast<std::size_t>(Count);
      return true;
    }
    if (Count < 0 && (errno == EINTR || errno == EAGAIN))
      continue;
    noteEnd(Count < 0 ? errno : 0);
    return false;
  }
}

ssize_t SocketStream::read(char *Data, size_t Size) {
  if (m_ReadBytesLeft == 0) {
    m_Fault = Fault::TooLong;
    return -1;
  }
  if (!hasBufferedData() && !fillBuffer())
    return m_Fault == Fault::Closed ? 0 : -1;
  std::size_t Count =
      std::min({static_cast<std::size_t>(Size), m_BufferEnd - m_BufferPosition,
                static_cast<std::size_t>(m_ReadBytesLeft)});
  std::memcpy(Data, m_Buffer.data() + m_BufferPosition, Count);
  m_BufferPosition += Count;
  m_ReadBytesLeft -= Count;
  return static_cast<ssize_t>(Count);
}

ssize_t SocketStream::write(const char *Data, size_t Size) {
  for (;;) {
    ssize_t Count = ::send(m_Socket, Data, Size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count >= 0) {
      m_BytesSent += static_cast<std::uint64_t>(Count);
      return Count;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN) {
      noteEnd(errno);
      return -1;
    }
    if (!waitFor(POLLOUT))
      return -1;
  }
}

static void readSockaddr(const sockaddr_storage &Storage, std::string &Ip,
                         int &Port) {
  std::array<char, INET6_ADDRSTRLEN> Text{};
  if (Storage.ss_family == AF_INET) {
    const auto &Ipv4 = reinterpret_cast<const sockaddr_in &>(Storage);
    ::inet_ntop(AF_INET, &Ipv4.sin_addr, Text.data(), Text.size());
    Port = ntohs(Ipv4.sin_port);
  } else if (Storage.ss_family == AF_INET6) {
    const auto &Ipv6 = reinterpret_cast<const sockaddr_in6 &>(Storage);
    ::inet_ntop(AF_INET6, &Ipv6.sin6_addr, Text.data(), Text.size());
    Port = ntohs(Ipv6.sin6_port);
  }
  Ip = Text.data();
}

void SocketStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  sockaddr_storage Storage{};
  socklen_t Length = sizeof(Storage);
  if (::getpeername(m_Socket, reinterpret_cast<sockaddr *>(&Storage),
                    &Length) == 0)
    readSockaddr(Storage, Ip, Port);
}

void SocketStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  sockaddr_storage Storage{};
  socklen_t Length = sizeof(Storage);
  if (::getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Storage),
                    &Length) == 0)
    readSockaddr(Storage, Ip, Port);
}

} // namespace parsleyring
