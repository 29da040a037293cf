#ifndef PARSLEYRING_GATEWAY_STREAMFORWARD_H
#define PARSLEYRING_GATEWAY_STREAMFORWARD_H

#include "gateway/EventScanner.h"
#include "gateway/ForwardContext.h"
#include "gateway/PathLoad.h"
#include "routing/LayerPathPlanner.h"

namespace parsleyring {

/// A request whose answer is an event stream from a path of engines, each of
/// which holds a part of the model's layers. Events are forwarded as they
/// arrive. A failed part of the path is replaced; if that is impossible, the
/// stream resumes after its last event on a new path, if the route allows it.
class StreamForward final : public ForwardedRequest,
                            public std::enable_shared_from_this<StreamForward> {
public:
  StreamForward(ForwardContext &Context, ForwardJob Job);

  void start() override;
  void tick(Time Now) override;
  void handleSuspect(const FleetTable::Handle &Endpoint) override;

private:
  bool canResume() const { return m_Job.m_Route->m_IsResumable; }
  bool canSendAgain() const;
  bool hasAnswerBegun() const { return m_HasAnswerBegun; }
  double answerTokensLeft() const;
  PathQuery pathQuery() const;
  std::vector<FleetTable::Handle> firstEngines() const;
  bool mayBegin(FleetEndpoint &Engine) const;
  LayerPath planPath();
  void noteDemand(const LayerPath &Path);
  bool trySend(std::string_view Reason);
  /// Of the current attempt.
  ExchangeHandlers handlers();
  /// Queues the request until an engine has capacity; false if it cannot wait.
  bool waitForCapacity(std::string_view Reason);
  void recordWait();
  LimitedCapacity limitedCapacity() const;
  void handleHead(const ResponseHead &Head);
  void handleBody(std::string_view Bytes);
  void handleEnd(ExchangeEnd End);
  bool receiveOwnAnswer();
  void handleRejection(const ResponseHead &Head);
  void forwardEvents();
  bool forwardEvent(const EventScanner::Event &Event);
  void noteProgress();
  void noteAnswered();
  void noteCutOff(const FleetTable::Handle &Engine);
  bool endIfQuarantined();
  void beginAnswer();

  void checkPaces(Duration Silence);
  void checkSilence(Time Now);
  Duration silenceLimit() const;
  void handleReport(const std::optional<EngineReport> &Report);
  bool hasSuspectPart(Time Now) const;
  void replaceParts();
  void handleRepath(unsigned Status, const LayerPath &Path);
  /// Sends the request on a new path or queues it; else ends the request.
  void retryElsewhere(std::string_view Reason);
  /// Ends the request without a complete answer.
  void endUnanswered(std::string_view Reason);
  void abandonAttempt();

  void refuse(std::string_view Reason, double RetryAfter);
  void refuseLimited(std::string_view Reason);
  void failRequest(std::string_view Reason);
  void finish(ForwardOutcome Outcome, std::string_view Reason, unsigned Status);

  double m_PromptTokens = 0;
  double m_AnswerTokens = 0;
  /// Ids of the parts of the prompt that other requests may have, too.
  std::vector<std::string> m_SharedParts;

  // The attempt in progress.
  std::shared_ptr<HttpConnection> m_Connection;
  /// Number of the attempt; replies to earlier attempts are ignored.
  std::uint64_t m_AttemptNumber = 0;
  PathLoad m_PathLoad;
  ResponseHead m_Head;
  EventScanner m_Scanner;
  std::string m_RejectionBody; ///< Body of an answer that is not a stream.
  Time m_SentAt{};
  Time m_LastProgressAt{};
  int m_AttemptEvents = 0;
  Time m_FirstEventAt{}; ///< Of the attempt.
  /// The engine has answered long enough to show that the prompt is harmless.
  bool m_IsAnswered = false;
  bool m_IsHeadSeen = false;
  bool m_IsStreaming = false; ///< A valid event stream is arriving.
  bool m_IsReportRequested = false;
  bool m_IsRepathing = false;
  int m_Repaths = 0;
  Time m_NextCheck{};

  /// Only limits of engines kept the last attempt from being sent.
  bool m_IsLimited = false;
  /// The next attempt is counted in the demand for the engine that it needs.
  bool m_IsDemandCounted = false;

  // While the request is in the admission queue.
  RequestNumber m_QueueNumber = 0; ///< 0 if it is not in the queue.
  Time m_WaitingSince{};           ///< Zero if it is not in the queue.

  // Over all attempts.
  /// Endpoints that failed or were suspect; not used in new paths.
  std::vector<FleetTable::Handle> m_ExcludedEndpoints;
  std::uint64_t m_LastEventId = 0;
  double m_MeanEventGapMs = 0; ///< Moving mean.
  double m_LongestPauseMs = 0;
  Duration m_QueuedTime{};  ///< Total time in the admission queue.
  double m_PlannedFill = 0; ///< Largest fill of engine memory on the path.
  Duration m_FirstEventTime{};
  int m_Events = 0;
  int m_CountedAttempts = 0; ///< Attempts that count towards the maximum.
  int m_Sends = 0;
  bool m_MayHaveRun = false;
  bool m_HasAnswerBegun = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMFORWARD_H
