#ifndef PARSLEYRING_STORE_STORECLIENT_H
#define PARSLEYRING_STORE_STORECLIENT_H

#include "gateway/ChannelPool.h"
#include "gateway/NodeMetrics.h"
#include "store/StoreProtocol.h"

#include <functional>

namespace parsleyring {

/// The answer to a call: its status, or the way in which the call failed.
struct StoreReply {
  ExchangeEnd m_End = ExchangeEnd::Closed;
  unsigned m_Status = 0; ///< 0 if there was no whole answer.
  std::string m_Body;

  bool isOk() const { return m_Status == 200; }
};

/// Makes calls to the store on the event loop. Each call ends with one reply.
class StoreClient {
public:
  using Handler = std::function<void(const StoreReply &)>;

  StoreClient(boost::asio::io_context &Loop, std::function<Time()> Now,
              NodeMetrics &Metrics)
      : m_Loop(Loop), m_Now(std::move(Now)), m_Metrics(Metrics), m_Pool(Loop) {}

  /// Calls Address; Limit bounds the whole call.
  void call(const std::string &Address, const StoreCall &Call, Duration Limit,
            Handler OnReply);
  void expireChannels(Time Now) { m_Pool.expire(Now); }

private:
  boost::asio::io_context &m_Loop;
  std::function<Time()> m_Now;
  NodeMetrics &m_Metrics;
  ChannelPool m_Pool;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STORECLIENT_H
