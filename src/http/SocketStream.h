#ifndef PARSLEYRING_HTTP_SOCKETSTREAM_H
#define PARSLEYRING_HTTP_SOCKETSTREAM_H

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>

namespace parsleyring {

using SteadyTime = std::chrono::steady_clock::time_point;

/// cpp-httplib stream over a connected socket, which it does not close. Unlike
/// the library's stream it supports a deadline for a whole message and a limit
/// on the bytes read, and reports the bytes sent and the reason of a failure.
class SocketStream final : public httplib::Stream {
public:
  enum class Fault {
    None,
    Closed, ///< The peer closed in an orderly way.
    Reset,  ///< The connection was reset or failed in another way.
    TimedOut,
    TooLong
  };

  explicit SocketStream(int Socket) : m_Socket(Socket) {}

  /// Reads and writes that wait past this time fail with TimedOut.
  void setDeadline(SteadyTime Deadline) { m_Deadline = Deadline; }
  /// A single wait for the socket longer than this fails with TimedOut.
  void setIdleTimeout(std::chrono::microseconds Timeout) {
    m_IdleTimeout = Timeout;
  }
  /// Number of further bytes that may be read; after them reads fail with
  /// TooLong.
  void setReadLimit(std::uint64_t Bytes) { m_ReadBytesLeft = Bytes; }

  std::uint64_t bytesSent() const { return m_BytesSent; }
  Fault fault() const { return m_Fault; }
  bool hasBufferedData() const { return m_BufferPosition < m_BufferEnd; }
  /// True if the peer closed or reset the connection.
  bool isPeerDisconnected() const;
  /// Waits for data to read. False on timeout or a connection error.
  bool waitReadable(std::chrono::microseconds Timeout) const;

  bool is_readable() const override;
  bool is_writable() const override;
  /// 0 only at an orderly end of the input; -1 for all other faults.
  ssize_t read(char *Data, size_t Size) override;
  ssize_t write(const char *Data, size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override { return m_Socket; }

private:
  static constexpr std::size_t BufferBytes = 16 * 1024;

  bool waitFor(short Events);
  /// Error is the errno of the failed call; 0 at the end of the input.
  void noteEnd(int Error);
  bool fillBuffer();

  int m_Socket;
  SteadyTime m_Deadline = SteadyTime::max();
  std::chrono::microseconds m_IdleTimeout = std::chrono::hours(1);
  std::uint64_t m_ReadBytesLeft = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t m_BytesSent = 0;
  Fault m_Fault = Fault::None;
  std::array<char, BufferBytes> m_Buffer;
  std::size_t m_BufferPosition = 0;
  std::size_t m_BufferEnd = 0;
};

/// poll() for one socket, restarted after signals. Returns the events that
/// occurred, 0 on timeout, POLLERR if poll() fails.
short pollSocket(int Socket, short Events, std::chrono::microseconds Timeout);

} // namespace parsleyring

#endif // PARSLEYRING_HTTP_SOCKETSTREAM_H
