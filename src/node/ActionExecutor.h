#ifndef PARSLEYRING_NODE_ACTIONEXECUTOR_H
#define PARSLEYRING_NODE_ACTIONEXECUTOR_H

#include "audit/AuditWriter.h"
#include "callers/AnswerStore.h"
#include "claims/ClaimService.h"
#include "endpoints/AttemptRunner.h"
#include "membership/PeerNetwork.h"
#include "node/RouterLoop.h"

namespace parsleyring {

/// Executes the Router's actions without blocking.
class ActionExecutor {
public:
  struct Dependencies {
    AnswerStore &m_Answers;
    AttemptRunner &m_Attempts;
    ClaimService &m_Claims;
    PeerNetwork &m_Peers;
    AuditWriter &m_Audit;
    /// Posts an event with its payload to the RouterLoop.
    std::function<void(LoopInput)> m_Post;
  };

  explicit ActionExecutor(const Dependencies &Provided)
      : m_Dependencies(Provided) {}

  void execute(Time Now, const Action &Next, LoopInput &Cause);

private:
  struct ActionVisitor; ///< Visitor that executes one action.

  const Dependencies m_Dependencies;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_ACTIONEXECUTOR_H
