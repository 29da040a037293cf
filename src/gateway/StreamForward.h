#ifndef PARSLEYRING_GATEWAY_STREAMFORWARD_H
#define PARSLEYRING_GATEWAY_STREAMFORWARD_H

#include "gateway/ForwardContext.h"
#include "gateway/StreamAttempt.h"
#include "gateway/StreamPlanner.h"
#include "gateway/StreamProgress.h"
#include "gateway/StreamRecovery.h"
#include "gateway/StreamRequestFields.h"
#include "gateway/StreamWait.h"

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
                            public std::enable_shared_from_this<StreamForward>,
                            public RecoverableStream {
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
  bool trySend(std::string_view Reason);
  ExchangeHandlers handlers(const AttemptHandle &Attempt);
  /// Queues the request until an engine has capacity; false if it cannot wait.
  bool waitForCapacity(std::string_view Reason);
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

  // RecoverableStream
  bool hasEnded() const override { return m_IsDone; }
  const AttemptHandle &attempt() const override { return m_Attempt; }
  bool moveElsewhere(std::string_view Reason) override;
  void retryElsewhere(std::string_view Reason) override;
  void uncount(StreamAttempt &Attempt) override;
  std::shared_ptr<RecoverableStream> self() override {
    return shared_from_this();
  }

  /// Makes a silent attempt the current one; closes the current one, if any.
  void resumeAttempt(AttemptHandle Silent);
  /// Ends the request without a complete answer.
  void endUnanswered(std::string_view Reason);
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
  void refuseForLinks();
  void failRequest(std::string_view Reason);
  void finish(ForwardOutcome Outcome, std::string_view Reason, unsigned Status);

  StreamRequestFields m_Fields;
  StreamProgress m_Progress;
  StreamPlanner m_Planner;
  StreamWait m_Wait;
  StreamRecovery m_Recovery;

  AttemptHandle m_Attempt; ///< The current attempt; null if there is none.
  /// Attempts that fell silent before the current one, oldest first.
  std::vector<AttemptHandle> m_SilentAttempts;

  // Over all attempts.
  double m_PlannedFill = 0;  ///< Largest fill of engine memory on the path.
  int m_CountedAttempts = 0; ///< Attempts that count towards the maximum.
  int m_Sends = 0;
  bool m_MayHaveRun = false; ///< In an attempt that is over.
  bool m_HasAnswerBegun = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMFORWARD_H
