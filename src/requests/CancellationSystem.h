#ifndef PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H
#define PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H

#include "requests/RequestFinisher.h"
#include "requests/RouterState.h"

namespace parsleyring {

/// Ends requests whose caller is gone, as far as that does no harm.
class CancellationSystem {
public:
  CancellationSystem(RouterState &State, RequestFinisher &Finisher)
      : m_State(State), m_Finisher(Finisher) {}

  void callerGone(Context &Call, const CallerGone &Gone);

private:
  RouterState &m_State;
  RequestFinisher &m_Finisher;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_CANCELLATIONSYSTEM_H
