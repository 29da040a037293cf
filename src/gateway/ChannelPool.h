#ifndef PARSLEYRING_GATEWAY_CHANNELPOOL_H
#define PARSLEYRING_GATEWAY_CHANNELPOOL_H

#include "gateway/HttpChannel.h"

#include <unordered_map>
#include <vector>

namespace parsleyring {

/// Keeps idle connections to endpoints for further requests.
class ChannelPool {
public:
  explicit ChannelPool(boost::asio::io_context &Loop) : m_Loop(Loop) {}

  /// The connection that was used last, or a new one that is not connected.
  /// MaxIdle bounds how long it has been idle.
  std::shared_ptr<HttpChannel> take(const std::string &Address,
                                    Duration MaxIdle, Time Now);
  /// Keeps the channel if its last exchange left it usable.
  void give(const std::shared_ptr<HttpChannel> &Channel, Time Now);
  /// Closes the connections whose idle time is over.
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
