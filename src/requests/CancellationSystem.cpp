#include "requests/CancellationSystem.h"

namespace parsleyring {

void CancellationSystem::callerGone(Context &Call, const CallerGone &Gone) {
  Request *Subject = m_State.request(Gone.m_Request);
  if (!Subject)
    return m_State.m_Counters.add(Counter::EventsIgnored);
  Subject->m_IsCallerGone = true;
  // The claim may be granted yet and has to be released then.
  if (Subject->m_State == RequestState::Claiming)
    return;
  // A call that may not be repeated runs on to its end, so that its outcome
  // becomes known and its claim can be settled.
  if (Subject->m_State == RequestState::Running && !Subject->m_IsIdempotent)
    return;
  m_Finisher.fail(Call, *Subject, FailureReason::CallerGone);
}

} // namespace parsleyring
