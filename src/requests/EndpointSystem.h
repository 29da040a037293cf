#ifndef PARSLEYRING_REQUESTS_ENDPOINTSYSTEM_H
#define PARSLEYRING_REQUESTS_ENDPOINTSYSTEM_H

#include "requests/RouterState.h"

namespace parsleyring {

/// What is learned about endpoints: load, leaving, quarantine, reachability.
class EndpointSystem {
public:
  explicit EndpointSystem(RouterState &State) : m_State(State) {}

  void loadReported(Context &Call, const LoadReported &Report);
  void endpointLeaving(Context &Call, const EndpointLeaving &Leaving);
  void peersChanged(Context &Call, const PeersChanged &Change);
  void quarantine(Context &Call, const std::string &Endpoint,
                  const std::string &Reason, RequestNumber Number);
  /// The attempt made no progress in time.
  void noteStalled(Context &Call, const Attempt &Stalled);

private:
  std::string currentIncarnation(Time Now, const std::string &Endpoint) const;

  RouterState &m_State;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ENDPOINTSYSTEM_H
