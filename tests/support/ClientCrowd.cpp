#include "support/ClientCrowd.h"

#include "core/SocketAddress.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <stdexcept>

namespace parsleyring {

static constexpr int PollMillis = 10;
static constexpr unsigned SourceAddresses = 4;
// Small, so that unread responses stay with the server.
static constexpr int UnreadBufferBytes = 4096;

ClientCrowd::ClientCrowd(const std::vector<CrowdPlan> &Plans) : m_Plans(Plans) {
  for (const CrowdPlan &Plan : m_Plans)
    m_Clients.insert(m_Clients.end(), Plan.m_Clients, Client{&Plan});
  m_Pending = m_Clients.size();
  m_Thread = std::thread([this] { run(); });
}

ClientCrowd::~ClientCrowd() {
  m_IsStopping = true;
  m_Thread.join();
}

static sockaddr_in socketAddress(const std::string &Host, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

void ClientCrowd::connect(Client &Entry) {
  unsigned Number = m_Connections++;
  Entry.m_Sent = 0;
  Entry.m_Head.clear();
  for (char Letter : Entry.m_Plan->m_Head)
    Entry.m_Head +=
        Letter == '%' ? std::to_string(Number) : std::string(1, Letter);
  Entry.m_Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (!Entry.m_Plan->m_Reads)
    ::setsockopt(Entry.m_Socket, SOL_SOCKET, SO_RCVBUF, &UnreadBufferBytes,
                 sizeof(UnreadBufferBytes));
  sockaddr_in Source = socketAddress(
      "127.0.1." + std::to_string(1 + Number % SourceAddresses), 0);
  std::optional<SocketAddress> Parsed =
      parseSocketAddress(Entry.m_Plan->m_Address);
  sockaddr_in Target = socketAddress(Parsed->m_Host, Parsed->m_Port);
  if (::bind(Entry.m_Socket, reinterpret_cast<sockaddr *>(&Source),
             sizeof(Source)) != 0 ||
      (::connect(Entry.m_Socket, reinterpret_cast<sockaddr *>(&Target),
                 sizeof(Target)) != 0 &&
       errno != EINPROGRESS))
    disconnect(Entry);
}

void ClientCrowd::markActed(Client &Entry) {
  if (!Entry.m_HasActed)
    --m_Pending;
  Entry.m_HasActed = true;
}

void ClientCrowd::disconnect(Client &Entry) {
  ::close(Entry.m_Socket);
  Entry.m_Socket = -1;
  markActed(Entry);
}

void ClientCrowd::send(Client &Entry) {
  const CrowdPlan &Plan = *Entry.m_Plan;
  std::size_t HeadBytes = Entry.m_Head.size();
  const char *Part = Entry.m_Head.data() + Entry.m_Sent;
  std::size_t Size = HeadBytes - Entry.m_Sent;
  if (Entry.m_Sent >= HeadBytes) {
    std::size_t Done = Entry.m_Sent - HeadBytes;
    if (Done >= Plan.m_RepeatedBytes) {
      // The others have acted when a response has begun.
      if (Plan.m_Reads)
        markActed(Entry);
      return;
    }
    std::size_t Offset = Done % Plan.m_Repeated.size();
    Part = Plan.m_Repeated.data() + Offset;
    Size =
        std::min(Plan.m_Repeated.size() - Offset, Plan.m_RepeatedBytes - Done);
  }
  ssize_t Sent = ::send(Entry.m_Socket, Part, Size, MSG_NOSIGNAL);
  if (Sent > 0)
    Entry.m_Sent += static_cast<std::size_t>(Sent);
  else if (errno != EAGAIN)
    disconnect(Entry);
}

void ClientCrowd::receive(Client &Entry) {
  if (!Entry.m_Plan->m_Reads) {
    markActed(Entry);
    return;
  }
  std::array<char, 16384> Part;
  ssize_t Size = ::recv(Entry.m_Socket, Part.data(), Part.size(), 0);
  if (Size == 0 || (Size < 0 && errno != EAGAIN))
    disconnect(Entry);
}

void ClientCrowd::run() {
  for (Client &Entry : m_Clients)
    connect(Entry);
  while (!m_IsStopping) {
    std::vector<pollfd> Polled;
    for (Client &Entry : m_Clients) {
      if (Entry.m_Socket < 0 && Entry.m_Plan->m_Reconnects)
        connect(Entry);
      const CrowdPlan &Plan = *Entry.m_Plan;
      bool IsSending =
          Entry.m_Sent < Entry.m_Head.size() + Plan.m_RepeatedBytes;
      short Events = 0;
      if (IsSending || (Plan.m_Reads && !Entry.m_HasActed))
        Events |= POLLOUT;
      if (Plan.m_Reads || !Entry.m_HasActed)
        Events |= POLLIN;
      Polled.push_back({Entry.m_Socket, Events, 0});
    }
    ::poll(Polled.data(), Polled.size(), PollMillis);
    for (std::size_t Index = 0; Index < Polled.size(); ++Index) {
      Client &Entry = m_Clients[Index];
      short Events = Polled[Index].revents;
      if (Events & POLLIN)
        receive(Entry);
      else if (Events & (POLLERR | POLLHUP))
        disconnect(Entry);
      if (Entry.m_Socket >= 0 && (Events & POLLOUT))
        send(Entry);
    }
  }
  for (Client &Entry : m_Clients)
    if (Entry.m_Socket >= 0)
      ::close(Entry.m_Socket);
}

} // namespace parsleyring
