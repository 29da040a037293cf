#include "requests/ConfigurationSystem.h"

#include "requests/AuditRecords.h"

namespace parsleyring {

void ConfigurationSystem::configurationApplied(
    EventContext &Context, const ConfigurationApplied &Applied) {
  bool IsAccepted = Applied.m_Document && Applied.m_Version > m_State.m_Version;
  Context.add(
      configurationRecord(Context.m_Now, Applied, IsAccepted,
                          IsAccepted ? Applied.m_Version : m_State.m_Version));
  if (!IsAccepted)
    return m_State.m_Counters.add(Counter::ConfigurationsIgnored);
  m_State.m_Counters.add(Counter::ConfigurationsApplied);
  // The index points into the document that m_Document keeps alive below.
  m_State.m_AccountIndex.apply(*Applied.m_Document);
  m_State.m_Document = Applied.m_Document;
  m_State.m_Version = Applied.m_Version;
  m_State.m_Accounts.apply(*Applied.m_Document);
  m_State.m_Planner.apply(Applied.m_Document);
  for (RequestNumber Number : m_State.m_Pools.apply(*Applied.m_Document))
    if (Request *OrphanedRequest = m_State.request(Number))
      m_Finisher.fail(Context, *OrphanedRequest, FailureReason::PoolRemoved);
}

} // namespace parsleyring
