#ifndef PARSLEYRING_GATEWAY_STREAMFORWARD_H
#define PARSLEYRING_GATEWAY_STREAMFORWARD_H

#include "gateway/EventScanner.h"
#include "gateway/ForwardContext.h"
#include "gateway/PathLoad.h"
#include "routing/LayerPathPlanner.h"

namespace parsleyring {

/// A request whose answer is a stream of events from a path of engines. The
/// events are passed on as they arrive. When a part of the path fails, the
/// part is replaced; when that cannot be done, the stream goes on from its
/// last event on another path, if its route allows that.
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
  bool hasBegun() const { return m_HasAnswerBegun; }
  double answerTokensLeft() const;
  PathQuery demand() const;
  LayerPath planPath() const;
  bool trySend(std::string_view Reason);
  /// False if waiting for room is of no use.
  bool waitForRoom(std::string_view Reason);
  void endWait();
  void handleHead(const ResponseHead &Head);
  void handleBody(std::string_view Bytes);
  void handleEnd(ExchangeEnd End);
  void handleRejection(const ResponseHead &Head);
  void passEvents();
  bool passEvent(const EventScanner::Event &Event);
  void beginAnswer();

  void checkPaces(Duration Silence);
  void checkSilence(Time Now);
  Duration silenceLimit() const;
  void handleReport(const std::optional<EngineReport> &Report);
  bool hasSuspectPart(Time Now) const;
  void replaceParts();
  void handleRepath(unsigned Status, const LayerPath &Path);
  /// Goes on at another path, or ends the answer.
  void moveOn(std::string_view Reason);
  /// Ends the request without a whole answer.
  void giveUp(std::string_view Reason);
  void dropAttempt();

  void refuse(std::string_view Reason);
  void breakOff(std::string_view Reason);
  void finish(ForwardOutcome Outcome, std::string_view Reason, unsigned Status);

  double m_PromptTokens = 0;
  double m_AnswerTokens = 0;

  // The run in progress.
  std::shared_ptr<HttpChannel> m_Channel;
  std::uint64_t m_Run =
      0; ///< Number of the run; replies to older ones are dropped.
  PathLoad m_Load;
  ResponseHead m_Head;
  EventScanner m_Scanner;
  std::string m_RejectionBody; ///< Of an answer that is no stream.
  Time m_SentAt{};
  Time m_LastProgress{};
  bool m_IsHeadSeen = false;
  bool m_IsStreaming = false; ///< The endpoint answers with success.
  bool m_IsChecking = false;
  bool m_IsRepathing = false;
  int m_Repaths = 0;
  Time m_NextCheck{};

  // While the request waits for room at the engines.
  RequestNumber m_QueueNumber = 0; ///< 0 if it does not wait.
  Time m_WaitingSince{};

  // Over all runs.
  std::vector<FleetTable::Handle> m_Failed; ///< Not used again.
  std::uint64_t m_LastEventId = 0;
  double m_EventGapMs = 0; ///< Moving mean.
  double m_LongestPauseMs = 0;
  Duration m_Waited{};
  double m_PlannedFill = 0; ///< Of the fullest part of the path when sent.
  Duration m_FirstEventTime{};
  int m_Events = 0;
  int m_Runs = 0; ///< On endpoints that lived on and may have run it.
  int m_Sends = 0;
  bool m_MayHaveRun = false;
  bool m_HasAnswerBegun = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMFORWARD_H
