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
  void excusePause(Time Now);
  /// Checks all deadlines and progress timeouts; called at each tick.
  void run(Context &Call);

private:
  void checkDeadline(Context &Call, Request &Subject);
  void checkProgress(Context &Call, Attempt &Current);
  void stalled(Context &Call, Request &Subject, Attempt &Current);
  void cutServiceCall(Context &Call, Request &Subject, Attempt &Current);
  /// True if a further attempt is allowed. Takes a retry from the budget of the
  /// pool if the attempt needs one.
  bool canAfford(const Context &Call, const Request &Subject);

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
