#include "support/FloodServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace parsleyring {

FloodServer::FloodServer(std::string First, std::string Repeated,
                         std::chrono::milliseconds Pause)
    : m_First(std::move(First)), m_Repeated(std::move(Repeated)),
      m_Pause(Pause),
      m_Listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  bind(m_Listener, Generic, Size);
  getsockname(m_Listener, Generic, &Size);
  m_Address = "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  listen(m_Listener, SOMAXCONN);
  m_Thread = std::thread([this] { serve(); });
}

FloodServer::~FloodServer() {
  m_IsStopping = true;
  m_Thread.join();
  close(m_Listener);
}

static bool isReady(int Descriptor, short Events) {
  pollfd Entry{Descriptor, Events, 0};
  return poll(&Entry, 1, 10) > 0;
}

void FloodServer::serve() {
  while (!m_IsStopping)
    if (isReady(m_Listener, POLLIN))
      m_Connections.emplace_back(
          [this, Connection = accept(m_Listener, nullptr, nullptr)] {
            flood(Connection);
            close(Connection);
          });
  for (std::thread &Connection : m_Connections)
    Connection.join();
}

void FloodServer::flood(int Connection) {
  std::string Request;
  std::array<char, 4096> Buffer{};
  while (!m_IsStopping && Request.find("\r\n\r\n") == std::string::npos) {
    if (!isReady(Connection, POLLIN))
      continue;
    ssize_t Count = recv(Connection, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return;
    Request.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  send(Connection, m_First.data(), m_First.size(), MSG_NOSIGNAL);
  while (!m_IsStopping) {
    std::this_thread::sleep_for(m_Pause);
    if (!isReady(Connection, POLLOUT))
      continue;
    if (send(Connection, m_Repeated.data(), m_Repeated.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT) < 0 &&
        errno != EAGAIN) {
      ++m_Closed;
      return;
    }
  }
}

} // namespace parsleyring
