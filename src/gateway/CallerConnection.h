#ifndef PARSLEYRING_GATEWAY_CALLERCONNECTION_H
#define PARSLEYRING_GATEWAY_CALLERCONNECTION_H

#include "fleet/RouteTable.h"
#include "parsleyring/Types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleyring {

/// A complete request as received from a caller.
struct CallerRequest {
  std::string m_Method;
  std::string m_Target;
  boost::beast::http::fields m_Fields;
  std::string m_Body;
  Time m_ReceivedAt{};

  std::string field(const std::string &Name) const {
    auto Value = m_Fields[Name];
    return std::string(Value.data(), Value.size());
  }
};

/// Header fields of an answer, in the order in which they are sent.
using AnswerFields = std::vector<std::pair<std::string, std::string>>;

class CallerConnection;

/// Answers the requests that a CallerConnection receives.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;
  virtual Time now() const = 0;
  virtual const CallerLimits &limits() const = 0;
  /// True if connections close after the answer in progress.
  virtual bool isStopping() const = 0;
  /// Must eventually answer on the connection exactly once, or abort() it.
  virtual void
  handleRequest(CallerRequest Request,
                const std::shared_ptr<CallerConnection> &Connection) = 0;
  /// Reports a request that could not be parsed; the connection answers it.
  virtual void handleMalformed(unsigned Status, const std::string &Reason) = 0;
};

/// One connection of a caller. Reads one request at a time and writes its
/// answer; detects a caller that disconnects during a request.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(boost::asio::ip::tcp::socket Socket,
                   RequestHandler &Handler);

  void start();
  /// Applies the timeouts for idle connections and for receiving a request;
  /// CallerListener calls it periodically.
  void tick(Time Now);

  // Answers the request in progress: at once, or in parts (chunked).
  void answer(unsigned Status, const AnswerFields &Fields,
              const std::string &Body);
  void beginAnswer(unsigned Status, const AnswerFields &Fields);
  void appendAnswer(std::string_view Bytes);
  void endAnswer();
  /// Closes the connection, so that the caller sees that an answer in progress
  /// is incomplete.
  void abort();

  /// Handler is called once if the caller disconnects before the answer ends.
  void onDisconnect(std::function<void()> Handler) {
    m_OnDisconnect = std::move(Handler);
  }
  bool isClosed() const { return m_IsClosed; }
  bool isIdle() const { return !m_IsAnswering && !m_IsReceiving; }
  std::size_t unsentBytes() const {
    return m_Output.size() + m_BeingWritten.size();
  }
  /// Closes the connection if no request is in progress.
  void closeIfIdle();

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void prepareParser();
  void read();
  void parse();
  void dispatch();
  void reject(unsigned Status, const std::string &Reason);
  /// Ends the request in progress, which may have run, with a failure.
  void failRequest();
  void flush();
  /// Begins the head of an answer in m_Output; the caller of this function adds
  /// the framing fields.
  void appendHead(unsigned Status, const AnswerFields &Fields);
  void finishAnswer();
  void lingerClose();
  void close();

  boost::asio::ip::tcp::socket m_Socket;
  RequestHandler &m_Handler;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::function<void()> m_OnDisconnect;
  std::string m_Output;       ///< Waits until m_BeingWritten has been sent.
  std::string m_BeingWritten; ///< Being written to the socket.
  Time m_StateSince{};        ///< Start of the current state.
  Time m_LastReadAt{};
  /// The idle timeout that was in force when the caller was told of it.
  Duration m_AnnouncedIdleTimeout{};
  bool m_IsReading = false;
  bool m_IsReceiving = false; ///< Part of a request has been read.
  bool m_IsAnswering = false;
  bool m_IsChunked = false;
  bool m_KeepsAlive = true;
  bool m_ClosesAfterWrite = false;
  bool m_IsLingering = false;
  bool m_IsClosed = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CALLERCONNECTION_H
