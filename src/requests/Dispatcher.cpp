#include "requests/Dispatcher.h"

#include "requests/AuditRecords.h"

namespace parsleyring {

static double accountShare(const RouterState &State,
                           const std::string &Account) {
  const ClientAccount *Found = State.m_AccountIndex.byName(Account);
  return Found ? Found->m_Share : 1;
}

/// Cost charged to the account in the fair queue. A completion is charged for
/// its prompt and for the most tokens that it may generate.
static double queueCost(const Request &Req) {
  return 1.0 + Req.m_PromptTokens + Req.m_MaxTokens;
}

static RouteQuery routeQuery(const Request &Req) {
  RouteQuery Query;
  Query.m_Pool = Req.m_Pool;
  Query.m_Layers = Req.m_Layers;
  Query.m_PromptTokens = Req.m_PromptTokens + Req.m_Delivered;
  Query.m_MaxTokens = Req.m_MaxTokens - Req.m_Delivered;
  Query.m_PrefixHashes = Req.m_PrefixHashes;
  Query.m_Avoid = Req.avoided();
  return Query;
}

void Dispatcher::enqueue(EventContext &Context, Request &Req) {
  PoolState *Pool = m_State.m_Pools.find(Req.m_Pool);
  if (!Pool)
    return m_Finisher.fail(Context, Req, FailureReason::PoolRemoved);
  double Share = accountShare(m_State, Req.m_Account);
  QueueEntry Entry{Req.m_Number,   Req.m_Account,  Share,
                   Req.m_Priority, queueCost(Req), Req.m_Deadline};
  PushResult Result = Pool->m_Queue.push(Context.m_Now, Entry);
  if (!Result.m_IsQueued) {
    m_Finisher.fail(Context, Req, FailureReason::QueueFull);
    return;
  }
  Req.m_State = RequestState::Queued;
  Pool->m_WaitEstimate.noteQueued(Req.m_Account, Share);
  if (!Result.m_Displaced)
    return;
  if (Request *Displaced = m_State.request(*Result.m_Displaced))
    m_Finisher.fail(Context, *Displaced, FailureReason::QueueFull);
}

void Dispatcher::scheduleRetry(EventContext &Context, Request &Req) {
  PoolState *Pool = m_State.m_Pools.find(Req.m_Pool);
  if (!Pool)
    return m_Finisher.fail(Context, Req, FailureReason::PoolRemoved);
  Req.m_State = RequestState::AwaitingRetry;
  Pool->m_AwaitingRetry.insert(Req.m_Number);
}

void Dispatcher::dispatch(EventContext &Context) {
  for (auto &[Name, Pool] : m_State.m_Pools.all()) {
    if (!dispatchRetries(Context, Pool))
      continue;
    while (dispatchNextQueued(Context, Pool)) {
    }
  }
}

bool Dispatcher::dispatchRetries(EventContext &Context, PoolState &Pool) {
  for (auto Entry = Pool.m_AwaitingRetry.begin();
       Entry != Pool.m_AwaitingRetry.end();) {
    // Advances first, because starting an attempt erases the entry.
    Request *Req = m_State.request(*Entry++);
    if (Req && Req->m_NotBefore <= Context.m_Now &&
        Req->m_Deadline > Context.m_Now &&
        !tryStartAttempt(Context, Pool, *Req))
      return false;
  }
  return true;
}

bool Dispatcher::dispatchNextQueued(EventContext &Context, PoolState &Pool) {
  auto Number = Pool.m_Queue.front(Context.m_Now);
  if (!Number)
    return false;
  Request *Req = m_State.request(*Number);
  if (!Req) {
    Pool.m_Queue.remove(*Number);
    return true;
  }
  // Checked here as well as at each tick: after a pause of this VM, requests
  // may be past their deadline before the next tick.
  if (Req->m_Deadline <= Context.m_Now) {
    m_Finisher.fail(Context, *Req, FailureReason::DeadlinePassed);
    return true;
  }
  return tryStartAttempt(Context, Pool, *Req);
}

bool Dispatcher::tryStartAttempt(EventContext &Context, PoolState &Pool,
                                 Request &Req) {
  RoutePlan Plan = m_State.m_Planner.plan(Context.m_Now, routeQuery(Req));
  if (Plan.m_Status != PlanStatus::Planned) {
    Pool.m_LastFailedSearch = FailedSearch{Context.m_Now, std::move(Plan)};
    return false;
  }
  if (Req.m_State == RequestState::Queued) {
    Pool.m_Queue.pop(Context.m_Now);
    Pool.m_WaitEstimate.noteDequeued(Req.m_Account, Context.m_Now);
  }
  Pool.m_AwaitingRetry.erase(Req.m_Number);
  startAttempt(Context, Pool, Req, Plan);
  return true;
}

void Dispatcher::startAttempt(EventContext &Context, const PoolState &Pool,
                              Request &Req, const RoutePlan &Plan) {
  AttemptNumber Number = ++m_State.m_LastAttempt;
  Req.m_State = RequestState::Running;
  Req.m_CurrentAttempt = Number;
  ++Req.m_Epoch;
  ++Req.m_AttemptsSinceProgress;
  ++Req.m_OpenAttempts;
  Attempt &Started = m_State.m_Attempts[Number];
  Started.m_Number = Number;
  Started.m_Request = Req.m_Number;
  Started.m_Epoch = Req.m_Epoch;
  Started.m_Route = Plan.m_Route;
  Started.m_StartedAt = Context.m_Now;
  Started.m_ProgressAt = Context.m_Now;
  Started.m_ProgressTimeout = Req.m_Kind == RequestKind::Completion
                                  ? m_State.m_Options.m_FirstTokenTimeout
                                  : Pool.slowCallTimeout();
  m_State.m_Planner.noteStarted(Context.m_Now, Number, Plan.m_Route);
  m_State.m_Counters.add(Counter::AttemptsStarted);
  Context.add(routeRecord(Context.m_Now, Req, Number, Plan, m_State.m_Version,
                          m_State.m_Options.m_Seed));
  addStartAction(Context, Req, Started);
}

void Dispatcher::addStartAction(EventContext &Context, const Request &Req,
                                const Attempt &Started) {
  if (Req.m_Kind == RequestKind::Completion) {
    Context.add(StartCompletion{Req.m_Number, Started.m_Number, Req.m_Epoch,
                                Started.m_Route, Req.m_Delivered});
    return;
  }
  const Stage &Target = Started.m_Route.front();
  // A repeated call uses a new connection as well: a dead pooled connection may
  // have caused the failure of the previous attempt.
  bool IsFresh = !Req.m_IsIdempotent || Req.m_Epoch > 1;
  Context.add(StartServiceCall{Req.m_Number, Started.m_Number,
                               Target.m_Hop.m_Endpoint, Target.m_Address,
                               IsFresh, Req.m_Deadline - Context.m_Now});
}

} // namespace parsleyring
