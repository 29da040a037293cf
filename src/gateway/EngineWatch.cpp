#include "gateway/EngineWatch.h"

#include "core/SocketAddress.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>

namespace parsleyring {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// As of the probes of CrashDetector.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(220);
// Servers may send an answer, such as 408, before they close an idle
// connection. An engine that sends more than this is disconnected.
static constexpr std::size_t MaxReceivedBytes = 4 << 10;
// Without keep-alive probes, a connection whose engine has vanished without
// closing it, with its host, would stay open for ever.
static constexpr int KeepAliveIdleSeconds = 10;
static constexpr int KeepAliveIntervalSeconds = 5;
static constexpr int KeepAliveProbes = 3;

struct EngineWatch::Connection {
  Connection(asio::io_context &Loop, FleetTable::Handle Engine,
             std::shared_ptr<const void> OpenToken)
      : m_Engine(std::move(Engine)), m_Socket(Loop), m_Timer(Loop),
        m_OpenToken(std::move(OpenToken)) {}

  void close() {
    m_Timer.cancel();
    boost::system::error_code Ignored;
    m_Socket.close(Ignored);
    m_OpenToken.reset();
  }

  const FleetTable::Handle m_Engine;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer; ///< While connecting.
  bool m_IsOpen = false;
  std::shared_ptr<const void> m_OpenToken;
  std::array<char, 512> m_Buffer{};
  std::size_t m_Received = 0;
};

EngineWatch::EngineWatch(asio::io_context &Loop, ConnectionPool &Pool,
                         std::string FailureDomain, std::function<Time()> Now,
                         CrashHandler OnCrash)
    : m_Loop(Loop), m_Pool(Pool), m_FailureDomain(std::move(FailureDomain)),
      m_Now(std::move(Now)), m_OnCrash(std::move(OnCrash)),
      m_ConnectTimer(Loop) {
  m_Pool.setReclaimer([this] { return giveUpOne(); });
}

EngineWatch::~EngineWatch() { m_Pool.setReclaimer(nullptr); }

void EngineWatch::update(const EngineWatchPolicy::Engines &Endpoints,
                         bool IsOn) {
  for (const FleetTable::Handle &Ended :
       m_Policy.update(Endpoints, m_FailureDomain, IsOn, m_Now()))
    close(*Ended);
  connectDue();
}

void EngineWatch::check(const FleetTable::Handle &Engine) {
  m_Policy.check(Engine, m_Now());
  connectDue();
}

void EngineWatch::connectDue() {
  for (const FleetTable::Handle &Engine :
       m_Policy.takeDue(m_Now(), m_Pool.hasRoomForIdle()))
    connect(Engine);
  scheduleConnects();
}

void EngineWatch::scheduleConnects() {
  Time Now = m_Now();
  Time Next = m_Policy.nextDueAt(Now, m_Pool.hasRoomForIdle());
  if (Next == Time::max()) {
    m_ConnectTimer.cancel();
    return;
  }
  m_ConnectTimer.expires_after(std::max(Duration::zero(), Next - Now));
  m_ConnectTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      connectDue();
  });
}

bool EngineWatch::isCurrent(const ConnectionHandle &Given) const {
  auto Found = m_Connections.find(Given->m_Engine.get());
  return Found != m_Connections.end() && Found->second == Given;
}

void EngineWatch::close(const FleetEndpoint &Engine) {
  auto Found = m_Connections.find(&Engine);
  if (Found == m_Connections.end())
    return;
  ConnectionHandle Closed = Found->second;
  m_Connections.erase(Found);
  Closed->close();
}

void EngineWatch::connect(const FleetTable::Handle &Engine) {
  std::optional<SocketAddress> Parsed =
      parseSocketAddress(Engine->m_Entry.m_Address);
  if (!Parsed) {
    m_Policy.noteUnanswered(*Engine, m_Now());
    return;
  }
  auto Opened =
      std::make_shared<Connection>(m_Loop, Engine, m_Pool.openToken());
  m_Connections[Engine.get()] = Opened;
  Opened->m_Timer.expires_after(ConnectTimeout);
  Opened->m_Timer.async_wait([Opened](boost::system::error_code Error) {
    boost::system::error_code Ignored;
    if (!Error)
      Opened->m_Socket.close(Ignored);
  });
  tcp::endpoint Target(asio::ip::make_address(Parsed->m_Host), Parsed->m_Port);
  Opened->m_Socket.async_connect(
      Target, [this, Opened](boost::system::error_code Error) {
        if (isCurrent(Opened))
          handleConnect(Opened, Error);
      });
}

void EngineWatch::handleConnect(const ConnectionHandle &Given,
                                boost::system::error_code Error) {
  FleetTable::Handle Engine = Given->m_Engine;
  Given->m_Timer.cancel();
  if (!Error) {
    if (!m_Policy.noteAccepted(*Engine, m_Now())) {
      close(*Engine);
      return;
    }
    boost::system::error_code Ignored;
    Given->m_Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
    int Socket = Given->m_Socket.native_handle();
    setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleSeconds,
               sizeof(KeepAliveIdleSeconds));
    setsockopt(Socket, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds,
               sizeof(KeepAliveIntervalSeconds));
    setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes,
               sizeof(KeepAliveProbes));
    Given->m_IsOpen = true;
    read(Given);
    return;
  }
  close(*Engine);
  // A reset while connecting is no refusal: the engine had accepted the
  // connection, and closed it before this VM knew.
  bool HasCrashed = false;
  if (Error == asio::error::connection_refused)
    HasCrashed = m_Policy.noteRefused(*Engine, m_Now());
  else
    m_Policy.noteUnanswered(*Engine, m_Now());
  scheduleConnects();
  if (HasCrashed)
    m_OnCrash(Engine);
}

void EngineWatch::read(const ConnectionHandle &Given) {
  Given->m_Socket.async_read_some(
      asio::buffer(Given->m_Buffer),
      [this, Given](boost::system::error_code Error, std::size_t Size) {
        if (isCurrent(Given))
          handleRead(Given, Error, Size);
      });
}

void EngineWatch::handleRead(const ConnectionHandle &Given,
                             boost::system::error_code Error,
                             std::size_t Size) {
  Given->m_Received += Size;
  if (!Error && Given->m_Received <= MaxReceivedBytes) {
    read(Given);
    return;
  }
  FleetTable::Handle Engine = Given->m_Engine;
  close(*Engine);
  // A connection that timed out shows that the engine is cut off, at most.
  bool IsClosedByEngine =
      Error == asio::error::eof || Error == asio::error::connection_reset;
  if (IsClosedByEngine)
    m_Policy.noteClosed(*Engine, m_Now());
  else
    m_Policy.noteGivenUp(*Engine, m_Now());
  scheduleConnects();
}

bool EngineWatch::giveUpOne() {
  auto Open =
      std::find_if(m_Connections.begin(), m_Connections.end(),
                   [](const auto &Entry) { return Entry.second->m_IsOpen; });
  if (Open == m_Connections.end())
    return false;
  FleetTable::Handle Engine = Open->second->m_Engine;
  close(*Engine);
  m_Policy.noteGivenUp(*Engine, m_Now());
  return true;
}

} // namespace parsleyring
