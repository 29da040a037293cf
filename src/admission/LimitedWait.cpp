#include "admission/LimitedWait.h"

namespace parsleyring {

bool LimitedWait::begin(const LimitedCapacity &Capacity, Time Until, Time Now) {
  if (Now + Capacity.m_Delay + MaxQueueDelay > Until)
    return false;
  m_Endpoint = Capacity.m_Endpoint;
  m_PromisedAt = Now + Capacity.m_Delay;
  return true;
}

bool LimitedWait::allows(FleetEndpoint &Endpoint, const LimitUsers &Users,
                         double Random, Time Now) const {
  bool IsPromised = m_Endpoint.get() == &Endpoint && Now >= m_PromisedAt;
  return Endpoint.isWithinLimit(Users, Random, Now) || IsPromised;
}

} // namespace parsleyring
