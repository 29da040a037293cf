#include "requests/Dispatcher.h"

#include "requests/AuditRecords.h"

namespace parsleyring {

static double shareOf(const RouterState &State, const std::string &Account) {
  const ClientAccount *Found = State.m_AccountIndex.byName(Account);
  return Found ? Found->m_Share : 1;
}

/// Cost charged to the account in the fair queue. A completion is charged for
/// its prompt and for the most tokens that it may generate.
static double costOf(const Request &Subject) {
  return 1.0 + Subject.m_PromptTokens + Subject.m_MaxTokens;
}

static RouteQuery queryFor(const Request &Subject) {
  RouteQuery Query;
  Query.m_Pool = Subject.m_Pool;
  Query.m_Layers = Subject.m_Layers;
  Query.m_PromptTokens = Subject.m_PromptTokens + Subject.m_Delivered;
  Query.m_MaxTokens = Subject.m_MaxTokens - Subject.m_Delivered;
  Query.m_PrefixHashes = Subject.m_PrefixHashes;
  Query.m_Avoid = Subject.m_Avoid;
  return Query;
}

void Dispatcher::enqueue(Context &Call, Request &Subject) {
  PoolState *Pool = m_State.m_Pools.find(Subject.m_Pool);
  if (!Pool)
    return m_Finisher.fail(Call, Subject, FailureReason::PoolRemoved);
  double Share = shareOf(m_State, Subject.m_Account);
  QueueEntry Entry{Subject.m_Number,   Subject.m_Account, Share,
                   Subject.m_Priority, costOf(Subject),   Subject.m_Deadline};
  PushResult Result = Pool->m_Queue.push(Call.m_Now, Entry);
  if (!Result.m_IsQueued) {
    m_Finisher.fail(Call, Subject, FailureReason::QueueFull);
    return;
  }
  Subject.m_State = RequestState::Queued;
  Pool->m_Wait.noteQueued(Subject.m_Account, Share);
  if (!Result.m_Displaced)
    return;
  if (Request *Displaced = m_State.request(*Result.m_Displaced))
    m_Finisher.fail(Call, *Displaced, FailureReason::QueueFull);
}

void Dispatcher::requeue(Context &Call, Request &Subject) {
  PoolState *Pool = m_State.m_Pools.find(Subject.m_Pool);
  if (!Pool)
    return m_Finisher.fail(Call, Subject, FailureReason::PoolRemoved);
  Subject.m_State = RequestState::Waiting;
  Pool->m_Waiting.insert(Subject.m_Number);
}

void Dispatcher::dispatch(Context &Call) {
  for (auto &[Name, Pool] : m_State.m_Pools.all()) {
    if (!dispatchWaiting(Call, Pool))
      continue;
    while (dispatchNext(Call, Pool)) {
    }
  }
}

bool Dispatcher::dispatchWaiting(Context &Call, PoolState &Pool) {
  for (auto Entry = Pool.m_Waiting.begin(); Entry != Pool.m_Waiting.end();) {
    // Advances first, because starting an attempt erases the entry.
    Request *Subject = m_State.request(*Entry++);
    if (Subject && Subject->m_NotBefore <= Call.m_Now &&
        Subject->m_Deadline > Call.m_Now && !tryStart(Call, Pool, *Subject))
      return false;
  }
  return true;
}

bool Dispatcher::dispatchNext(Context &Call, PoolState &Pool) {
  auto Number = Pool.m_Queue.front(Call.m_Now);
  if (!Number)
    return false;
  Request *Subject = m_State.request(*Number);
  if (!Subject) {
    Pool.m_Queue.remove(*Number);
    return true;
  }
  // Checked here as well as at each tick: after a pause of this VM, requests
  // may be past their deadline before the next tick.
  if (Subject->m_Deadline <= Call.m_Now) {
    m_Finisher.fail(Call, *Subject, FailureReason::DeadlinePassed);
    return true;
  }
  return tryStart(Call, Pool, *Subject);
}

bool Dispatcher::tryStart(Context &Call, PoolState &Pool, Request &Subject) {
  RoutePlan Plan = m_State.m_Planner.plan(Call.m_Now, queryFor(Subject));
  if (Plan.m_Status != PlanStatus::Planned) {
    Pool.m_FailedSearch = FailedSearch{Call.m_Now, std::move(Plan)};
    return false;
  }
  if (Subject.m_State == RequestState::Queued) {
    Pool.m_Queue.pop(Call.m_Now);
    Pool.m_Wait.noteLeft(Subject.m_Account, Call.m_Now);
  }
  Pool.m_Waiting.erase(Subject.m_Number);
  start(Call, Pool, Subject, Plan);
  return true;
}

void Dispatcher::start(Context &Call, const PoolState &Pool, Request &Subject,
                       const RoutePlan &Plan) {
  AttemptNumber Number = ++m_State.m_LastAttempt;
  Subject.m_State = RequestState::Running;
  Subject.m_CurrentAttempt = Number;
  ++Subject.m_Epoch;
  ++Subject.m_AttemptsSinceProgress;
  ++Subject.m_OpenAttempts;
  Attempt &Started = m_State.m_Attempts[Number];
  Started.m_Number = Number;
  Started.m_Request = Subject.m_Number;
  Started.m_Epoch = Subject.m_Epoch;
  Started.m_Route = Plan.m_Route;
  Started.m_StartedAt = Call.m_Now;
  Started.m_ProgressAt = Call.m_Now;
  Started.m_ProgressTimeout = Subject.m_Kind == RequestKind::Completion
                                  ? m_State.m_Options.m_FirstTokenTimeout
                                  : Pool.cutTime();
  m_State.m_Planner.noteStarted(Call.m_Now, Number, Plan.m_Route);
  m_State.m_Counters.add(Counter::AttemptsStarted);
  Call.add(routeRecord(Call.m_Now, Subject, Number, Plan, m_State.m_Version,
                       m_State.m_Options.m_Seed));
  addStartAction(Call, Subject, Started);
}

void Dispatcher::addStartAction(Context &Call, const Request &Subject,
                                const Attempt &Started) {
  if (Subject.m_Kind == RequestKind::Completion) {
    Call.add(StartCompletion{Subject.m_Number, Started.m_Number,
                             Subject.m_Epoch, Started.m_Route,
                             Subject.m_Delivered});
    return;
  }
  const Stage &Target = Started.m_Route.front();
  // A repeated call uses a new connection as well: a dead pooled connection may
  // have caused the failure of the previous attempt.
  bool IsFresh = !Subject.m_IsIdempotent || Subject.m_Epoch > 1;
  Call.add(StartServiceCall{Subject.m_Number, Started.m_Number,
                            Target.m_Hop.m_Endpoint, Target.m_Address, IsFresh,
                            Subject.m_Deadline - Call.m_Now});
}

} // namespace parsleyring
