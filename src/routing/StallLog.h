#ifndef PARSLEYRING_ROUTING_STALLLOG_H
#define PARSLEYRING_ROUTING_STALLLOG_H

#include "parsleyring/Types.h"

#include <deque>
#include <string>
#include <vector>

namespace parsleyring {

/// Counts stalls per endpoint. It is not known which stage of a route stalled,
/// so each stall counts against all suspects; once one endpoint is blamed, the
/// stalls it explains no longer count against the others.
class StallLog {
public:
  /// Returns the endpoint to quarantine, or an empty string.
  std::string note(Time Now, const std::vector<std::string> &Suspects);

private:
  struct Stall {
    Time m_At;
    std::vector<std::string> m_Suspects;
  };

  std::deque<Stall> m_Stalls;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_STALLLOG_H
