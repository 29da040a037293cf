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
  ClaimSystem(RouterState &State, RequestFinisher &Finisher, Dispatcher &Queues)
      : m_State(State), m_Finisher(Finisher), m_Queues(Queues) {}

  void request(Context &Call, Request &Subject);
  void settled(Context &Call, const ClaimSettled &Settled);
  /// Time at which a request stops waiting for its claim.
  Time giveUpTime(const Request &Subject) const;

private:
  void settledTooLate(Context &Call, const ClaimSettled &Settled);
  void granted(Context &Call, Request &Subject);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
  Dispatcher &m_Queues;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_CLAIMSYSTEM_H
