#ifndef PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H
#define PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H

#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Ends requests whose caller is gone, as far as that does no harm. A caller
/// that has tokens may have lost only its connection, and gets some time to ask
/// for the rest.
class CancellationSystem {
public:
  CancellationSystem(RouterState &State, RequestFinisher &Finisher)
      : m_State(State), m_Finisher(Finisher) {}

  void callerGone(Context &Call, const CallerGone &Gone);
  void callerReturned(Context &Call, const CallerReturned &Returned);
  /// Ends the request if its caller did not come back in time. Returns true if
  /// it is ended.
  bool checkReturn(Context &Call, Request &Subject);

private:
  RouterState &m_State;
  RequestFinisher &m_Finisher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H
