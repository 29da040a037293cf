#ifndef PARSLEYRING_GATEWAY_PLAINFORWARD_H
#define PARSLEYRING_GATEWAY_PLAINFORWARD_H

#include "gateway/ForwardContext.h"

#include <vector>

namespace parsleyring {

/// A request to a plain service: the answer of one endpoint is read whole,
/// checked and passed on. An idempotent request is sent to further endpoints
/// when one fails or is slow; any other one only if it has certainly not run.
class PlainForward final : public ForwardedRequest,
                           public std::enable_shared_from_this<PlainForward> {
public:
  PlainForward(ForwardContext &Context, ForwardJob Job);

  void start() override;
  void tick(Time Now) override;

private:
  /// One endpoint that the request was sent to.
  struct Attempt {
    FleetTable::Handle m_Endpoint;
    std::shared_ptr<HttpChannel> m_Channel;
    ResponseHead m_Head;
    std::string m_Body;
    Time m_SentAt{};
    bool m_IsRunning = true;
    bool m_IsReused = false; ///< Sent on a connection that was used before.
  };
  using AttemptHandle = std::shared_ptr<Attempt>;

  bool isRepeatable() const { return m_Job.m_Route->isRepeatable(); }
  FleetTable::Handle choose() const;
  /// False if there is no endpoint left to try.
  bool trySend(std::string_view Reason);
  ExchangeHandlers handlers(const AttemptHandle &Sent);
  void handleEnd(const AttemptHandle &Ended, ExchangeEnd End);
  void handleAnswer(const AttemptHandle &Ended);
  void handleNotRun(const AttemptHandle &Ended, std::string_view Reason);
  void handleUnknown(const AttemptHandle &Ended, std::string_view Reason);
  void retryOrFinish(std::string_view Reason);
  bool hasRunning() const;
  void release(Attempt &Ended);
  void finishWithoutAnswer(std::string_view Reason);
  void passOn(const Attempt &Ended);
  void finish(ForwardOutcome Outcome, std::string_view Reason, unsigned Status);

  std::vector<AttemptHandle> m_Attempts;
  AttemptHandle m_LastFailure; ///< An endpoint's own failure to be passed on.
  int m_Sends = 0;             ///< Endpoints that may have got the request.
  bool m_MayHaveRun = false;
  bool m_IsHedged = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_PLAINFORWARD_H
