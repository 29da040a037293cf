#include "requests/RequestFinisher.h"

#include "requests/AuditRecords.h"

namespace parsleyring {

static FinishRequest finishAction(RequestNumber Number,
                                  const RequestResult &Result) {
  return {Number,        Result.m_Outcome, Result.m_Status,
          Result.m_Code, Result.m_Message, Result.m_RetryAfterSeconds};
}

void RequestFinisher::reject(EventContext &Context, RequestNumber Number,
                             const std::string &Account,
                             const std::string &Target,
                             const RequestResult &Result) {
  m_State.m_Counters.add(Counter::RequestsRejected);
  countOutcome(Result.m_Outcome);
  Context.add(rejectionRecord(Context.m_Now, Number, Account, Target, Result,
                              m_State.m_Version));
  Context.add(
      outcomeRecord(Context.m_Now, Number, Result, 0, Duration::zero()));
  Context.add(finishAction(Number, Result));
}

void RequestFinisher::finish(EventContext &Context, Request &Req,
                             const RequestResult &Result) {
  RequestNumber Number = Req.m_Number;
  cancelCurrentAttempt(Context, Req);
  leaveQueue(Req);
  settleClaim(Context, Req, Result);
  countOutcome(Result.m_Outcome);
  Context.add(outcomeRecord(Context.m_Now, Number, Result, Req.m_Delivered,
                            Context.m_Now - Req.m_ArrivedAt));
  Context.add(finishAction(Number, Result));
  m_State.m_Accounts.noteEnded(Context.m_Now, Req.m_Account);
  m_State.m_Requests.erase(Number);
}

void RequestFinisher::fail(EventContext &Context, Request &Req,
                           FailureReason Reason) {
  if (Reason == FailureReason::DeadlinePassed)
    recordFailedSearch(Context, Req);
  finish(Context, Req, failedRequestResult(Req, Reason));
}

void RequestFinisher::recordFailedSearch(EventContext &Context,
                                         const Request &Req) {
  bool IsWithoutRoute = Req.m_State == RequestState::Queued ||
                        Req.m_State == RequestState::AwaitingRetry;
  const PoolState *Pool = m_State.m_Pools.find(Req.m_Pool);
  if (IsWithoutRoute && Pool && Pool->m_LastFailedSearch &&
      Pool->m_LastFailedSearch->m_At >= Req.m_ArrivedAt)
    Context.add(failedSearchRecord(
        Context.m_Now, Req, *Pool->m_LastFailedSearch, m_State.m_Version));
}

void RequestFinisher::settleClaim(EventContext &Context, const Request &Req,
                                  const RequestResult &Result) {
  if (Req.m_State == RequestState::Claiming)
    m_State.m_AbandonedClaims.insert(Req.m_Number);
  // After an unknown outcome the claim is not ended, so that a repeat with the
  // same key is not run and is told that the outcome is unknown.
  if (!Req.m_HasClaim || Result.m_Outcome == Outcome::Unknown ||
      Result.m_Outcome == Outcome::Failed)
    return;
  ClaimFinalState Kind = Result.m_Outcome == Outcome::NotRun
                             ? ClaimFinalState::Released
                             : ClaimFinalState::Completed;
  int Status = Kind == ClaimFinalState::Completed ? Result.m_Status : 0;
  Context.add(claimEndRecord(Context.m_Now, Req.m_Number, Kind));
  Context.add(EndClaim{Req.m_Number, Kind, Status});
}

void RequestFinisher::cancelCurrentAttempt(EventContext &Context,
                                           const Request &Req) {
  Attempt *CurrentAttempt = m_State.attempt(Req.m_CurrentAttempt);
  if (!CurrentAttempt || CurrentAttempt->m_IsCancelled)
    return;
  CurrentAttempt->m_IsCancelled = true;
  Context.add(CancelAttempt{CurrentAttempt->m_Number});
}

void RequestFinisher::leaveQueue(const Request &Req) {
  PoolState *Pool = m_State.m_Pools.find(Req.m_Pool);
  if (!Pool)
    return;
  if (Req.m_State == RequestState::AwaitingRetry)
    Pool->m_AwaitingRetry.erase(Req.m_Number);
  if (Req.m_State == RequestState::Queued) {
    // remove() finds nothing if the queue displaced the request; the wait
    // estimate must count that departure as well.
    Pool->m_Queue.remove(Req.m_Number);
    Pool->m_WaitEstimate.noteDequeued(Req.m_Account, std::nullopt);
  }
}

void RequestFinisher::countOutcome(Outcome Result) {
  switch (Result) {
  case Outcome::Completed:
    return m_State.m_Counters.add(Counter::RequestsCompleted);
  case Outcome::Failed:
    return m_State.m_Counters.add(Counter::RequestsFailed);
  case Outcome::NotRun:
    return m_State.m_Counters.add(Counter::RequestsNotRun);
  case Outcome::Unknown:
    return m_State.m_Counters.add(Counter::RequestsUnknown);
  }
}

} // namespace parsleyring
