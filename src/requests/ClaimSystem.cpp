#include "requests/ClaimSystem.h"

#include "requests/AuditRecords.h"

#include <algorithm>

namespace parsleyring {

/// ClaimSettled is due by the deadline of the claim; this allows for scheduling
/// delay.
static constexpr Duration SettlementGrace = std::chrono::milliseconds(500);

static Time claimDeadline(const RouterState &State, const Request &Req) {
  return std::min(Req.m_Deadline,
                  Req.m_ArrivedAt + State.m_Options.m_ClaimTimeout);
}

void ClaimSystem::requestClaim(EventContext &Context, Request &Req) {
  Req.m_State = RequestState::Claiming;
  m_State.m_Counters.add(Counter::ClaimsRequested);
  Context.add(claimRecord(Context.m_Now, Req, "requested", ""));
  Context.add(RequestClaim{Req.m_Number, Req.m_Account, Req.m_IdempotencyKey,
                           Req.m_BodySha256, claimDeadline(m_State, Req)});
}

void ClaimSystem::claimSettled(EventContext &Context,
                               const ClaimSettled &Settled) {
  Request *Req = m_State.request(Settled.m_Request);
  if (!Req || Req->m_State != RequestState::Claiming)
    return handleLateSettlement(Context, Settled);
  Context.add(claimRecord(Context.m_Now, *Req,
                          std::string(name(Settled.m_Result)),
                          Settled.m_Detail));
  // Leaves Claiming for every result: a request that ends while Claiming is
  // recorded as one whose claim is still to be settled.
  Req->m_State = RequestState::AwaitingRetry;
  if (Settled.m_Result == ClaimResult::Granted)
    return claimGranted(Context, *Req);
  m_Finisher.finish(Context, *Req, ungrantedClaimResult(Settled.m_Result));
}

void ClaimSystem::claimGranted(EventContext &Context, Request &Req) {
  Req.m_HasClaim = true;
  if (Req.m_IsCallerGone)
    return m_Finisher.fail(Context, Req, FailureReason::CallerGone);
  if (Req.m_Deadline <= Context.m_Now)
    return m_Finisher.fail(Context, Req, FailureReason::DeadlinePassed);
  m_Dispatcher.enqueue(Context, Req);
}

void ClaimSystem::handleLateSettlement(EventContext &Context,
                                       const ClaimSettled &Settled) {
  // A request in m_AbandonedClaims ended while Claiming, so it was never
  // dispatched. The call of any other claim may have run; that claim must not
  // be released.
  if (m_State.m_AbandonedClaims.erase(Settled.m_Request) == 0)
    return m_State.m_Counters.add(Counter::EventsIgnored);
  if (Settled.m_Result != ClaimResult::Granted)
    return;
  m_State.m_Counters.add(Counter::ClaimsReleasedLate);
  Context.add(claimEndRecord(Context.m_Now, Settled.m_Request,
                             ClaimFinalState::Released));
  Context.add(EndClaim{Settled.m_Request, ClaimFinalState::Released, 0});
}

Time ClaimSystem::settlementDeadline(const Request &Req) const {
  return claimDeadline(m_State, Req) + SettlementGrace;
}

} // namespace parsleyring
