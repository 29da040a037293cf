#include "requests/CancellationSystem.h"

namespace parsleyring {

/// Long enough for a caller to reconnect through another VM after a failed
/// connection attempt. Short, because most callers that close a stream do not
/// want the rest of it.
static constexpr Duration CallerReturnTimeout = std::chrono::seconds(3);

void CancellationSystem::callerDisconnected(
    EventContext &Context, const CallerDisconnected &Disconnected) {
  Request *Req = m_State.request(Disconnected.m_Request);
  if (!Req)
    return m_State.m_Counters.add(Counter::EventsIgnored);
  if (Req->m_Kind == RequestKind::Completion && Req->m_Delivered > 0) {
    Req->m_CallerReturnDeadline = Context.m_Now + CallerReturnTimeout;
    return;
  }
  Req->m_IsCallerGone = true;
  // The claim may still be granted. The request is kept until the claim is
  // settled, so that a granted claim is released.
  if (Req->m_State == RequestState::Claiming)
    return;
  // A running non-idempotent call is not cancelled: its outcome must become
  // known, so that its claim can be completed or released.
  if (Req->m_State == RequestState::Running && !Req->m_IsIdempotent)
    return;
  m_Finisher.fail(Context, *Req, FailureReason::CallerGone);
}

void CancellationSystem::callerReturned(EventContext &Context,
                                        const CallerReturned &Returned) {
  Request *Req = m_State.request(Returned.m_Request);
  if (!Req)
    return m_State.m_Counters.add(Counter::EventsIgnored);
  if (Req->m_CallerReturnDeadline)
    Req->m_CallerReturnDeadline = Context.m_Now + CallerReturnTimeout;
}

bool CancellationSystem::finishIfCallerGone(EventContext &Context,
                                            Request &Req) {
  if (!Req.m_CallerReturnDeadline ||
      Context.m_Now < *Req.m_CallerReturnDeadline)
    return false;
  Req.m_IsCallerGone = true;
  m_Finisher.fail(Context, Req, FailureReason::CallerGone);
  return true;
}

} // namespace parsleyring
