#ifndef PARSLEYRING_ADMISSION_LIMITEDCAPACITY_H
#define PARSLEYRING_ADMISSION_LIMITEDCAPACITY_H

#include "fleet/FleetTable.h"

namespace parsleyring {

/// What endpoints accept from this VM while all of them state limits.
struct LimitedCapacity {
  Duration m_Delay{}; ///< Until the next request can be sent.
  double m_RequestsPerSecond = 0;
  /// Accepts the next request; empty if none is known to do so.
  FleetTable::Handle m_Endpoint;

  /// The capacity that is left by Waiting earlier requests, as far as the
  /// present shares of the limits tell.
  static LimitedCapacity after(std::size_t Waiting,
                               const std::vector<FleetTable::Handle> &Endpoints,
                               Time Now);
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_LIMITEDCAPACITY_H
