#ifndef PARSLEYRING_GATEWAY_CONNECTIONPOOL_H
#define PARSLEYRING_GATEWAY_CONNECTIONPOOL_H

#include "gateway/HttpConnection.h"

#include <functional>
#include <limits>
#include <unordered_map>
#include <vector>

namespace parsleyring {

/// Keeps idle connections to servers for reuse.
class ConnectionPool {
public:
  /// The read buffers of its connections are counted in Memory, if any, which
  /// must outlive them.
  explicit ConnectionPool(boost::asio::io_context &Loop,
                          MemoryBudget *Memory = nullptr)
      : m_Loop(Loop), m_Memory(Memory) {}

  using ConnectionList = std::vector<std::weak_ptr<HttpConnection>>;

  /// The most recently used connection that has been idle for at most MaxIdle
  /// and is not in Excluded, or a new one that is not connected yet.
  std::shared_ptr<HttpConnection> acquire(const std::string &Address,
                                          Duration MaxIdle, Time Now,
                                          const ConnectionList &Excluded = {});
  /// Keeps the connection if its last exchange left it reusable.
  void release(const std::shared_ptr<HttpConnection> &Connection, Time Now);
  /// Closes the connections whose idle timeout has passed.
  void expire(Time Now);
  std::size_t size() const;
  /// Number of open connections that count, idle or in use.
  std::size_t open() const { return m_OpenToken.use_count() - 1; }
  /// While more than this are open, idle ones are closed, beginning with the
  /// one that has been idle for longest.
  void setMaxOpen(std::size_t Connections) { m_MaxOpen = Connections; }
  /// Held by an open connection that is not from this pool, but counts as one.
  std::shared_ptr<const void> openToken() const { return m_OpenToken; }
  /// CloseOne is called before idle connections are closed; it closes one of
  /// those outside the pool, or returns false if there is none.
  void setReclaimer(std::function<bool()> CloseOne) {
    m_CloseOther = std::move(CloseOne);
  }
  /// True if connections may be opened that no request needs: an eighth of the
  /// maximum is left.
  bool hasRoomForIdle() const { return open() < m_MaxOpen - m_MaxOpen / 8; }

private:
  struct IdleConnection {
    std::shared_ptr<HttpConnection> m_Connection;
    Time m_IdleSince;
    Time m_ExpiresAt;
  };

  void removeIdle(const HttpConnection *Connection, const std::string &Address);
  bool closeOldest();
  void closeExcess();

  boost::asio::io_context &m_Loop;
  MemoryBudget *const m_Memory;
  /// Each open connection holds a reference to it until it closes, so the
  /// number of references counts them.
  std::shared_ptr<const void> m_OpenToken = std::make_shared<char>();
  std::size_t m_MaxOpen = std::numeric_limits<std::size_t>::max();
  std::function<bool()> m_CloseOther;
  std::unordered_map<std::string, std::vector<IdleConnection>> m_Idle;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CONNECTIONPOOL_H
