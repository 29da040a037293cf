#include "support/ScriptedServer.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace parsleyring {

static constexpr int PollMillis = 10;

static int boundSocket() {
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Any{};
  Any.sin_family = AF_INET;
  Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Descriptor, reinterpret_cast<sockaddr *>(&Any), sizeof(Any)) != 0)
    throw std::runtime_error("cannot bind a loopback port");
  return Descriptor;
}

static std::string addressOf(int Descriptor) {
  sockaddr_in Own{};
  socklen_t Length = sizeof(Own);
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Own), &Length);
  return "127.0.0.1:" + std::to_string(ntohs(Own.sin_port));
}

ScriptedServer::ScriptedServer(std::string Answer, End After)
    : m_Answer(std::move(Answer)), m_End(After), m_Listener(boundSocket()) {
  ::listen(m_Listener, SOMAXCONN);
  m_Thread = std::thread([this] { serve(); });
}

ScriptedServer::~ScriptedServer() {
  m_IsStopping = true;
  m_Thread.join();
  ::close(m_Listener);
}

std::string ScriptedServer::address() const { return addressOf(m_Listener); }

static bool isReadable(int Descriptor) {
  pollfd Entry{Descriptor, POLLIN, 0};
  return ::poll(&Entry, 1, PollMillis) > 0;
}

void ScriptedServer::serve() {
  while (!m_IsStopping) {
    if (!isReadable(m_Listener))
      continue;
    int Connection = ::accept(m_Listener, nullptr, nullptr);
    answer(Connection);
    ::close(Connection);
  }
}

void ScriptedServer::answer(int Connection) {
  std::string Request;
  std::array<char, 4096> Buffer;
  while (!m_IsStopping && Request.find("\r\n\r\n") == std::string::npos) {
    if (!isReadable(Connection))
      continue;
    ssize_t Count = ::recv(Connection, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return;
    Request.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  m_HasRequest = true;
  ::send(Connection, m_Answer.data(), m_Answer.size(), MSG_NOSIGNAL);
  while (!m_IsStopping && m_End == End::KeepOpen)
    if (isReadable(Connection) &&
        ::recv(Connection, Buffer.data(), Buffer.size(), 0) <= 0) {
      m_WasClosedByClient = true;
      return;
    }
}

std::string refusingAddress() {
  // The bound socket reserves the port; connections are refused because the
  // socket does not listen.
  static const int Descriptor = boundSocket();
  return addressOf(Descriptor);
}

} // namespace parsleyring
