#include "requests/CancellationSystem.h"

namespace parsleyring {

/// Long enough for a caller to reconnect through another VM after a failed
/// connection attempt. Short, because most callers that close a stream do not
/// want the rest of it.
static constexpr Duration CallerReturnTime = std::chrono::seconds(3);

void CancellationSystem::callerGone(Context &Call, const CallerGone &Gone) {
  Request *Subject = m_State.request(Gone.m_Request);
  if (!Subject)
    return m_State.m_Counters.add(Counter::EventsIgnored);
  if (Subject->m_Kind == RequestKind::Completion && Subject->m_Delivered > 0) {
    Subject->m_CallerAwaitedUntil = Call.m_Now + CallerReturnTime;
    return;
  }
  Subject->m_IsCallerGone = true;
  // The claim may still be granted. The request is kept until the claim is
  // settled, so that a granted claim is released.
  if (Subject->m_State == RequestState::Claiming)
    return;
  // A running non-idempotent call is not cancelled: its outcome must become
  // known, so that its claim can be completed or released.
  if (Subject->m_State == RequestState::Running && !Subject->m_IsIdempotent)
    return;
  m_Finisher.fail(Call, *Subject, FailureReason::CallerGone);
}

void CancellationSystem::callerReturned(Context &Call,
                                        const CallerReturned &Returned) {
  Request *Subject = m_State.request(Returned.m_Request);
  if (!Subject)
    return m_State.m_Counters.add(Counter::EventsIgnored);
  if (Subject->m_CallerAwaitedUntil)
    Subject->m_CallerAwaitedUntil = Call.m_Now + CallerReturnTime;
}

bool CancellationSystem::checkReturn(Context &Call, Request &Subject) {
  if (!Subject.m_CallerAwaitedUntil ||
      Call.m_Now < *Subject.m_CallerAwaitedUntil)
    return false;
  Subject.m_IsCallerGone = true;
  m_Finisher.fail(Call, Subject, FailureReason::CallerGone);
  return true;
}

} // namespace parsleyring
