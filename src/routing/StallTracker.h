#ifndef PARSLEYRING_ROUTING_STALLTRACKER_H
#define PARSLEYRING_ROUTING_STALLTRACKER_H

#include "parsleyring/Types.h"

#include <deque>
#include <string>
#include <vector>

namespace parsleyring {

/// Attributes stalls of routes to endpoints. It is not known which stage of a
/// route stalled, so each stall counts against all its suspects. Once an
/// endpoint is blamed, stalls that it explains no longer count against others.
class StallTracker {
public:
  /// Returns the endpoint to quarantine, or an empty string.
  std::string noteStall(Time Now, const std::vector<std::string> &Suspects);

private:
  struct Stall {
    Time m_At;
    std::vector<std::string> m_Suspects;
  };

  std::deque<Stall> m_Stalls;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_STALLTRACKER_H
