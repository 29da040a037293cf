#ifndef PARSLEYRING_NODE_ACTIONEXECUTOR_H
#define PARSLEYRING_NODE_ACTIONEXECUTOR_H

#include "audit/AuditWriter.h"
#include "callers/AnswerStore.h"
#include "claims/ClaimService.h"
#include "endpoints/AttemptRunner.h"
#include "membership/PeerNetwork.h"
#include "node/RouterLoop.h"

namespace parsleyring {

/// Carries out the Router's actions by steps that do not block.
class ActionExecutor {
public:
  struct Parts {
    AnswerStore &m_Answers;
    AttemptRunner &m_Attempts;
    ClaimService &m_Claims;
    PeerNetwork &m_Peers;
    AuditWriter &m_Audit;
    /// Hands an event with its payload to the loop.
    std::function<void(LoopInput)> m_Post;
  };

  explicit ActionExecutor(const Parts &Used) : m_Parts(Used) {}

  void execute(Time Now, const Action &Next, LoopInput &Cause);

private:
  struct Step; ///< Visitor of one action.

  const Parts m_Parts;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_ACTIONEXECUTOR_H
