#ifndef PARSLEYRING_ADMISSION_LIMITEDWAIT_H
#define PARSLEYRING_ADMISSION_LIMITEDWAIT_H

#include "admission/LimitedCapacity.h"

namespace parsleyring {

/// The wait of a request for credit at endpoints that state limits.
class LimitedWait {
public:
  /// Returns false if Capacity comes too late for a request that must be sent
  /// by Until: it is to be refused at once.
  bool begin(const LimitedCapacity &Capacity, Time Until, Time Now);
  /// True if Endpoint may get the waiting request now.
  bool allows(FleetEndpoint &Endpoint, const LimitUsers &Users, double Random,
              Time Now) const;
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_LIMITEDWAIT_H
