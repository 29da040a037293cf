#ifndef PARSLEYRING_GATEWAY_HTTPCLIENT_H
#define PARSLEYRING_GATEWAY_HTTPCLIENT_H

#include "gateway/ConnectionPool.h"

#include <functional>
#include <string>

namespace parsleyring {

/// The response to an HttpCall, or how the call failed.
struct CallReply {
  ExchangeEnd m_End = ExchangeEnd::Closed;
  unsigned m_Status = 0; ///< 0 if no complete response arrived.
  std::string m_Finding; ///< What is wrong with a malformed response.
  ResponseHead m_Head;
  std::string m_Body;

  bool isOk() const { return m_Status == 200; }
};

/// A short HTTP request whose response body is collected in memory.
struct HttpCall {
  std::string m_Address; ///< IP:port
  std::string m_Method;
  std::string m_Target;
  std::string m_Body; ///< JSON
  std::vector<std::pair<std::string, std::string>> m_Fields;
  Duration m_Timeout{}; ///< For connecting, sending and the response.
};

/// Makes HTTP calls on the event loop; each call invokes its handler once. The
/// connection of a failed call is closed, since the response may arrive late.
class HttpClient {
public:
  using Handler = std::function<void(const CallReply &)>;

  HttpClient(boost::asio::io_context &Loop, ConnectionPool &Pool,
             std::function<Time()> Now)
      : m_Loop(Loop), m_ConnectionPool(Pool), m_Now(std::move(Now)) {}

  void call(const HttpCall &Call, Handler OnReply);
  Time now() const { return m_Now(); }

private:
  struct PendingCall;

  void finish(PendingCall &Pending, ExchangeEnd End);

  boost::asio::io_context &m_Loop;
  ConnectionPool &m_ConnectionPool;
  std::function<Time()> m_Now;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_HTTPCLIENT_H
