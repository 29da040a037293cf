#include "node/ActionExecutor.h"

#include "endpoints/EngineClient.h"
#include "endpoints/ServiceClient.h"

#include <glog/logging.h>

namespace parsleyring {

struct ActionExecutor::ActionVisitor {
  const Dependencies &m_Dependencies;
  Time m_Now;
  LoopInput &m_Cause;

  void operator()(const StartCompletion &Start) const {
    std::shared_ptr<Answer> Target =
        m_Dependencies.m_Answers.find(Start.m_Request);
    auto Payload = Target ? Target->payload() : nullptr;
    if (!Payload)
      return reportStartFailure(Start.m_Attempt);
    EngineCall Call{std::move(Payload), Start.m_Epoch, Start.m_Route,
                    Target->tokens(Start.m_StartPosition)};
    auto OnToken = [Post = m_Dependencies.m_Post, Number = Start.m_Attempt](
                       std::uint32_t Position, std::vector<Hop> Hops,
                       std::string Text) {
      Post({TokenArrived{Number, Position, std::move(Hops)}, std::move(Text)});
    };
    m_Dependencies.m_Attempts.start(
        Start.m_Attempt,
        std::make_shared<EngineClient>(std::move(Call), std::move(OnToken)));
  }

  void operator()(const StartServiceCall &Start) const {
    std::shared_ptr<Answer> Target =
        m_Dependencies.m_Answers.find(Start.m_Request);
    auto Payload = Target ? Target->payload() : nullptr;
    if (!Payload)
      return reportStartFailure(Start.m_Attempt);
    m_Dependencies.m_Attempts.start(
        Start.m_Attempt,
        std::make_shared<ServiceClient>(
            ServiceCall{std::move(Payload), Start.m_Address, Start.m_Timeout}));
  }

  void operator()(const CancelAttempt &Cancel) const {
    m_Dependencies.m_Attempts.cancel(Cancel.m_Attempt);
  }

  void operator()(const DeliverToken &Deliver) const {
    if (auto Target = m_Dependencies.m_Answers.find(Deliver.m_Request))
      Target->appendToken(Deliver.m_Position, std::move(m_Cause.m_TokenText));
  }

  void operator()(const DeliverServiceAnswer &Deliver) const {
    auto Target = m_Dependencies.m_Answers.find(Deliver.m_Request);
    if (Target && m_Cause.m_Report.m_Answer)
      Target->setServiceAnswer(std::move(*m_Cause.m_Report.m_Answer));
  }

  void operator()(const FinishRequest &Finish) const {
    auto Target = m_Dependencies.m_Answers.find(Finish.m_Request);
    if (Target && !m_Cause.m_Report.m_FinishReason.empty())
      Target->setFinishReason(m_Cause.m_Report.m_FinishReason);
    m_Dependencies.m_Answers.finish(m_Now, Finish);
  }

  void operator()(const RequestClaim &Request) const {
    m_Dependencies.m_Claims.claim(
        Request, [Answers = &m_Dependencies.m_Answers,
                  Post = m_Dependencies.m_Post, Account = Request.m_Account,
                  Key = Request.m_IdempotencyKey](const ClaimSettled &Done) {
          if (Done.m_Result == ClaimResult::Granted)
            Answers->recordKey(Done.m_Request, Account, Key);
          Post({Done});
        });
  }

  void operator()(const EndClaim &End) const {
    m_Dependencies.m_Claims.end(End);
  }

  void operator()(const AnnounceLeaving &Leaving) const {
    m_Dependencies.m_Peers.announceLeaving(Leaving.m_Endpoint,
                                           Leaving.m_Incarnation);
  }

  void operator()(const WriteAudit &Record) const {
    m_Dependencies.m_Audit.write(Record);
  }

  void reportStartFailure(AttemptNumber Number) const {
    LOG(ERROR) << "attempt " << Number << " cannot start: no request payload";
    AttemptEnded End;
    End.m_Attempt = Number;
    End.m_Result = AttemptResult::ConnectFailed;
    m_Dependencies.m_Post({End});
  }
};

void ActionExecutor::execute(Time Now, const Action &Next, LoopInput &Cause) {
  std::visit(ActionVisitor{m_Dependencies, Now, Cause}, Next);
}

} // namespace parsleyring
