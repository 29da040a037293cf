#include "requests/RequestFinisher.h"

#include "requests/AuditRecords.h"

namespace parsleyring {

static FinishRequest finishAction(RequestNumber Number, const Ending &End) {
  return {Number,     End.m_Outcome, End.m_Status,
          End.m_Code, End.m_Message, End.m_RetryAfterSeconds};
}

void RequestFinisher::reject(Context &Call, RequestNumber Number,
                             const std::string &Account,
                             const std::string &Target, const Ending &End) {
  m_State.m_Counters.add(Counter::RequestsRejected);
  count(End.m_Outcome);
  Call.add(rejectionRecord(Call.m_Now, Number, Account, Target, End,
                           m_State.m_Version));
  Call.add(outcomeRecord(Call.m_Now, Number, End, 0, Duration::zero()));
  Call.add(finishAction(Number, End));
}

void RequestFinisher::finish(Context &Call, Request &Subject,
                             const Ending &End) {
  RequestNumber Number = Subject.m_Number;
  cancelCurrentAttempt(Call, Subject);
  leaveQueue(Subject);
  settleClaim(Call, Subject, End);
  count(End.m_Outcome);
  Call.add(outcomeRecord(Call.m_Now, Number, End, Subject.m_Delivered,
                         Call.m_Now - Subject.m_ArrivedAt));
  Call.add(finishAction(Number, End));
  m_State.m_Accounts.noteEnded(Call.m_Now, Subject.m_Account);
  m_State.m_Requests.erase(Number);
}

void RequestFinisher::fail(Context &Call, Request &Subject,
                           FailureReason Reason) {
  if (Reason == FailureReason::DeadlinePassed)
    recordFailedSearch(Call, Subject);
  finish(Call, Subject, failureEnding(Subject, Reason));
}

void RequestFinisher::recordFailedSearch(Context &Call,
                                         const Request &Subject) {
  bool IsWithoutRoute = Subject.m_State == RequestState::Queued ||
                        Subject.m_State == RequestState::Waiting;
  const PoolState *Pool = m_State.m_Pools.find(Subject.m_Pool);
  if (IsWithoutRoute && Pool && Pool->m_FailedSearch &&
      Pool->m_FailedSearch->m_At >= Subject.m_ArrivedAt)
    Call.add(failedSearchRecord(Call.m_Now, Subject, *Pool->m_FailedSearch,
                                m_State.m_Version));
}

void RequestFinisher::settleClaim(Context &Call, const Request &Subject,
                                  const Ending &End) {
  if (Subject.m_State == RequestState::Claiming)
    m_State.m_AbandonedClaims.insert(Subject.m_Number);
  // After an unknown outcome the claim stays granted for good, so that a repeat
  // with the same key is not run and is told that the outcome is unknown.
  if (!Subject.m_HasClaim || End.m_Outcome == Outcome::Unknown ||
      End.m_Outcome == Outcome::Failed)
    return;
  ClaimEnd Kind = End.m_Outcome == Outcome::NotRun ? ClaimEnd::Released
                                                   : ClaimEnd::Completed;
  int Status = Kind == ClaimEnd::Completed ? End.m_Status : 0;
  Call.add(claimEndRecord(Call.m_Now, Subject.m_Number, Kind));
  Call.add(EndClaim{Subject.m_Number, Kind, Status});
}

void RequestFinisher::cancelCurrentAttempt(Context &Call,
                                           const Request &Subject) {
  Attempt *Current = m_State.attempt(Subject.m_CurrentAttempt);
  if (!Current || Current->m_IsCancelled)
    return;
  Current->m_IsCancelled = true;
  Call.add(CancelAttempt{Current->m_Number});
}

void RequestFinisher::leaveQueue(const Request &Subject) {
  PoolState *Pool = m_State.m_Pools.find(Subject.m_Pool);
  if (!Pool)
    return;
  if (Subject.m_State == RequestState::Waiting)
    Pool->m_Waiting.erase(Subject.m_Number);
  if (Subject.m_State == RequestState::Queued) {
    // remove() finds nothing if the queue displaced the request; the wait
    // estimate must count that departure as well.
    Pool->m_Queue.remove(Subject.m_Number);
    Pool->m_Wait.noteLeft(Subject.m_Account, std::nullopt);
  }
}

void RequestFinisher::count(Outcome End) {
  switch (End) {
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
