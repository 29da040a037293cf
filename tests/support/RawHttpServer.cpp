#include "support/RawHttpServer.h"

#include "support/LoopbackSocket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace parsleyring {

static const std::string HeadEnd = "\r\n\r\n";

std::string RawRequest::field(const std::string &Name) const {
  std::size_t Begin = m_Head.find("\r\n" + Name + ": ");
  if (Begin == std::string::npos)
    return "";
  Begin += Name.size() + 4;
  return m_Head.substr(Begin, m_Head.find("\r\n", Begin) - Begin);
}

RawHttpServer::RawHttpServer(Behaviour Respond)
    : m_Respond(std::move(Respond)), m_Listener(boundLoopbackSocket()),
      m_Address(loopbackAddress(m_Listener)) {
  ::listen(m_Listener, SOMAXCONN);
  m_Acceptor = std::thread([this] { accept(); });
}

RawHttpServer::~RawHttpServer() {
  m_IsStopping = true;
  m_Acceptor.join();
  ::close(m_Listener);
}

void RawHttpServer::accept() {
  while (!m_IsStopping) {
    if (!isReadable(m_Listener))
      continue;
    int Socket = ::accept(m_Listener, nullptr, nullptr);
    int Connection = m_Connections++;
    m_Threads.emplace_back([this, Socket, Connection] {
      serve(Socket, Connection);
      ::close(Socket);
    });
  }
  for (std::thread &Thread : m_Threads)
    Thread.join();
}

void RawHttpServer::serve(int Socket, int Connection) {
  std::string Input;
  std::array<char, 4096> Buffer{};
  RawRequest Request;
  Request.m_Connection = Connection;
  while (!m_IsStopping) {
    std::size_t End = Input.find(HeadEnd);
    if (End != std::string::npos)
      Request.m_Head = Input.substr(0, End + 2);
    std::size_t Body = std::stoul("0" + Request.field("Content-Length"));
    if (End == std::string::npos ||
        Input.size() < End + HeadEnd.size() + Body) {
      if (!isReadable(Socket))
        continue;
      ssize_t Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0)
        return;
      Input.append(Buffer.data(), static_cast<std::size_t>(Count));
      continue;
    }
    Input.erase(0, End + HeadEnd.size() + Body);
    std::string Answer = m_Respond(Request);
    ::send(Socket, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    ++Request.m_Index;
  }
}

} // namespace parsleyring
