#ifndef PARSLEYRING_GATEWAY_CHANNELPOOL_H
#define PARSLEYRING_GATEWAY_CHANNELPOOL_H

#include "gateway/HttpChannel.h"

#include <unordered_map>
#include <vector>

namespace parsleyring {

/// Keeps idle connections to servers for reuse.
class ChannelPool {
public:
  explicit ChannelPool(boost::asio::io_context &Loop) : m_Loop(Loop) {}

  /// The most recently used connection if it has been idle for at most MaxIdle,
  /// or a new one that is not connected yet.
  std::shared_ptr<HttpChannel> take(const std::string &Address,
                                    Duration MaxIdle, Time Now);
  /// Keeps the connection if its last exchange left it reusable.
  void give(const std::shared_ptr<HttpChannel> &Channel, Time Now);
  /// Closes the connections whose idle timeout has passed.
  void expire(Time Now);
  std::size_t size() const;

private:
  struct Idle {
    std::shared_ptr<HttpChannel> m_Channel;
    Time m_Since;
    Time m_Until;
  };

  void forget(const HttpChannel *Channel, const std::string &Address);

  boost::asio::io_context &m_Loop;
  std::unordered_map<std::string, std::vector<Idle>> m_Idle;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CHANNELPOOL_H
