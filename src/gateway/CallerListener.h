#ifndef PARSLEYRING_GATEWAY_CALLERLISTENER_H
#define PARSLEYRING_GATEWAY_CALLERLISTENER_H

#include "gateway/CallerConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace parsleyring {

/// Accepts connections on an address and keeps them until they are closed.
class CallerListener {
public:
  /// Throws std::runtime_error if the address cannot be listened on.
  CallerListener(boost::asio::io_context &Loop, const std::string &Address,
                 RequestHandler &Handler);

  void tick(Time Now);
  void closeIdle();
  void close();
  std::size_t size() const { return m_Connections.size(); }
  bool hasRequests() const;

private:
  void accept();

  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_RetryTimer;
  RequestHandler &m_Handler;
  std::list<std::shared_ptr<CallerConnection>> m_Connections;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CALLERLISTENER_H
