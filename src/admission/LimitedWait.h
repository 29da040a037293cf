#ifndef PARSLEYRING_ADMISSION_LIMITEDWAIT_H
#define PARSLEYRING_ADMISSION_LIMITEDWAIT_H

#include "admission/LimitedCapacity.h"

namespace parsleyring {

/// The wait of a request for credit at endpoints that state limits. The request
/// is promised the credit that it expects: while it waits, the share of this VM
/// may fall, or a request of another account be sent first. The share is
/// charged all the same, so that later requests make up for it.
class LimitedWait {
public:
  /// Returns false if Capacity comes too late for a request that must be sent
  /// by Until: it is to be refused at once.
  bool begin(const LimitedCapacity &Capacity, Time Until, Time Now);
  /// True if Endpoint may get the waiting request now.
  bool allows(FleetEndpoint &Endpoint, const LimitUsers &Users, double Random,
              Time Now) const;

  /// How much later than its endpoint accepts it a waiting request may be sent.
  static constexpr Duration MaxQueueDelay = std::chrono::milliseconds(80);

private:
  FleetTable::Handle m_Endpoint; ///< Empty if nothing was promised.
  Time m_PromisedAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_LIMITEDWAIT_H
