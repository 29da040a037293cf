#include "requests/RetrySystem.h"

#include "requests/AuditRecords.h"

#include <algorithm>

namespace parsleyring {

/// Attempts without a delivered token after which a request fails.
static constexpr std::uint32_t MaxAttempts = 4;
/// First delay after an attempt that did not run: a refusal for overload or a
/// failed connection. Doubles with each of them to give the endpoint time, but
/// only up to 640 ms, so that a slot that becomes free is taken soon.
static constexpr Duration RefusalDelay = std::chrono::milliseconds(20);
static constexpr std::uint32_t MaxDelayDoublings = 5;
/// Keeps the list short for a long stream that is resumed often.
static constexpr std::size_t MaxAvoided = 16;

static void addAvoidedEndpoint(Request &Req, const std::string &Endpoint) {
  auto &Avoid = Req.m_Avoid;
  if (std::find(Avoid.begin(), Avoid.end(), Endpoint) != Avoid.end())
    return;
  if (Avoid.size() == MaxAvoided)
    Avoid.erase(Avoid.begin());
  Avoid.push_back(Endpoint);
}

/// The endpoint that the engine names as failed; null if it is not on the route
/// of the attempt.
static const std::string *namedFailedEndpoint(const Attempt &EndedAttempt,
                                              const AttemptEnded &Report) {
  for (const Stage &RouteStage : EndedAttempt.m_Route)
    if (RouteStage.m_Hop.m_Endpoint == Report.m_FailedEndpoint)
      return &RouteStage.m_Hop.m_Endpoint;
  return nullptr;
}

/// Avoids the endpoints that may have caused the failure: the endpoint that the
/// engine names; else, after a refusal or a failed connection, the first stage,
/// which the router itself contacts; else all stages.
static void avoidFailedEndpoints(Request &Req, const Attempt &EndedAttempt,
                                 const AttemptEnded &Report) {
  if (const std::string *Failed = namedFailedEndpoint(EndedAttempt, Report))
    return addAvoidedEndpoint(Req, *Failed);
  if (isProvablyNotRun(Report.m_Result))
    return addAvoidedEndpoint(Req,
                              EndedAttempt.m_Route.front().m_Hop.m_Endpoint);
  Req.m_LastSuspects.clear();
  for (const Stage &RouteStage : EndedAttempt.m_Route)
    Req.m_LastSuspects.push_back(RouteStage.m_Hop.m_Endpoint);
}

void RetrySystem::attemptEnded(EventContext &Context,
                               const AttemptEnded &Report) {
  auto Entry = m_State.m_Attempts.find(Report.m_Attempt);
  if (Entry == m_State.m_Attempts.end())
    return m_State.m_Counters.add(Counter::EventsIgnored);
  Attempt EndedAttempt = std::move(Entry->second);
  m_State.m_Attempts.erase(Entry);
  m_State.m_Planner.noteEnded(Context.m_Now, Report.m_Attempt, Report.m_Result,
                              Report.m_FailedEndpoint);
  Context.add(attemptEndRecord(Context.m_Now, EndedAttempt, Report));
  if (Report.m_Result == AttemptResult::RefusedLeaving) {
    const std::string *Named = namedFailedEndpoint(EndedAttempt, Report);
    m_Endpoints.endpointLeaving(
        Context,
        {Named ? *Named : EndedAttempt.m_Route.front().m_Hop.m_Endpoint,
         {},
         LeavingSource::Answer});
  }
  Request *Req = m_State.request(EndedAttempt.m_Request);
  if (!Req)
    return;
  --Req->m_OpenAttempts;
  if (!isProvablyNotRun(Report.m_Result))
    Req->m_MayHaveRun = true;
  if (Req->m_CurrentAttempt == Report.m_Attempt)
    currentAttemptEnded(Context, *Req, EndedAttempt, Report);
}

void RetrySystem::currentAttemptEnded(EventContext &Context, Request &Req,
                                      const Attempt &EndedAttempt,
                                      const AttemptEnded &Report) {
  Req.m_CurrentAttempt = 0;
  if (Report.m_Result == AttemptResult::Finished)
    return currentAttemptFinished(Context, Req, EndedAttempt, Report);
  m_State.m_Counters.add(Counter::AttemptsFailed);
  if (Report.m_Result == AttemptResult::Rejected)
    return currentAttemptRejected(Context, Req, Report);
  avoidFailedEndpoints(Req, EndedAttempt, Report);
  // An attempt that delivered a token did run. If the endpoint then reports it
  // as not run, the attempt is handled like a lost connection.
  bool IsRefusal =
      isProvablyNotRun(Report.m_Result) && EndedAttempt.m_Tokens == 0;
  // A rolling replacement of endpoints must not use up attempts or budget. Each
  // such refusal removes an endpoint from the candidates, so their number is
  // bounded.
  bool IsBudgetExempt =
      IsRefusal && Report.m_Result == AttemptResult::RefusedLeaving;
  // Refusals for overload and failed connections do not count as attempts: four
  // of them pass within 0.2 s, so engines that are full, or a link that is
  // down, for longer would end streams that have most of their time left. The
  // growing delay, the budget and the deadline bound them instead.
  if (IsRefusal)
    --Req.m_AttemptsSinceProgress;
  Duration Delay = Duration::zero();
  if (IsRefusal && !IsBudgetExempt)
    Delay = RefusalDelay *
            (1 << std::min(Req.m_RefusalsSinceProgress++, MaxDelayDoublings));
  retryOrFinish(Context, Req, std::string(name(Report.m_Result)),
                IsBudgetExempt, Delay);
}

void RetrySystem::currentAttemptFinished(EventContext &Context, Request &Req,
                                         const Attempt &EndedAttempt,
                                         const AttemptEnded &Report) {
  RequestResult Result;
  if (Req.m_Kind == RequestKind::ServiceCall) {
    Result.m_Status = Report.m_Status;
    Context.add(DeliverServiceAnswer{Req.m_Number, EndedAttempt.m_Number});
    if (PoolState *Pool = m_State.m_Pools.find(Req.m_Pool))
      Pool->noteServiceTime(Context.m_Now - EndedAttempt.m_StartedAt);
  }
  m_Finisher.finish(Context, Req, Result);
}

void RetrySystem::currentAttemptRejected(EventContext &Context, Request &Req,
                                         const AttemptEnded &Report) {
  RequestResult Result = failedRequestResult(Req, FailureReason::Rejected);
  // Other statuses are about the router's call, not the caller's request.
  if (Report.m_Status == 400 || Report.m_Status == 413 ||
      Report.m_Status == 422)
    Result.m_Status = Report.m_Status;
  if (!Report.m_Detail.empty())
    Result.m_Message += ": " + Report.m_Detail;
  m_Finisher.finish(Context, Req, Result);
}

void RetrySystem::abandon(EventContext &Context, Request &Req,
                          Attempt &CurrentAttempt, const std::string &Reason,
                          const std::vector<std::string> &Avoid,
                          CulpritKnowledge Culprit, bool IsBudgetExempt) {
  CurrentAttempt.m_IsCancelled = true;
  Req.m_CurrentAttempt = 0;
  if (Culprit == CulpritKnowledge::Known)
    for (const std::string &Endpoint : Avoid)
      addAvoidedEndpoint(Req, Endpoint);
  else
    Req.m_LastSuspects = Avoid;
  Context.add(abandonRecord(Context.m_Now, CurrentAttempt, Reason, Avoid));
  Context.add(CancelAttempt{CurrentAttempt.m_Number});
  retryOrFinish(Context, Req, Reason, IsBudgetExempt, Duration::zero());
}

bool RetrySystem::isRetryAllowed(const Request &Req) const {
  return !Req.m_IsCallerGone && (Req.m_IsIdempotent || !Req.canHaveRun()) &&
         Req.m_AttemptsSinceProgress < MaxAttempts;
}

bool RetrySystem::needsRetryBudget(const Request &Req) {
  return Req.m_Delivered == 0;
}

std::optional<FailureReason>
RetrySystem::retryDenialReason(EventContext &Context, const Request &Req,
                               bool IsBudgetExempt) {
  if (Req.m_IsCallerGone)
    return FailureReason::CallerGone;
  if (!Req.m_IsIdempotent && Req.canHaveRun())
    return FailureReason::NotRepeatable;
  if (Req.m_Deadline <= Context.m_Now)
    return FailureReason::DeadlinePassed;
  if (!isRetryAllowed(Req))
    return FailureReason::AttemptsExhausted;
  PoolState *Pool = m_State.m_Pools.find(Req.m_Pool);
  if (!Pool)
    return FailureReason::PoolRemoved;
  if (!IsBudgetExempt && needsRetryBudget(Req) &&
      !Pool->m_Budget.tryTake(Context.m_Now))
    return FailureReason::BudgetExhausted;
  return std::nullopt;
}

void RetrySystem::retryOrFinish(EventContext &Context, Request &Req,
                                const std::string &Reason, bool IsBudgetExempt,
                                Duration Delay) {
  if (Req.hasAllTokens())
    return m_Finisher.finish(Context, Req, RequestResult());
  if (auto DenialReason = retryDenialReason(Context, Req, IsBudgetExempt))
    return m_Finisher.fail(Context, Req, *DenialReason);
  Req.m_NotBefore = Context.m_Now + Delay;
  bool IsResume = Req.m_Delivered > 0;
  m_State.m_Counters.add(IsResume ? Counter::Resumes : Counter::Retries);
  Context.add(retryRecord(Context.m_Now, Req, Reason, IsResume));
  m_Dispatcher.scheduleRetry(Context, Req);
}

} // namespace parsleyring
