#include "emulator/TcpProxy.h"

#include "emulator/HttpServer.h"
#include "emulator/SocketOwner.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace parsleyring {

static constexpr std::size_t ChunkBytes = 16 << 10;
// Reading pauses at this queue length, so that a slow link exerts
// backpressure on the sender.
static constexpr std::size_t MaxQueuedChunks = 64;
static constexpr std::uint64_t Unlimited =
    std::numeric_limits<std::uint64_t>::max();
static constexpr int ListenBacklog = 512;
// Longest time until changed faults take effect.
static constexpr std::chrono::milliseconds CheckInterval{10};

static sockaddr_in socketAddress(const std::string &Host, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (inet_pton(AF_INET, Host.c_str(), &Address.sin_addr) != 1)
    throw std::invalid_argument("\"" + Host + "\" is not an IPv4 address");
  return Address;
}

static int openSocket() {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw std::runtime_error("cannot open a socket");
  return Socket;
}

static int bindSocket(const std::string &Host, int Port) {
  int Socket = openSocket();
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = socketAddress(Host, Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0)
    throw std::runtime_error("cannot bind port " + std::to_string(Port));
  return Socket;
}

TcpProxy::TcpProxy(const std::string &Listen, const std::string &To) {
  std::tie(m_Host, m_Port) = splitAddress(Listen);
  std::tie(m_ToHost, m_ToPort) = splitAddress(To);
  m_PortReservation = bindSocket(m_Host, m_Port);
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(m_PortReservation, reinterpret_cast<sockaddr *>(&Address), &Size);
  m_Port = ntohs(Address.sin_port);
  openListener();
}

TcpProxy::~TcpProxy() {
  for (Connection &Link : m_Connections)
    closeConnection(Link);
  if (m_Listener >= 0)
    close(m_Listener);
  close(m_PortReservation);
}

std::string TcpProxy::address() const {
  return m_Host + ":" + std::to_string(m_Port);
}

TcpProxy::Faults TcpProxy::faults() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Faults;
}

void TcpProxy::setFaults(const Faults &Value) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Faults = Value;
  m_HasNewFaults = true;
}

void TcpProxy::setReplacement(const Replacement &Value) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Replacement = Value;
}

void TcpProxy::freezeConnections() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsFreezeRequested = true;
}

void TcpProxy::openListener() {
  m_Listener = bindSocket(m_Host, m_Port);
  if (listen(m_Listener, ListenBacklog) != 0)
    throw std::runtime_error("cannot listen on " + address());
}

void TcpProxy::run() {
  for (;;) {
    Clock::time_point Now = Clock::now();
    waitForWork(Now);
    updateActiveFaults();
    openOrCloseListener();
    if (m_Listener >= 0)
      acceptConnections();
    Now = Clock::now();
    for (auto Link = m_Connections.begin(); Link != m_Connections.end();) {
      if (m_IsFreezing && hasFaults(*Link))
        Link->m_IsFrozen = true;
      if (m_ActiveFaults.m_IsCut && hasFaults(*Link))
        Link->m_IsBroken = true;
      else if (!Link->m_IsFrozen && !Link->m_IsBroken)
        transferBytes(*Link, Now);
      if (Link->m_IsBroken) {
        closeConnection(*Link);
        Link = m_Connections.erase(Link);
      } else {
        ++Link;
      }
    }
  }
}

void TcpProxy::updateActiveFaults() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (std::exchange(m_HasNewFaults, false))
    for (Connection &Link : m_Connections)
      Link.m_HasFaults.reset();
  m_ActiveFaults = m_Faults;
  m_ActiveReplacement = m_Replacement;
  m_IsFreezing = std::exchange(m_IsFreezeRequested, false);
}

void TcpProxy::openOrCloseListener() {
  bool IsRefusing =
      m_ActiveFaults.m_IsCut && m_ActiveFaults.m_Processes.empty();
  if (IsRefusing && m_Listener >= 0) {
    close(m_Listener);
    m_Listener = -1;
  } else if (!IsRefusing && m_Listener < 0) {
    openListener();
  }
}

bool TcpProxy::hasFaults(Connection &Link) const {
  if (m_ActiveFaults.m_Processes.empty())
    return true;
  if (!Link.m_HasFaults)
    Link.m_HasFaults =
        ownsConnection(m_ActiveFaults.m_Processes, Link.m_ClientPort, m_Port);
  return *Link.m_HasFaults;
}

void TcpProxy::acceptConnections() {
  for (;;) {
    sockaddr_in Peer{};
    socklen_t Size = sizeof(Peer);
    int Client = accept4(m_Listener, reinterpret_cast<sockaddr *>(&Peer), &Size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Client < 0)
      return;
    int Server = openSocket();
    int On = 1;
    for (int Socket : {Client, Server})
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    sockaddr_in Address = socketAddress(m_ToHost, m_ToPort);
    int Result = connect(Server, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
    Connection Link;
    Link.m_ClientPort = ntohs(Peer.sin_port);
    Link.m_IsBroken = Result != 0 && errno != EINPROGRESS;
    Link.m_ToServer.m_From = Link.m_ToClient.m_To = Client;
    Link.m_ToServer.m_To = Link.m_ToClient.m_From = Server;
    m_Connections.push_back(std::move(Link));
  }
}

void TcpProxy::addPolls(std::vector<pollfd> &Polls, Clock::time_point Now,
                        Clock::time_point &Next) const {
  for (const Connection &Link : m_Connections) {
    if (Link.m_IsFrozen)
      continue;
    auto AddPoll = [&](const OneWayStream &Stream,
                       Clock::time_point SendAllowedAt) {
      if (!Stream.m_HasEnded && Stream.m_Chunks.size() < MaxQueuedChunks)
        Polls.push_back({Stream.m_From, POLLIN, 0});
      if (Stream.m_Chunks.empty())
        return;
      Clock::time_point DueAt =
          std::max(Stream.m_Chunks.front().m_DueAt, SendAllowedAt);
      if (DueAt > Now)
        Next = std::min(Next, DueAt);
      else
        Polls.push_back({Stream.m_To, POLLOUT, 0});
    };
    AddPoll(Link.m_ToServer, m_ToServerAllowedAt);
    AddPoll(Link.m_ToClient, m_ToClientAllowedAt);
  }
}

void TcpProxy::waitForWork(Clock::time_point Now) const {
  std::vector<pollfd> Polls;
  Clock::time_point Next = Now + CheckInterval;
  if (m_Listener >= 0)
    Polls.push_back({m_Listener, POLLIN, 0});
  addPolls(Polls, Now, Next);
  auto Wait = std::chrono::nanoseconds(Next - Now).count();
  timespec Limit{0, Wait};
  ppoll(Polls.data(), Polls.size(), &Limit, nullptr);
}

void TcpProxy::transferBytes(Connection &Link, Clock::time_point Now) {
  const Faults Active = hasFaults(Link) ? m_ActiveFaults : Faults();
  bool IsSuccessful =
      receive(Link.m_ToServer, Active.m_LosesToServer, Active,
              m_ActiveReplacement, Now) &&
      receive(Link.m_ToClient, Active.m_LosesToClient, Active, {}, Now) &&
      sendDueChunks(Link.m_ToServer, Unlimited, Active, Now,
                    m_ToServerAllowedAt) &&
      sendDueChunks(Link.m_ToClient, Active.m_MaxBytesToClient, Active, Now,
                    m_ToClientAllowedAt);
  bool IsOver =
      Link.m_ToServer.m_IsEndForwarded && Link.m_ToClient.m_IsEndForwarded;
  Link.m_IsBroken = !IsSuccessful || IsOver;
}

// Relies on senders that write each small message at once: a text that was
// split between two reads would not be found.
static void replaceText(std::string &Bytes, const std::string &From,
                        const std::string &To) {
  if (From.empty())
    return;
  for (std::size_t At = Bytes.find(From); At != std::string::npos;
       At = Bytes.find(From, At + To.size()))
    Bytes.replace(At, From.size(), To);
}

bool TcpProxy::receive(OneWayStream &Stream, bool IsDiscarding,
                       const Faults &Active, const Replacement &Replaced,
                       Clock::time_point Now) {
  Clock::time_point DueAt =
      Now + std::chrono::milliseconds(Active.m_DelayMillis);
  while (!Stream.m_HasEnded && Stream.m_Chunks.size() < MaxQueuedChunks) {
    std::string Bytes(ChunkBytes, '\0');
    ssize_t Count = recv(Stream.m_From, Bytes.data(), Bytes.size(), 0);
    if (Count < 0)
      return noteError(Stream, errno);
    Stream.m_HasLostBytes |= IsDiscarding;
    if (Stream.m_HasLostBytes)
      Bytes.clear();
    else
      Bytes.resize(static_cast<std::size_t>(Count));
    replaceText(Bytes, Replaced.m_From, Replaced.m_To);
    Stream.m_HasEnded = Count == 0;
    if (!Bytes.empty())
      Stream.m_Chunks.push_back({DueAt, std::move(Bytes)});
  }
  return true;
}

bool TcpProxy::sendDueChunks(OneWayStream &Stream, std::uint64_t Limit,
                             const Faults &Active, Clock::time_point Now,
                             Clock::time_point &SendAllowedAt) {
  while (!Stream.m_Chunks.empty() && Stream.m_Chunks.front().m_DueAt <= Now &&
         SendAllowedAt <= Now) {
    std::string &Bytes = Stream.m_Chunks.front().m_Bytes;
    std::size_t Size = Bytes.size();
    Size = std::min<std::uint64_t>(Size, Limit - Stream.m_SentBytes);
    if (Size == 0)
      return false;
    ssize_t Count = send(Stream.m_To, Bytes.data(), Size, MSG_NOSIGNAL);
    if (Count < 0)
      return noteError(Stream, errno);
    Stream.m_SentBytes += static_cast<std::uint64_t>(Count);
    if (Active.m_BytesPerSecond > 0)
      SendAllowedAt = std::max(SendAllowedAt, Now - CheckInterval) +
                      std::chrono::nanoseconds(Count * 1000000000 /
                                               Active.m_BytesPerSecond);
    Bytes.erase(0, static_cast<std::size_t>(Count));
    if (!Bytes.empty())
      return true;
    Stream.m_Chunks.pop_front();
  }
  // After lost bytes, the end of the stream is not forwarded either.
  if (Stream.m_HasEnded && Stream.m_Chunks.empty() &&
      !Stream.m_IsEndForwarded && !Stream.m_HasLostBytes) {
    shutdown(Stream.m_To, SHUT_WR);
    Stream.m_IsEndForwarded = true;
  }
  return true;
}

bool TcpProxy::noteError(OneWayStream &Stream, int Error) {
  Stream.m_HasFailed = Error != EAGAIN && Error != EINTR;
  return !Stream.m_HasFailed;
}

void TcpProxy::closeConnection(Connection &Link) {
  if (Link.m_ToServer.m_HasFailed || Link.m_ToClient.m_HasFailed) {
    linger Abort{1, 0};
    for (int Socket : {Link.m_ToServer.m_From, Link.m_ToServer.m_To})
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  }
  close(Link.m_ToServer.m_From);
  close(Link.m_ToServer.m_To);
}

} // namespace parsleyring
