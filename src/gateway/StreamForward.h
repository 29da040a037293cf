#ifndef PARSLEYRING_GATEWAY_STREAMFORWARD_H
#define PARSLEYRING_GATEWAY_STREAMFORWARD_H

#include "admission/LimitedWait.h"
#include "gateway/ForwardContext.h"
#include "gateway/StreamAttempt.h"

namespace parsleyring {

/// A request whose answer is an event stream from a path of engines, each of
/// which holds a part of the model's layers. Events are forwarded as they
/// arrive. A failed part of the path is replaced; if that is impossible, the
/// stream resumes after its last event on a new path, if the route allows it.
///
/// A silent engine may be dead or may go on, so silence only lets a stream try
/// another path. The silent attempt stays open until the new one has its first
/// event, and is the current one again if nothing else is left.
class StreamForward final : public ForwardedRequest,
                            public std::enable_shared_from_this<StreamForward> {
public:
  StreamForward(ForwardContext &Context, ForwardJob Job);

  void start() override;
  void tick(Time Now) override;
  void end(std::string_view Reason) override;
  void handleSuspect(const FleetTable::Handle &Endpoint) override;

private:
  using AttemptHandle = std::shared_ptr<StreamAttempt>;

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
  ExchangeHandlers handlers(const AttemptHandle &Attempt);
  /// Queues the request until an engine has capacity; false if it cannot wait.
  bool waitForCapacity(std::string_view Reason);
  void recordWait();
  LimitedCapacity limitedCapacity() const;
  /// When there is a path, if engines at rest are all that is missing.
  std::optional<Time> restEnd() const;
  bool isRestLongerThan(Time WaitUntil) const;
  bool isOpen(const AttemptHandle &Attempt) const;
  std::vector<FleetTable::Handle> enginesOfOpenAttempts() const;
  void handleHead(const AttemptHandle &Attempt, const ResponseHead &Head);
  void handleBody(const AttemptHandle &Attempt, std::string_view Bytes);
  void handleEnd(const AttemptHandle &Attempt, ExchangeEnd End);
  void handleEndOfSilent(const AttemptHandle &Attempt, ExchangeEnd End);
  bool receiveOwnAnswer(const AttemptHandle &Attempt);
  void handleRejection(const ResponseHead &Head);
  /// True if the next event of the stream has arrived on Attempt.
  bool hasNextEvent(const StreamAttempt &Attempt) const;
  void forwardEvents();
  std::size_t maxUnsentBytes() const;
  bool forwardEvent(const EventScanner::Event &Event);
  void noteProgress();
  void noteAnswered();
  void noteCutOff(const StreamAttempt &Attempt);
  bool endIfQuarantined();
  void beginAnswer();

  void checkPaces(Duration Silence);
  void checkSilence(Time Now);
  Duration silenceLimit() const;
  void handleReport(const std::optional<EngineReport> &Report);
  bool hasSuspectPart(Time Now) const;
  bool hasOwnSuspectPart(Time Now) const;
  void replaceParts();
  void handleRepath(unsigned Status, const LayerPath &Path);
  /// Sends the request on a new path and leaves the current attempt open.
  /// Returns false if that is not possible; the attempt then stays current.
  bool moveElsewhere(std::string_view Reason);
  /// Makes a silent attempt the current one; closes the current one, if any.
  void resumeAttempt(AttemptHandle Silent);
  /// Closes the current attempt and sends the request on a new path, goes on
  /// with a silent attempt, or queues the request; else ends the request.
  void retryElsewhere(std::string_view Reason);
  /// Ends the request without a complete answer.
  void endUnanswered(std::string_view Reason);
  void exclude(const FleetTable::Handle &Endpoint);
  /// The attempt has not run, or its engine is gone.
  void uncount(StreamAttempt &Attempt);
  /// Nothing of the attempt was sent.
  void noteUnsent(StreamAttempt &Attempt);
  /// True if an engine may have begun to run the request.
  bool mayHaveRun() const;
  /// Ends an attempt whose engine may have run the request.
  void close(StreamAttempt &Attempt);
  void closeSilentAttempts();
  void logAttempt(std::string_view Event, const StreamAttempt &Attempt,
                  std::string_view Reason);

  void refuse(std::string_view Reason, double RetryAfter);
  void refuseLimited(std::string_view Reason);
  void failRequest(std::string_view Reason);
  void finish(ForwardOutcome Outcome, std::string_view Reason, unsigned Status);

  double m_PromptTokens = 0;
  double m_AnswerTokens = 0;
  /// Ids of the parts of the prompt that other requests may have, too.
  std::vector<std::string> m_SharedParts;

  AttemptHandle m_Attempt; ///< The current attempt; null if there is none.
  /// Attempts that fell silent before the current one, oldest first.
  std::vector<AttemptHandle> m_SilentAttempts;

  /// Only limits of engines kept the last attempt from being sent.
  bool m_IsLimited = false;
  /// The next attempt is counted in the demand for the engine that it needs.
  bool m_IsDemandCounted = false;

  // While the request is in the admission queue.
  RequestNumber m_QueueNumber = 0; ///< 0 if it is not in the queue.
  Time m_WaitingSince{};           ///< Zero if it is not in the queue.
  LimitedWait m_LimitedWait;

  // Over all attempts.
  /// Endpoints that failed or were suspect; used in new paths only if there is
  /// no other one.
  std::vector<FleetTable::Handle> m_ExcludedEndpoints;
  std::uint64_t m_LastEventId = 0;
  Time m_LastProgressAt{};
  double m_MeanEventGapMs = 0; ///< Moving mean.
  double m_LongestPauseMs = 0;
  Duration m_QueuedTime{};  ///< Total time in the admission queue.
  double m_PlannedFill = 0; ///< Largest fill of engine memory on the path.
  Duration m_FirstEventTime{};
  int m_Events = 0;
  int m_CountedAttempts = 0; ///< Attempts that count towards the maximum.
  int m_Sends = 0;
  bool m_MayHaveRun = false; ///< In an attempt that is over.
  bool m_HasAnswerBegun = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMFORWARD_H
