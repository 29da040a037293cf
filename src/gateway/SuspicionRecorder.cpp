#include "gateway/SuspicionRecorder.h"

#include <algorithm>
#include <vector>

namespace parsleyring {

// How long all endpoints of a silent failure domain get no new requests.
static constexpr Duration DomainSuspectTime = std::chrono::milliseconds(1500);

void SuspicionRecorder::suspect(const FleetTable::Handle &Endpoint,
                                std::string_view Reason, Duration Period) {
  Time Now = m_Now();
  bool IsNew = Endpoint->m_SuspectUntil <= Now;
  Endpoint->m_SuspectUntil = std::max(Endpoint->m_SuspectUntil, Now + Period);
  Endpoint->m_OwnSuspectUntil =
      std::max(Endpoint->m_OwnSuspectUntil, Now + Period);
  if (IsNew)
    m_Used.m_Log.write(Now, "endpoint-suspect", "",
                       {{"endpoint", Endpoint->m_Entry.m_Id},
                        {"reason", Reason},
                        {"running", std::int64_t(Endpoint->m_Running)}});
  // A new suspicion is sent to the other VMs at once.
  if (IsNew)
    m_Used.m_Digests.sendToDomainPeers();
  m_OnSuspicion(Endpoint);
  Endpoint->m_SilentAt = Now;
  const std::string &Domain = Endpoint->m_Entry.m_FailureDomain;
  if (IsNew && Domain != m_FailureDomain &&
      m_Used.m_Fleet.isDomainSilent(Domain, Now))
    suspectDomain(Domain);
}

// Marks all endpoints of a failure domain that is cut off. Otherwise requests
// would have to fail at each endpoint before it is marked.
void SuspicionRecorder::suspectDomain(const std::string &Domain) {
  Time Now = m_Now();
  m_Used.m_Log.write(Now, "failure-domain-suspect", "",
                     {{"failure_domain", Domain}});
  std::vector<FleetTable::Handle> Marked;
  for (const auto &[Id, Endpoint] : m_Used.m_Fleet.endpoints()) {
    if (Endpoint->m_Entry.m_FailureDomain != Domain)
      continue;
    Endpoint->m_SuspectUntil =
        std::max(Endpoint->m_SuspectUntil, Now + DomainSuspectTime);
    if (Endpoint->m_Running > 0)
      Marked.push_back(Endpoint);
  }
  for (const FleetTable::Handle &Endpoint : Marked)
    m_OnSuspicion(Endpoint);
}

} // namespace parsleyring
