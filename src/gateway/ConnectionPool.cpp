#include "gateway/ConnectionPool.h"

#include <algorithm>

namespace parsleyring {

// Idle timeout of a connection whose server states none.
static constexpr Duration DefaultIdleTimeout = std::chrono::seconds(4);
// Further idle connections to the same address are closed.
static constexpr std::size_t MaxIdlePerAddress = 16;

static bool contains(const ConnectionPool::ConnectionList &List,
                     const std::shared_ptr<HttpConnection> &Connection) {
  return std::any_of(List.begin(), List.end(),
                     [&](const std::weak_ptr<HttpConnection> &Entry) {
                       return Entry.lock() == Connection;
                     });
}

std::shared_ptr<HttpConnection>
ConnectionPool::acquire(const std::string &Address, Duration MaxIdle, Time Now,
                        const ConnectionList &Excluded) {
  std::vector<IdleConnection> &Connections = m_Idle[Address];
  for (std::size_t Index = Connections.size(); Index-- > 0;) {
    IdleConnection Newest = Connections[Index];
    if (Now - Newest.m_IdleSince > MaxIdle)
      break;
    if (contains(Excluded, Newest.m_Connection))
      continue;
    Connections.erase(Connections.begin() + Index);
    if (Now < Newest.m_ExpiresAt && Newest.m_Connection->tryReuse())
      return Newest.m_Connection;
    Newest.m_Connection->close();
  }
  auto Connection =
      std::make_shared<HttpConnection>(m_Loop, Address, m_OpenToken, m_Memory);
  closeExcess();
  return Connection;
}

void ConnectionPool::release(const std::shared_ptr<HttpConnection> &Connection,
                             Time Now) {
  if (!Connection->isReusable())
    return;
  // Bytes after a response belong to no request and make it unusable.
  if (Connection->hasBufferedBytes()) {
    Connection->close();
    return;
  }
  std::vector<IdleConnection> &Connections = m_Idle[Connection->address()];
  if (Connections.size() >= MaxIdlePerAddress) {
    Connection->close();
    return;
  }
  Connections.push_back(
      {Connection, Now,
       Now + Connection->idleTimeout().value_or(DefaultIdleTimeout)});
  HttpConnection *WatchedConnection = Connection.get();
  Connection->watchIdle(
      [this, WatchedConnection, Address = Connection->address()] {
        removeIdle(WatchedConnection, Address);
      });
  closeExcess();
}

// Closes the connection that has been idle for longest; false if none is idle.
bool ConnectionPool::closeOldest() {
  // Those of an address are in the order in which they became idle.
  std::vector<IdleConnection> *Oldest = nullptr;
  for (auto &[Address, Connections] : m_Idle)
    if (!Connections.empty() && (!Oldest || Connections.front().m_IdleSince <
                                                Oldest->front().m_IdleSince))
      Oldest = &Connections;
  if (!Oldest)
    return false;
  std::shared_ptr<HttpConnection> Closed = Oldest->front().m_Connection;
  Oldest->erase(Oldest->begin());
  Closed->close();
  return true;
}

void ConnectionPool::closeExcess() {
  while (open() > m_MaxOpen &&
         ((m_CloseOther && m_CloseOther()) || closeOldest()))
    continue;
}

void ConnectionPool::removeIdle(const HttpConnection *Connection,
                                const std::string &Address) {
  std::vector<IdleConnection> &Connections = m_Idle[Address];
  Connections.erase(std::remove_if(Connections.begin(), Connections.end(),
                                   [Connection](const IdleConnection &Entry) {
                                     return Entry.m_Connection.get() ==
                                            Connection;
                                   }),
                    Connections.end());
}

void ConnectionPool::expire(Time Now) {
  for (auto Entry = m_Idle.begin(); Entry != m_Idle.end();) {
    std::vector<IdleConnection> &Connections = Entry->second;
    for (IdleConnection &Candidate : Connections)
      if (Now >= Candidate.m_ExpiresAt)
        Candidate.m_Connection->close();
    Connections.erase(std::remove_if(Connections.begin(), Connections.end(),
                                     [Now](const IdleConnection &Candidate) {
                                       return Now >= Candidate.m_ExpiresAt;
                                     }),
                      Connections.end());
    Entry = Connections.empty() ? m_Idle.erase(Entry) : std::next(Entry);
  }
}

std::size_t ConnectionPool::size() const {
  std::size_t Sum = 0;
  for (const auto &[Address, Connections] : m_Idle)
    Sum += Connections.size();
  return Sum;
}

} // namespace parsleyring
