#include "requests/RetrySystem.h"

#include "requests/AuditRecords.h"

#include <algorithm>

namespace parsleyring {

/// Attempts without a delivered token after which a request fails.
static constexpr std::uint32_t MaxAttempts = 4;
/// First delay after a refusal for overload. Doubles with each refusal to give
/// the endpoint time, but only up to 640 ms, so that a slot that becomes free
/// is taken soon.
static constexpr Duration RefusalDelay = std::chrono::milliseconds(20);
static constexpr std::uint32_t MaxDelayDoublings = 5;
/// Keeps the list short for a long stream that is resumed often.
static constexpr std::size_t MaxAvoided = 16;

static void avoid(Request &Subject, const std::string &Endpoint) {
  auto &Avoid = Subject.m_Avoid;
  if (std::find(Avoid.begin(), Avoid.end(), Endpoint) != Avoid.end())
    return;
  if (Avoid.size() == MaxAvoided)
    Avoid.erase(Avoid.begin());
  Avoid.push_back(Endpoint);
}

/// The endpoint that the engine names as failed; null if it is not on the route
/// of the attempt.
static const std::string *failedStage(const Attempt &Ended,
                                      const AttemptEnded &End) {
  for (const Stage &Part : Ended.m_Route)
    if (Part.m_Hop.m_Endpoint == End.m_FailedEndpoint)
      return &Part.m_Hop.m_Endpoint;
  return nullptr;
}

/// Avoids the endpoints that may have caused the failure: the endpoint that the
/// engine names; else, after a refusal or a failed connection, the first stage,
/// which the router itself contacts; else all stages.
static void avoidFailed(Request &Subject, const Attempt &Ended,
                        const AttemptEnded &End) {
  if (const std::string *Failed = failedStage(Ended, End))
    return avoid(Subject, *Failed);
  std::size_t Count = isProvablyNotRun(End.m_Result) ? 1 : Ended.m_Route.size();
  for (std::size_t Index = 0; Index < Count; ++Index)
    avoid(Subject, Ended.m_Route[Index].m_Hop.m_Endpoint);
}

void RetrySystem::attemptEnded(Context &Call, const AttemptEnded &End) {
  auto Entry = m_State.m_Attempts.find(End.m_Attempt);
  if (Entry == m_State.m_Attempts.end())
    return m_State.m_Counters.add(Counter::EventsIgnored);
  Attempt Ended = std::move(Entry->second);
  m_State.m_Attempts.erase(Entry);
  m_State.m_Planner.noteEnded(Call.m_Now, End.m_Attempt, End.m_Result,
                              End.m_FailedEndpoint);
  Call.add(attemptEndRecord(Call.m_Now, Ended, End));
  if (End.m_Result == AttemptResult::RefusedLeaving) {
    const std::string *Named = failedStage(Ended, End);
    m_Endpoints.endpointLeaving(
        Call, {Named ? *Named : Ended.m_Route.front().m_Hop.m_Endpoint,
               {},
               LeavingSign::Answer});
  }
  Request *Subject = m_State.request(Ended.m_Request);
  if (!Subject)
    return;
  --Subject->m_OpenAttempts;
  if (!isProvablyNotRun(End.m_Result))
    Subject->m_MayHaveRun = true;
  if (Subject->m_CurrentAttempt == End.m_Attempt)
    currentEnded(Call, *Subject, Ended, End);
}

void RetrySystem::currentEnded(Context &Call, Request &Subject,
                               const Attempt &Ended, const AttemptEnded &End) {
  Subject.m_CurrentAttempt = 0;
  if (End.m_Result == AttemptResult::Finished)
    return finished(Call, Subject, Ended, End);
  m_State.m_Counters.add(Counter::AttemptsFailed);
  if (End.m_Result == AttemptResult::Rejected)
    return rejected(Call, Subject, End);
  avoidFailed(Subject, Ended, End);
  // A refusal as not run contradicts a token that came before it; that attempt
  // is handled like a lost connection.
  bool IsRefusal = isProvablyNotRun(End.m_Result) && Ended.m_Tokens == 0;
  // A rolling replacement of endpoints must not use up attempts or budget. Each
  // such refusal removes an endpoint from the candidates, which bounds them.
  bool IsFree = IsRefusal && End.m_Result == AttemptResult::RefusedLeaving;
  bool IsOverload = IsRefusal && End.m_Result == AttemptResult::RefusedNotRun;
  // Refusals for overload do not count as attempts: four of them pass within
  // 0.2 s, so engines that are full for longer would end streams that have most
  // of their time left. The growing delay, the budget and the deadline bound
  // them instead.
  if (IsFree || IsOverload)
    --Subject.m_AttemptsSinceProgress;
  Duration Delay = Duration::zero();
  if (IsOverload)
    Delay = RefusalDelay * (1 << std::min(Subject.m_RefusalsSinceProgress++,
                                          MaxDelayDoublings));
  retry(Call, Subject, std::string(name(End.m_Result)), IsFree, Delay);
}

void RetrySystem::finished(Context &Call, Request &Subject,
                           const Attempt &Ended, const AttemptEnded &End) {
  Ending Result;
  if (Subject.m_Kind == RequestKind::ServiceCall) {
    Result.m_Status = End.m_Status;
    Call.add(DeliverServiceAnswer{Subject.m_Number, Ended.m_Number});
    if (PoolState *Pool = m_State.m_Pools.find(Subject.m_Pool))
      Pool->noteServiceTime(Call.m_Now - Ended.m_StartedAt);
  }
  m_Finisher.finish(Call, Subject, Result);
}

void RetrySystem::rejected(Context &Call, Request &Subject,
                           const AttemptEnded &End) {
  Ending Result = failureEnding(Subject, FailureReason::Rejected);
  // Other statuses are about the router's call, not the caller's request.
  if (End.m_Status == 400 || End.m_Status == 413 || End.m_Status == 422)
    Result.m_Status = End.m_Status;
  if (!End.m_Detail.empty())
    Result.m_Message += ": " + End.m_Detail;
  m_Finisher.finish(Call, Subject, Result);
}

void RetrySystem::abandon(Context &Call, Request &Subject, Attempt &Current,
                          const std::string &Reason,
                          const std::vector<std::string> &Avoid, bool IsFree) {
  Current.m_IsCancelled = true;
  Subject.m_CurrentAttempt = 0;
  for (const std::string &Endpoint : Avoid)
    avoid(Subject, Endpoint);
  Call.add(abandonRecord(Call.m_Now, Current, Reason, Avoid));
  Call.add(CancelAttempt{Current.m_Number});
  retry(Call, Subject, Reason, IsFree, Duration::zero());
}

bool RetrySystem::canRepeat(const Request &Subject) const {
  return !Subject.m_IsCallerGone &&
         (Subject.m_IsIdempotent || !Subject.canHaveRun()) &&
         Subject.m_AttemptsSinceProgress < MaxAttempts;
}

bool RetrySystem::needsBudget(const Request &Subject) {
  return Subject.m_Delivered == 0;
}

std::optional<FailureReason>
RetrySystem::obstacle(Context &Call, const Request &Subject, bool IsFree) {
  if (Subject.m_IsCallerGone)
    return FailureReason::CallerGone;
  if (!Subject.m_IsIdempotent && Subject.canHaveRun())
    return FailureReason::NotRepeatable;
  if (Subject.m_Deadline <= Call.m_Now)
    return FailureReason::DeadlinePassed;
  if (!canRepeat(Subject))
    return FailureReason::AttemptsExhausted;
  PoolState *Pool = m_State.m_Pools.find(Subject.m_Pool);
  if (!Pool)
    return FailureReason::PoolRemoved;
  if (!IsFree && needsBudget(Subject) && !Pool->m_Budget.tryTake(Call.m_Now))
    return FailureReason::BudgetExhausted;
  return std::nullopt;
}

void RetrySystem::retry(Context &Call, Request &Subject,
                        const std::string &Reason, bool IsFree,
                        Duration Delay) {
  if (Subject.hasAllTokens())
    return m_Finisher.finish(Call, Subject, Ending());
  if (auto Obstacle = obstacle(Call, Subject, IsFree))
    return m_Finisher.fail(Call, Subject, *Obstacle);
  Subject.m_NotBefore = Call.m_Now + Delay;
  bool IsResume = Subject.m_Delivered > 0;
  m_State.m_Counters.add(IsResume ? Counter::Resumes : Counter::Retries);
  Call.add(retryRecord(Call.m_Now, Subject, Reason, IsResume));
  m_Queues.requeue(Call, Subject);
}

} // namespace parsleyring
