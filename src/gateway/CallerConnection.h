#ifndef PARSLEYRING_GATEWAY_CALLERCONNECTION_H
#define PARSLEYRING_GATEWAY_CALLERCONNECTION_H

#include "admission/ConnectionLimit.h"
#include "admission/MemoryBudget.h"
#include "admission/MemoryWaitQueue.h"
#include "fleet/RouteTable.h"
#include "gateway/ReceivedBody.h"
#include "parsleyring/Types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

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
  /// Of the head and the body, until the request has ended.
  std::shared_ptr<MemoryReservation> m_HeadMemory;
  std::shared_ptr<MemoryReservation> m_BodyMemory;

  std::string field(const std::string &Name) const {
    auto Value = m_Fields[Name];
    return std::string(Value.data(), Value.size());
  }
};

/// Header fields of an answer, in the order in which they are sent.
using AnswerFields = std::vector<std::pair<std::string, std::string>>;

class CallerConnection;

/// Why a request is refused before it has been received whole.
enum class ReceiptRefusal {
  MemoryWait,     ///< No room became free in time.
  Stalled,        ///< It stood still while others needed its room.
  ReceiveTimeout, ///< It took too long in all.
  ChunkLine,      ///< The line of a chunk's length is too long.
  Stopping,       ///< The process ends.
};
std::string_view name(ReceiptRefusal Value);

/// Why this VM closes a caller's connection.
enum class ConnectionClose { ConnectionLimit, SendStalled };
std::string_view name(ConnectionClose Value);

/// Bounds on the time that a caller may take, besides the CallerLimits of the
/// configuration.
struct TransferTimeouts {
  Duration m_Receive = std::chrono::seconds(60); ///< For a whole request.
  /// After which a caller that takes no output is disconnected.
  Duration m_SendStall = std::chrono::seconds(30);
};

/// Answers the requests that a CallerConnection receives.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;
  virtual Time now() const = 0;
  virtual const CallerLimits &limits() const = 0;
  virtual const TransferTimeouts &transferTimeouts() const = 0;
  virtual MemoryBudget &memoryBudget() = 0;
  /// The client whose share of the memory a request with these fields takes.
  virtual std::string clientOf(const boost::beast::http::fields &Fields,
                               const std::string &Address) const = 0;
  /// Calls retryReceipt() on the connection when there may be room.
  virtual void
  awaitMemory(const std::shared_ptr<CallerConnection> &Connection) = 0;
  /// Records a request that is refused and returns the fields of its answer.
  /// Head is empty if it has not been received.
  virtual AnswerFields refuseReceipt(ReceiptRefusal Cause,
                                     const boost::beast::http::fields &Head,
                                     const std::string &Client,
                                     std::size_t HeldBytes) = 0;
  virtual void handleClosed(ConnectionClose Cause,
                            const std::string &Address) = 0;
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
class CallerConnection final
    : public MemoryWaiter,
      public std::enable_shared_from_this<CallerConnection> {
public:
  /// Address is the IP address of the caller.
  CallerConnection(boost::asio::ip::tcp::socket Socket, std::string Address,
                   RequestHandler &Handler);

  void start();
  /// Applies the timeouts for idle connections and for receiving a request;
  /// CallerListener calls it periodically.
  void tick(Time Now);

  // Answers the request in progress: at once, or in parts (chunked).
  void answer(unsigned Status, const AnswerFields &Fields, std::string Body);
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
  /// Handler is called when activity() or activeAt() changes, and at the close.
  void onActivity(std::function<void(const CallerConnection &)> Handler) {
    m_OnActivity = std::move(Handler);
  }
  bool isClosed() const { return m_IsClosed; }
  bool isIdle() const { return !m_IsAnswering && !m_IsReceiving; }
  ConnectionLimit::Activity activity() const;
  /// Last time that the caller sent something, or the start of the state.
  Time activeAt() const { return std::max(m_StateSince, m_LastReadAt); }
  std::size_t unsentBytes() const {
    return m_Output.size() + m_BeingWritten.size() - m_WrittenBytes;
  }
  /// Closes the connection if no request is in progress.
  void closeIfIdle();
  /// Closes the connection, which serves no request, in favour of another one.
  void closeForLimit();
  /// Goes on with a request that waits for memory, or refuses it if it has
  /// waited for MaxMemoryWait. Returns false if it still waits.
  bool retryReceipt(Time Now) override;
  /// Refuses a request of another connection that has stalled in favour of the
  /// one that waits here for memory. Returns false if there is none.
  bool refuseStalled(Time Now) override;
  /// Refuses the request that is being received, if any.
  void refuseReceipt(ReceiptRefusal Cause);

  static constexpr Duration MaxMemoryWait = std::chrono::milliseconds(500);

private:
  using Parser = boost::beast::http::request_parser<ReceivedBody>;

  void prepareParser();
  void beginReceipt();
  std::size_t readBytes() const;
  void read();
  /// Appends what has been read at Bytes, a place in the storage of m_Buffer.
  void commitRead(const void *Bytes, std::size_t Size);
  void handleRead();
  /// True if a request is in progress or its answer has not been taken.
  bool isBusy() const { return m_IsAnswering || unsentBytes() > 0; }
  void parse();
  /// Returns false if the request has been rejected.
  bool parseBuffered();
  /// Reserves the memory that parsing the buffered bytes takes.
  bool reserveMemory();
  bool reserveBody();
  void awaitMemory();
  void noteReceived(std::size_t Bytes);
  void releaseRequest();
  void dispatch();
  void reject(unsigned Status, const std::string &Reason);
  /// Ends the request in progress, which may have run, with a failure.
  void failRequest();
  void flush();
  void writeOutput();
  void handleWritten();
  void parseLater();
  void noteOutput();
  /// Begins the head of an answer in m_Output; the caller of this function adds
  /// the framing fields.
  void appendHead(unsigned Status, const AnswerFields &Fields);
  void finishAnswer();
  void lingerClose();
  void close();
  void noteActivity() const {
    if (m_OnActivity)
      m_OnActivity(*this);
  }

  boost::asio::ip::tcp::socket m_Socket;
  const std::string m_Address;
  RequestHandler &m_Handler;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::function<void()> m_OnDisconnect;
  std::function<void(const CallerConnection &)> m_OnActivity;
  bool m_IsWriting = false;       ///< An asynchronous write is in progress.
  std::string m_Output;           ///< Waits until m_BeingWritten has been sent.
  std::string m_BeingWritten;     ///< Being written to the socket.
  std::size_t m_WrittenBytes = 0; ///< Of m_BeingWritten.
  Time m_WriteProgressAt{};
  MemoryReservation m_ConnectionMemory;
  MemoryReservation m_OutputMemory;
  /// Of the request that is being received.
  std::shared_ptr<MemoryReservation> m_HeadMemory;
  std::shared_ptr<MemoryReservation> m_BodyMemory;
  std::size_t m_HeadBytes = 0;     ///< Of the parsed head.
  std::size_t m_ReceivedBytes = 0; ///< Of the request so far.
  Time m_WaitingSince{};
  Time m_StateSince{}; ///< Start of the current state.
  Time m_LastReadAt{};
  /// The idle timeout that was in force when the caller was told of it.
  Duration m_AnnouncedIdleTimeout{};
  bool m_IsReading = false;
  bool m_IsAwaitingMemory = false;
  bool m_IsReceiving = false;   ///< Part of a request has been read.
  bool m_IsClientKnown = false; ///< The reservations name the client.
  bool m_IsAnswering = false;
  bool m_IsChunked = false;
  bool m_KeepsAlive = true;
  bool m_ClosesAfterWrite = false;
  bool m_IsLingering = false;
  bool m_IsClosed = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CALLERCONNECTION_H
