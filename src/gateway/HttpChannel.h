#ifndef PARSLEYRING_GATEWAY_HTTPCHANNEL_H
#define PARSLEYRING_GATEWAY_HTTPCHANNEL_H

#include "parsleyring/Types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleyring {

/// How an exchange on a channel ended.
enum class ExchangeEnd {
  Complete,
  ConnectFailed, ///< Nothing was sent.
  Closed,        ///< The other side closed or reset the connection.
  Malformed,     ///< The bytes received are no response.
  TimedOut,
};
std::string_view name(ExchangeEnd Value);

/// Status line and header fields of a response.
struct ResponseHead {
  unsigned m_Status = 0;
  boost::beast::http::fields m_Fields;

  std::string field(const std::string &Name) const {
    auto Value = m_Fields[Name];
    return std::string(Value.data(), Value.size());
  }
  bool has(const std::string &Name) const {
    return m_Fields.find(Name) != m_Fields.end();
  }
};

/// What the user of a channel is told. OnEnd is called once, and nothing after
/// it; close() ends the exchange without a call.
struct ExchangeHandlers {
  std::function<void(const ResponseHead &)> m_OnHead;
  std::function<void(std::string_view)> m_OnBody;
  std::function<void(ExchangeEnd)> m_OnEnd;
};

/// One HTTP/1.1 connection to a server. Runs one exchange at a time, on the
/// event loop.
class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
public:
  HttpChannel(boost::asio::io_context &Loop, std::string Address);

  /// Sends the bytes of a request, connecting first if needed. The channel
  /// lives until the exchange has ended.
  void send(std::string Bytes, Duration ConnectTimeout,
            ExchangeHandlers Handlers);
  /// Waits for another response on the connection, after one that did not
  /// belong to the request.
  void receiveAnother(ExchangeHandlers Handlers);
  void close();
  void pauseReading() { m_IsPaused = true; }
  void resumeReading();

  const std::string &address() const { return m_Address; }
  bool isConnected() const { return m_IsConnected; }
  /// True if nothing of the request has been written.
  bool isUnsent() const { return !m_HasWritten; }
  /// True after an exchange whose response left the connection usable.
  bool isReusable() const { return m_IsReusable; }
  /// True if more has been received than the last response.
  bool hasBufferedBytes() const { return m_Buffer.size() > 0; }
  /// How long the server keeps the connection open while it is idle.
  std::optional<Duration> idleTimeout() const { return m_IdleTimeout; }
  /// Calls OnEnded as soon as the idle connection is closed by the server or
  /// receives bytes that belong to no request.
  void watchIdle(std::function<void()> OnEnded);
  /// Ends the watch; false if the connection is not usable any more.
  bool takeFromIdle();

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void beginExchange(ExchangeHandlers Handlers);
  void connect(Duration Timeout);
  void write();
  void read();
  void parse(boost::beast::error_code ReadError);
  void deliver();
  void finish(ExchangeEnd End);
  void noteReuse();

  boost::asio::io_context &m_Loop;
  const std::string m_Address;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_ConnectTimer;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::string m_Output;
  ExchangeHandlers m_Handlers;
  std::function<void()> m_OnIdleEnded;
  std::optional<Duration> m_IdleTimeout;
  bool m_IsConnected = false;
  bool m_IsClosed = false;
  bool m_IsRunning = false;
  bool m_HasWritten = false;
  bool m_IsWriting = false;
  bool m_IsHeadDelivered = false;
  bool m_IsPaused = false;
  bool m_IsReading = false;
  bool m_IsReusable = false;
  std::uint64_t m_IdleWatch = 0; ///< Number of the watch in progress.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_HTTPCHANNEL_H
