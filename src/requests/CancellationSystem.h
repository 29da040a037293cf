#ifndef PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H
#define PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H

#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Ends requests whose caller closed the connection, unless they wait for a
/// claim or run a non-idempotent call. A caller that already received tokens
/// gets a few seconds to reconnect and fetch the rest.
class CancellationSystem {
public:
  CancellationSystem(RouterState &State, RequestFinisher &Finisher)
      : m_State(State), m_Finisher(Finisher) {}

  void callerDisconnected(EventContext &Context,
                          const CallerDisconnected &Disconnected);
  void callerReturned(EventContext &Context, const CallerReturned &Returned);
  /// Ends the request if its caller did not reconnect in time. Returns true if
  /// the request was ended.
  bool finishIfCallerGone(EventContext &Context, Request &Req);

private:
  RouterState &m_State;
  RequestFinisher &m_Finisher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H
