#ifndef PARSLEYRING_TESTS_SUPPORT_FREEPORT_H
#define PARSLEYRING_TESTS_SUPPORT_FREEPORT_H

#include <string>

namespace parsleyring {

/// Reserves a TCP port of a loopback address for one server. A bound socket
/// that does not listen prevents the kernel from giving the port to another
/// process; a server that sets SO_REUSEADDR can still bind the port.
class FreePort {
public:
  explicit FreePort(const std::string &Host = "127.0.0.1");
  ~FreePort();
  FreePort(const FreePort &) = delete;
  FreePort &operator=(const FreePort &) = delete;

  /// IP:port.
  const std::string &address() const { return m_Address; }

private:
  int m_Socket;
  std::string m_Address;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_FREEPORT_H
