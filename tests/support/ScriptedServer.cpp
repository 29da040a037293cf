#include "support/ScriptedServer.h"

#include "support/LoopbackSocket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace parsleyring {

ScriptedServer::ScriptedServer(std::string Answer, const Script &Steps)
    : m_Answer(std::move(Answer)), m_Script(Steps),
      m_Listener(boundLoopbackSocket()) {
  // Connections inherit the size if it is set before listen().
  if (m_Script.m_ReceiveBufferBytes > 0)
    ::setsockopt(m_Listener, SOL_SOCKET, SO_RCVBUF,
                 &m_Script.m_ReceiveBufferBytes,
                 sizeof(m_Script.m_ReceiveBufferBytes));
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
  if (!readRequest(Connection))
    return;
  m_HasRequest = true;
  ::send(Connection, m_Answer.data(), m_Answer.size(), MSG_NOSIGNAL);
  end(Connection);
}

bool ScriptedServer::readRequest(int Connection) {
  std::string Request;
  std::array<char, 4096> Buffer;
  while (!m_IsStopping && (Request.find("\r\n\r\n") == std::string::npos ||
                           Request.size() < m_Script.m_RequestBytes)) {
    if (!isReadable(Connection))
      continue;
    ssize_t Count = ::recv(Connection, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return false;
    Request.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return true;
}

void ScriptedServer::readUntilClosed(int Connection) {
  std::array<char, 4096> Buffer;
  while (!m_IsStopping)
    if (isReadable(Connection) &&
        ::recv(Connection, Buffer.data(), Buffer.size(), 0) <= 0) {
      m_WasClosedByClient = true;
      return;
    }
}

static void resetOnClose(int Connection) {
  linger Abort{1, 0};
  ::setsockopt(Connection, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
}

void ScriptedServer::end(int Connection) {
  std::this_thread::sleep_for(m_Script.m_Pause);
  switch (m_Script.m_End) {
  case End::Close:
    return;
  case End::KeepOpen:
    readUntilClosed(Connection);
    return;
  case End::Reset:
    resetOnClose(Connection);
    return;
  case End::ShutDown:
    ::shutdown(Connection, SHUT_WR);
    readUntilClosed(Connection);
    return;
  case End::ShutDownAndReset:
    ::shutdown(Connection, SHUT_WR);
    std::this_thread::sleep_for(m_Script.m_Pause);
    resetOnClose(Connection);
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
