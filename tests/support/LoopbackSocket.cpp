#include "support/LoopbackSocket.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <stdexcept>

namespace parsleyring {

static constexpr int PollMillis = 10;

int boundLoopbackSocket() {
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Any{};
  Any.sin_family = AF_INET;
  Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Descriptor, reinterpret_cast<sockaddr *>(&Any), sizeof(Any)) != 0)
    throw std::runtime_error("cannot bind a loopback port");
  return Descriptor;
}

std::string loopbackAddress(int Descriptor) {
  sockaddr_in Own{};
  socklen_t Length = sizeof(Own);
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Own), &Length);
  return "127.0.0.1:" + std::to_string(ntohs(Own.sin_port));
}

bool isReadable(int Descriptor) {
  pollfd Entry{Descriptor, POLLIN, 0};
  return ::poll(&Entry, 1, PollMillis) > 0;
}

} // namespace parsleyring
