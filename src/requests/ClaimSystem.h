#ifndef PARSLEYRING_REQUESTS_CLAIMSYSTEM_H
#define PARSLEYRING_REQUESTS_CLAIMSYSTEM_H

#include "requests/Dispatcher.h"
#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Requests a claim for each non-idempotent call with an idempotency key, and
/// queues the call once the claim is granted.
class ClaimSystem {
public:
  ClaimSystem(RouterState &State, RequestFinisher &Finisher,
              Dispatcher &RequestDispatcher)
      : m_State(State), m_Finisher(Finisher), m_Dispatcher(RequestDispatcher) {}

  void requestClaim(EventContext &Context, Request &Req);
  void claimSettled(EventContext &Context, const ClaimSettled &Settled);
  /// Time at which a request stops waiting for its claim.
  Time settlementDeadline(const Request &Req) const;

private:
  void handleLateSettlement(EventContext &Context, const ClaimSettled &Settled);
  void claimGranted(EventContext &Context, Request &Req);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
  Dispatcher &m_Dispatcher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_CLAIMSYSTEM_H
