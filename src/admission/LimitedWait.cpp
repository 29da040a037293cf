#include "admission/LimitedWait.h"

namespace parsleyring {

// How much later than its endpoint accepts it a waiting request may be sent.
static constexpr Duration MaxQueueDelay = std::chrono::milliseconds(80);

bool LimitedWait::begin(const LimitedCapacity &Capacity, Time Until, Time Now) {
  return Now + Capacity.m_Delay + MaxQueueDelay <= Until;
}

bool LimitedWait::allows(FleetEndpoint &Endpoint, const LimitUsers &Users,
                         double Random, Time Now) const {
  return Endpoint.isWithinLimit(Users, Random, Now);
}

} // namespace parsleyring
