#ifndef PARSLEYRING_REQUESTS_ENDPOINTSYSTEM_H
#define PARSLEYRING_REQUESTS_ENDPOINTSYSTEM_H

#include "requests/RouterState.h"

namespace parsleyring {

/// Passes what is learned of endpoints (load, leaving, stalls, reachability) to
/// the planner, and quarantines faulty endpoints.
class EndpointSystem {
public:
  explicit EndpointSystem(RouterState &State) : m_State(State) {}

  void loadReported(EventContext &Context, const LoadReported &Report);
  void endpointLeaving(EventContext &Context, const EndpointLeaving &Leaving);
  void peersChanged(EventContext &Context, const PeersChanged &Change);
  void quarantine(EventContext &Context, const std::string &Endpoint,
                  const std::string &Reason, RequestNumber Number);
  /// Counts an attempt that made no progress in time, and records the endpoints
  /// that the planner quarantines for it.
  void noteStalled(EventContext &Context, const Attempt &Stalled);

private:
  /// Empty if the endpoint is not known.
  std::string currentIncarnation(Time Now, const std::string &Endpoint) const;

  RouterState &m_State;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ENDPOINTSYSTEM_H
