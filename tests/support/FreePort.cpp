#include "support/FreePort.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace parsleyring {

FreePort::FreePort(const std::string &Host)
    : m_Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  int On = 1;
  setsockopt(m_Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = inet_addr(Host.c_str());
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (bind(m_Socket, Generic, Size) != 0 ||
      getsockname(m_Socket, Generic, &Size) != 0)
    throw std::runtime_error("cannot bind a free loopback port");
  m_Address = Host + ":" + std::to_string(ntohs(Address.sin_port));
}

FreePort::~FreePort() { close(m_Socket); }

} // namespace parsleyring
