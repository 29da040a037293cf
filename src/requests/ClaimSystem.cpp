#include "requests/ClaimSystem.h"

#include "requests/AuditRecords.h"

#include <algorithm>

namespace parsleyring {

/// ClaimSettled is due by the deadline of the claim; this allows for scheduling
/// delay.
static constexpr Duration SettleGrace = std::chrono::milliseconds(500);

static Time claimDeadline(const RouterState &State, const Request &Subject) {
  return std::min(Subject.m_Deadline,
                  Subject.m_ArrivedAt + State.m_Options.m_ClaimTimeout);
}

void ClaimSystem::request(Context &Call, Request &Subject) {
  Subject.m_State = RequestState::Claiming;
  m_State.m_Counters.add(Counter::ClaimsRequested);
  Call.add(claimRecord(Call.m_Now, Subject, "requested", ""));
  Call.add(RequestClaim{Subject.m_Number, Subject.m_Account,
                        Subject.m_IdempotencyKey, Subject.m_BodySha256,
                        claimDeadline(m_State, Subject)});
}

void ClaimSystem::settled(Context &Call, const ClaimSettled &Settled) {
  Request *Subject = m_State.request(Settled.m_Request);
  if (!Subject || Subject->m_State != RequestState::Claiming)
    return settledTooLate(Call, Settled);
  Call.add(claimRecord(Call.m_Now, *Subject,
                       std::string(name(Settled.m_Result)), Settled.m_Detail));
  // Leaves Claiming for every result: a request that ends while Claiming is
  // recorded as one whose claim is still to be settled.
  Subject->m_State = RequestState::Waiting;
  if (Settled.m_Result == ClaimResult::Granted)
    return granted(Call, *Subject);
  m_Finisher.finish(Call, *Subject, claimEnding(Settled.m_Result));
}

void ClaimSystem::granted(Context &Call, Request &Subject) {
  Subject.m_HasClaim = true;
  if (Subject.m_IsCallerGone)
    return m_Finisher.fail(Call, Subject, FailureReason::CallerGone);
  if (Subject.m_Deadline <= Call.m_Now)
    return m_Finisher.fail(Call, Subject, FailureReason::DeadlinePassed);
  m_Queues.enqueue(Call, Subject);
}

void ClaimSystem::settledTooLate(Context &Call, const ClaimSettled &Settled) {
  // A request in m_AbandonedClaims ended while Claiming, so it was never
  // dispatched. The call of any other claim may have run; that claim must not
  // be released.
  if (m_State.m_AbandonedClaims.erase(Settled.m_Request) == 0)
    return m_State.m_Counters.add(Counter::EventsIgnored);
  if (Settled.m_Result != ClaimResult::Granted)
    return;
  m_State.m_Counters.add(Counter::ClaimsReleasedLate);
  Call.add(claimEndRecord(Call.m_Now, Settled.m_Request, ClaimEnd::Released));
  Call.add(EndClaim{Settled.m_Request, ClaimEnd::Released, 0});
}

Time ClaimSystem::giveUpTime(const Request &Subject) const {
  return claimDeadline(m_State, Subject) + SettleGrace;
}

} // namespace parsleyring
