#ifndef PARSLEYRING_GATEWAY_PLAINFORWARD_H
#define PARSLEYRING_GATEWAY_PLAINFORWARD_H

#include "gateway/ForwardContext.h"

#include <vector>

namespace parsleyring {

/// A request to a plain service: the answer of an endpoint is read completely,
/// checked and forwarded. An idempotent request is sent to further endpoints if
/// one fails or is slow; any other request only if it certainly has not run.
class PlainForward final : public ForwardedRequest,
                           public std::enable_shared_from_this<PlainForward> {
public:
  PlainForward(ForwardContext &Context, ForwardJob Job);

  void start() override;
  void tick(Time Now) override;
  void end(std::string_view Reason) override;

private:
  /// One sending of the request to an endpoint.
  struct Attempt {
    FleetTable::Handle m_Endpoint;
    std::shared_ptr<HttpConnection> m_Connection;
    ResponseHead m_Head;
    std::string m_Body;
    std::optional<MemoryReservation> m_Memory; ///< Of m_Body.
    Time m_SentAt{};
    bool m_IsRunning = true;
    bool m_IsSealed = false; ///< The head proves an answer to the request.
    bool m_IsReused = false; ///< Sent on a connection from the pool.
    bool m_IsCutOff = false; ///< The connection was closed before any answer.
  };
  using AttemptHandle = std::shared_ptr<Attempt>;

  bool isRepeatable() const { return m_Job.m_Route->isRepeatable(); }
  /// LowestLatencyMs is the lowest one of the endpoints that can be used.
  double cost(const FleetEndpoint &Endpoint, double LowestLatencyMs) const;
  bool wasTried(const FleetTable::Handle &Endpoint) const;
  FleetTable::Handle chooseEndpoint();
  bool hasCrashedEndpoints() const;
  /// False if no endpoint, attempt or retry budget is left, or if the request
  /// crashes endpoints.
  bool trySend(std::string_view Reason);
  ExchangeHandlers handlers(const AttemptHandle &Sent);
  /// Adds bytes to the answer. If there is no room for them, no more are read.
  void appendBody(Attempt &Sent, std::string_view Bytes);
  /// The largest capacity up to Wanted that the body may need.
  static std::size_t usefulCapacity(const Attempt &Sent, std::size_t Wanted);
  void resumeReading(Attempt &Sent);
  static void releaseBody(Attempt &Ended);
  void handleEnd(const AttemptHandle &Ended, ExchangeEnd End);
  /// The endpoint has closed the connection without any answer.
  void noteCutOff(Attempt &Ended);
  void handleAnswer(const AttemptHandle &Ended);
  void handleNotRun(const AttemptHandle &Ended, std::string_view Reason);
  void handleUnknownOutcome(const AttemptHandle &Ended,
                            std::string_view Reason);
  void retryOrFinish(std::string_view Reason);
  bool hasRunning() const;
  /// True if the answer to a running attempt is not being read.
  bool hasPaused() const;
  void markEnded(Attempt &Ended);
  void finishWithoutAnswer(std::string_view Reason);
  void forwardAnswer(Attempt &Ended);
  void finish(ForwardOutcome Outcome, std::string_view Reason, unsigned Status);

  std::vector<AttemptHandle> m_Attempts;
  AttemptHandle m_LastFailure; ///< 5xx answer to forward if no retry works.
  int m_Sends = 0;             ///< Attempts, without failed connects.
  bool m_MayHaveRun = false;
  bool m_IsHedged = false;
  bool m_IsQuarantined = false; ///< The last send did not happen for this.
  bool m_IsLimited = false; ///< Only limits kept the last send from happening.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_PLAINFORWARD_H
