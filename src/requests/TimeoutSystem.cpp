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

static std::vector<std::string> endpointsOf(const Attempt &Of) {
  std::vector<std::string> Result;
  for (const Stage &Part : Of.m_Route)
    Result.push_back(Part.m_Hop.m_Endpoint);
  return Result;
}

void TimeoutSystem::excusePause(Time Now) {
  Duration Gap = m_LastEventAt ? Now - *m_LastEventAt : Duration::zero();
  m_LastEventAt = Now;
  if (Gap <= PauseThreshold)
    return;
  for (auto &[Number, Current] : m_State.m_Attempts)
    Current.m_ProgressAt = std::min(Now, Current.m_ProgressAt + Gap);
}

void TimeoutSystem::run(Context &Call) {
  for (auto Entry = m_State.m_Requests.begin();
       Entry != m_State.m_Requests.end();) {
    // Advances first, because ending a request erases its entry.
    Request &Subject = (Entry++)->second;
    if (!m_Cancellations.checkReturn(Call, Subject))
      checkDeadline(Call, Subject);
  }
  for (auto &[Number, Current] : m_State.m_Attempts)
    checkProgress(Call, Current);
}

void TimeoutSystem::checkDeadline(Context &Call, Request &Subject) {
  if (Subject.m_State == RequestState::Claiming) {
    if (m_Claims.giveUpTime(Subject) <= Call.m_Now)
      m_Finisher.fail(Call, Subject,
                      Subject.m_IsCallerGone ? FailureReason::CallerGone
                                             : FailureReason::ClaimTimedOut);
    return;
  }
  bool IsServiceRunning = Subject.m_State == RequestState::Running &&
                          Subject.m_Kind == RequestKind::ServiceCall;
  Duration Grace = IsServiceRunning ? ServiceEndGrace : Duration::zero();
  if (Call.m_Now < Subject.m_Deadline + Grace)
    return;
  if (Subject.hasAllTokens())
    return m_Finisher.finish(Call, Subject, Ending());
  m_Finisher.fail(Call, Subject, FailureReason::DeadlinePassed);
}

void TimeoutSystem::checkProgress(Context &Call, Attempt &Current) {
  if (Current.m_IsCancelled ||
      Call.m_Now - Current.m_ProgressAt <= Current.m_ProgressTimeout)
    return;
  Request *Subject = m_State.request(Current.m_Request);
  if (!Subject || Subject->m_CurrentAttempt != Current.m_Number)
    return;
  if (Subject->m_Kind == RequestKind::Completion)
    return stalled(Call, *Subject, Current);
  if (Subject->m_IsIdempotent && !Subject->m_WasCut)
    cutServiceCall(Call, *Subject, Current);
}

void TimeoutSystem::stalled(Context &Call, Request &Subject, Attempt &Current) {
  if (!Current.m_IsStallNoted) {
    Current.m_IsStallNoted = true;
    m_Endpoints.noteStalled(Call, Current);
  }
  // If no further attempt is allowed, the stalled one may still recover.
  if (Subject.hasAllTokens() || canAfford(Call, Subject))
    m_Retries.abandon(Call, Subject, Current, "stalled", endpointsOf(Current),
                      true);
}

void TimeoutSystem::cutServiceCall(Context &Call, Request &Subject,
                                   Attempt &Current) {
  if (!canAfford(Call, Subject))
    return;
  Subject.m_WasCut = true;
  m_Retries.abandon(Call, Subject, Current, "slow", endpointsOf(Current), true);
}

bool TimeoutSystem::canAfford(const Context &Call, const Request &Subject) {
  if (!m_Retries.canRepeat(Subject))
    return false;
  PoolState *Pool = m_State.m_Pools.find(Subject.m_Pool);
  return Pool && (!RetrySystem::needsBudget(Subject) ||
                  Pool->m_Budget.tryTake(Call.m_Now));
}

} // namespace parsleyring
