#include "gateway/CallerListener.h"

#include "core/ScopeGuard.h"
#include "core/SocketAddress.h"

#include <stdexcept>

namespace parsleyring {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

static constexpr int Backlog = 1024;
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

CallerListener::CallerListener(asio::io_context &Loop,
                               const std::string &Address,
                               RequestHandler &Handler,
                               std::size_t MaxConnections)
    : m_Acceptor(Loop), m_RetryTimer(Loop), m_Handler(Handler),
      m_Limit(MaxConnections) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(Address);
  if (!Parsed)
    throw std::runtime_error("cannot listen on \"" + Address +
                             "\": not an IP address with a port");
  tcp::endpoint Local(asio::ip::make_address(Parsed->m_Host), Parsed->m_Port);
  try {
    m_Acceptor.open(Local.protocol());
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_Acceptor.bind(Local);
    m_Acceptor.listen(Backlog);
  } catch (const boost::system::system_error &Error) {
    throw std::runtime_error("cannot listen on " + Address + ": " +
                             Error.what());
  }
  accept();
}

void CallerListener::accept() {
  m_Acceptor.async_accept(
      m_Peer, [this](boost::system::error_code Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (Error) {
          // If the process has run out of file descriptors, an immediate retry
          // would fail again.
          m_RetryTimer.expires_after(AcceptRetryDelay);
          m_RetryTimer.async_wait([this](boost::system::error_code Cancelled) {
            if (!Cancelled)
              accept();
          });
          return;
        }
        ScopeGuard AcceptNext([this] { accept(); });
        add(std::move(Socket));
      });
}

void CallerListener::add(tcp::socket Socket) {
  std::string Address = m_Peer.address().to_string();
  auto Connection =
      std::make_shared<CallerConnection>(std::move(Socket), Address, m_Handler);
  ConnectionNumber Number = m_Limit.add(Address, m_Handler.now());
  m_Connections[Number] = Connection;
  Connection->onActivity([this, Number](const CallerConnection &Changed) {
    noteActivity(Number, Changed);
  });
  Connection->start();
  closeExcess();
}

void CallerListener::noteActivity(ConnectionNumber Number,
                                  const CallerConnection &Connection) {
  if (Connection.isClosed()) {
    m_Limit.remove(Number);
    m_Closed.push_back(Number);
    return;
  }
  m_Limit.setActivity(Number, Connection.activity(), Connection.activeAt());
}

void CallerListener::remove(ConnectionNumber Number) {
  m_Limit.remove(Number);
  m_Connections.erase(Number);
}

void CallerListener::closeExcess() {
  for (ConnectionNumber Number : m_Closed)
    m_Connections.erase(Number);
  m_Closed.clear();
  auto CurrentState = [this](ConnectionNumber Number) {
    const CallerConnection &Connection = *m_Connections.at(Number);
    return ConnectionLimit::State{Connection.activity(), Connection.activeAt()};
  };
  while (auto Excess = m_Limit.confirmedExcess(CurrentState)) {
    auto Connection = m_Connections.at(*Excess);
    Connection->closeForLimit();
    remove(*Excess);
  }
}

void CallerListener::tick(Time Now) {
  for (auto Entry = m_Connections.begin(); Entry != m_Connections.end();) {
    ConnectionNumber Number = Entry->first;
    auto Connection = (Entry++)->second;
    Connection->tick(Now);
    if (Connection->isClosed())
      remove(Number);
  }
  m_Closed.clear();
}

void CallerListener::closeIdle() {
  for (const auto &[Number, Connection] : m_Connections)
    Connection->closeIfIdle();
}

void CallerListener::refuseReceipts(ReceiptRefusal Cause) {
  for (const auto &[Number, Connection] : m_Connections)
    Connection->refuseReceipt(Cause);
}

void CallerListener::close() {
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
}

bool CallerListener::hasRequests() const {
  for (const auto &[Number, Connection] : m_Connections)
    if (!Connection->isClosed() && !Connection->isIdle())
      return true;
  return false;
}

} // namespace parsleyring
