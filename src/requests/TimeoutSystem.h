#ifndef PARSLEYRING_REQUESTS_TIMEOUTSYSTEM_H
#define PARSLEYRING_REQUESTS_TIMEOUTSYSTEM_H

#include "requests/CancellationSystem.h"
#include "requests/ClaimSystem.h"
#include "requests/EndpointSystem.h"
#include "requests/RequestFinisher.h"
#include "requests/RetrySystem.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Ends requests past their deadline, and replaces stalled streams and slow
/// idempotent service calls by further attempts.
class TimeoutSystem {
public:
  TimeoutSystem(RouterState &State, RequestFinisher &Finisher,
                ClaimSystem &Claims, EndpointSystem &Endpoints,
                RetrySystem &Retries, CancellationSystem &Cancellations)
      : m_State(State), m_Finisher(Finisher), m_Claims(Claims),
        m_Endpoints(Endpoints), m_Retries(Retries),
        m_Cancellations(Cancellations) {}

  /// If this VM was paused since the last event, excludes the pause from the
  /// progress timeouts: tokens may be waiting unread in the sockets.
  void compensateForPause(Time Now);
  /// Checks all deadlines and progress timeouts; called at each tick.
  void run(EventContext &Context);

private:
  void checkDeadline(EventContext &Context, Request &Req);
  void checkProgress(EventContext &Context, Attempt &CurrentAttempt);
  void streamStalled(EventContext &Context, Request &Req,
                     Attempt &CurrentAttempt);
  void replaceSlowCall(EventContext &Context, Request &Req,
                       Attempt &CurrentAttempt);
  /// True if a further attempt is allowed. Takes a retry from the budget of the
  /// pool if the attempt needs one.
  bool tryReserveRetry(const EventContext &Context, const Request &Req);

  RouterState &m_State;
  RequestFinisher &m_Finisher;
  ClaimSystem &m_Claims;
  EndpointSystem &m_Endpoints;
  RetrySystem &m_Retries;
  CancellationSystem &m_Cancellations;
  std::optional<Time> m_LastEventAt;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_TIMEOUTSYSTEM_H
