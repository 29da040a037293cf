#ifndef PARSLEYRING_REQUESTS_TIMEOUTSYSTEM_H
#define PARSLEYRING_REQUESTS_TIMEOUTSYSTEM_H

#include "requests/CancellationSystem.h"
#include "requests/ClaimSystem.h"
#include "requests/EndpointSystem.h"
#include "requests/RequestFinisher.h"
#include "requests/RetrySystem.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Ends what takes too long: requests past their deadline, streams without
/// progress, and idempotent service calls that are likely lost.
class TimeoutSystem {
public:
  TimeoutSystem(RouterState &State, RequestFinisher &Finisher,
                ClaimSystem &Claims, EndpointSystem &Endpoints,
                RetrySystem &Retries, CancellationSystem &Cancellations)
      : m_State(State), m_Finisher(Finisher), m_Claims(Claims),
        m_Endpoints(Endpoints), m_Retries(Retries),
        m_Cancellations(Cancellations) {}

  /// Takes the time since the last event out of the silence of the streams if
  /// this VM was paused: their tokens may be waiting in the sockets.
  void excusePause(Time Now);
  void run(Context &Call);

private:
  void checkDeadline(Context &Call, Request &Subject);
  void checkProgress(Context &Call, Attempt &Current);
  void stalled(Context &Call, Request &Subject, Attempt &Current);
  void cutServiceCall(Context &Call, Request &Subject, Attempt &Current);
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
