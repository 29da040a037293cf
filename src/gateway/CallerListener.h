#ifndef PARSLEYRING_GATEWAY_CALLERLISTENER_H
#define PARSLEYRING_GATEWAY_CALLERLISTENER_H

#include "gateway/CallerConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <vector>

namespace parsleyring {

/// Accepts connections on an address and keeps them until they are closed.
class CallerListener {
public:
  /// Throws std::runtime_error if the address cannot be listened on.
  CallerListener(boost::asio::io_context &Loop, const std::string &Address,
                 RequestHandler &Handler, std::size_t MaxConnections);

  void tick(Time Now);
  void closeIdle();
  /// Refuses the requests that are being received.
  void refuseReceipts(ReceiptRefusal Cause);
  void close();
  std::size_t size() const { return m_Connections.size(); }
  bool hasRequests() const;

private:
  void accept();
  void add(boost::asio::ip::tcp::socket Socket);
  void noteActivity(ConnectionNumber Number,
                    const CallerConnection &Connection);
  void closeExcess();
  void remove(ConnectionNumber Number);

  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::ip::tcp::endpoint m_Peer; ///< Of the next connection.
  boost::asio::steady_timer m_RetryTimer;
  RequestHandler &m_Handler;
  ConnectionLimit m_Limit;
  std::map<ConnectionNumber, std::shared_ptr<CallerConnection>> m_Connections;
  /// Closed, but still in m_Connections, which may be traversed at the close.
  std::vector<ConnectionNumber> m_Closed;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CALLERLISTENER_H
