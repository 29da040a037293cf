#ifndef PARSLEYRING_GATEWAY_CONNECTIONPOOL_H
#define PARSLEYRING_GATEWAY_CONNECTIONPOOL_H

#include "gateway/HttpConnection.h"

#include <unordered_map>
#include <vector>

namespace parsleyring {

/// Keeps idle connections to servers for reuse.
class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::io_context &Loop) : m_Loop(Loop) {}

  /// The most recently used connection if it has been idle for at most MaxIdle,
  /// or a new one that is not connected yet.
  std::shared_ptr<HttpConnection> take(const std::string &Address,
                                       Duration MaxIdle, Time Now);
  /// Keeps the connection if its last exchange left it reusable.
  void give(const std::shared_ptr<HttpConnection> &Channel, Time Now);
  /// Closes the connections whose idle timeout has passed.
  void expire(Time Now);
  std::size_t size() const;

private:
  struct Idle {
    std::shared_ptr<HttpConnection> m_Channel;
    Time m_Since;
    Time m_Until;
  };

  void forget(const HttpConnection *Channel, const std::string &Address);

  boost::asio::io_context &m_Loop;
  std::unordered_map<std::string, std::vector<Idle>> m_Idle;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CONNECTIONPOOL_H
