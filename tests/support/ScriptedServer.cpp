#include "support/ScriptedServer.h"

#include "support/LoopbackSocket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace parsleyring {

ScriptedServer::ScriptedServer(std::string Answer, End After)
    : m_Answer(std::move(Answer)), m_End(After),
      m_Listener(boundLoopbackSocket()) {
  ::listen(m_Listener, SOMAXCONN);
  m_Thread = std::thread([this] { serve(); });
}

ScriptedServer::~ScriptedServer() {
  m_IsStopping = true;
  m_Thread.join();
  ::close(m_Listener);
}

std::string ScriptedServer::address() const {
  return loopbackAddress(m_Listener);
}

void ScriptedServer::serve() {
  while (!m_IsStopping) {
    if (!isReadable(m_Listener))
      continue;
    int Connection = ::accept(m_Listener, nullptr, nullptr);
    m_Connections.emplace_back([this, Connection] {
      answer(Connection);
      ::close(Connection);
    });
  }
  for (std::thread &Connection : m_Connections)
    Connection.join();
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
  static const int Descriptor = boundLoopbackSocket();
  return loopbackAddress(Descriptor);
}

} // namespace parsleyring
