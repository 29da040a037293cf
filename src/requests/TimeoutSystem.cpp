#include "requests/TimeoutSystem.h"

#include <algorithm>

namespace parsleyring {

/// The code that runs the attempt enforces the time limit of a service call and
/// reports how the attempt ended. The Router ends the request itself only if no
/// report came this long after the deadline.
static constexpr Duration ServiceEndGrace = std::chrono::seconds(1);
/// Events arrive at least every TickInterval (10 ms). A gap longer than this
/// means that this VM was paused.
static constexpr Duration PauseThreshold = std::chrono::milliseconds(50);

static std::vector<std::string> endpointsOf(const Attempt &Started) {
  std::vector<std::string> Result;
  for (const Stage &RouteStage : Started.m_Route)
    Result.push_back(RouteStage.m_Hop.m_Endpoint);
  return Result;
}

void TimeoutSystem::compensateForPause(Time Now) {
  Duration Gap = m_LastEventAt ? Now - *m_LastEventAt : Duration::zero();
  m_LastEventAt = Now;
  if (Gap <= PauseThreshold)
    return;
  for (auto &[Number, CurrentAttempt] : m_State.m_Attempts)
    CurrentAttempt.m_ProgressAt =
        std::min(Now, CurrentAttempt.m_ProgressAt + Gap);
}

void TimeoutSystem::run(EventContext &Context) {
  for (auto Entry = m_State.m_Requests.begin();
       Entry != m_State.m_Requests.end();) {
    // Advances first, because ending a request erases its entry.
    Request &Req = (Entry++)->second;
    if (!m_Cancellations.finishIfCallerGone(Context, Req))
      checkDeadline(Context, Req);
  }
  for (auto &[Number, CurrentAttempt] : m_State.m_Attempts)
    checkProgress(Context, CurrentAttempt);
}

void TimeoutSystem::checkDeadline(EventContext &Context, Request &Req) {
  if (Req.m_State == RequestState::Claiming) {
    if (m_Claims.settlementDeadline(Req) <= Context.m_Now)
      m_Finisher.fail(Context, Req,
                      Req.m_IsCallerGone ? FailureReason::CallerGone
                                         : FailureReason::ClaimTimedOut);
    return;
  }
  bool IsServiceRunning = Req.m_State == RequestState::Running &&
                          Req.m_Kind == RequestKind::ServiceCall;
  Duration Grace = IsServiceRunning ? ServiceEndGrace : Duration::zero();
  if (Context.m_Now < Req.m_Deadline + Grace)
    return;
  if (Req.hasAllTokens())
    return m_Finisher.finish(Context, Req, RequestResult());
  m_Finisher.fail(Context, Req, FailureReason::DeadlinePassed);
}

void TimeoutSystem::checkProgress(EventContext &Context,
                                  Attempt &CurrentAttempt) {
  if (CurrentAttempt.m_IsCancelled ||
      Context.m_Now - CurrentAttempt.m_ProgressAt <=
          CurrentAttempt.m_ProgressTimeout)
    return;
  Request *Req = m_State.request(CurrentAttempt.m_Request);
  if (!Req || Req->m_CurrentAttempt != CurrentAttempt.m_Number)
    return;
  if (Req->m_Kind == RequestKind::Completion)
    return streamStalled(Context, *Req, CurrentAttempt);
  if (Req->m_IsIdempotent && !Req->m_WasSlowAttemptReplaced)
    replaceSlowCall(Context, *Req, CurrentAttempt);
}

void TimeoutSystem::streamStalled(EventContext &Context, Request &Req,
                                  Attempt &CurrentAttempt) {
  if (!CurrentAttempt.m_IsStallRecorded) {
    CurrentAttempt.m_IsStallRecorded = true;
    m_Endpoints.noteStalled(Context, CurrentAttempt);
  }
  // If no further attempt is allowed, the stalled one may still recover.
  if (Req.hasAllTokens() || tryReserveRetry(Context, Req))
    m_Retries.abandon(Context, Req, CurrentAttempt, "stalled",
                      endpointsOf(CurrentAttempt),
                      RetrySystem::CulpritKnowledge::Unknown, true);
}

void TimeoutSystem::replaceSlowCall(EventContext &Context, Request &Req,
                                    Attempt &CurrentAttempt) {
  if (!tryReserveRetry(Context, Req))
    return;
  Req.m_WasSlowAttemptReplaced = true;
  m_Retries.abandon(Context, Req, CurrentAttempt, "slow",
                    endpointsOf(CurrentAttempt),
                    RetrySystem::CulpritKnowledge::Unknown, true);
}

bool TimeoutSystem::tryReserveRetry(const EventContext &Context,
                                    const Request &Req) {
  if (!m_Retries.isRetryAllowed(Req))
    return false;
  PoolState *Pool = m_State.m_Pools.find(Req.m_Pool);
  return Pool && (!RetrySystem::needsRetryBudget(Req) ||
                  Pool->m_Budget.tryTake(Context.m_Now));
}

} // namespace parsleyring
