#include "routing/EndpointTable.h"

#include <algorithm>

namespace parsleyring {

void EndpointTable::apply(const Document &Configuration, LinkTable &Links) {
  for (auto &[Name, Entry] : m_Endpoints)
    Entry.m_IsConfigured = false;
  m_Pools.clear();
  for (const Pool &Listed : Configuration.m_Pools) {
    std::vector<Endpoint *> &Members = m_Pools[Listed.m_Name];
    for (const EndpointSpec &Spec : Listed.m_Endpoints) {
      Endpoint &Entry = m_Endpoints[Spec.m_Name];
      if (Entry.m_Spec.m_Address != Spec.m_Address) {
        // The name now stands for another server. The count of outstanding
        // requests stays, since attempts on the former server still run.
        Entry.m_Health = EndpointHealth();
        Entry.m_Load.resetReport();
        Entry.m_Prefixes.reset();
        Entry.m_Slowdown = SlowdownEstimate();
      }
      Entry.m_Spec = Spec;
      Entry.m_Pool = Listed.m_Name;
      Entry.m_Domain = Links.domainNumber(Spec.m_FailureDomain);
      Entry.m_IsConfigured = true;
      Members.push_back(&Entry);
    }
    std::stable_sort(Members.begin(), Members.end(),
                     [](const Endpoint *Left, const Endpoint *Right) {
                       return Left->m_Spec.m_Layers.m_First <
                              Right->m_Spec.m_Layers.m_First;
                     });
  }
  Links.apply(Configuration.m_Links);
  eraseRemoved();
}

void EndpointTable::eraseRemoved() {
  for (auto Position = m_Endpoints.begin(); Position != m_Endpoints.end();) {
    const Endpoint &Entry = Position->second;
    bool IsUnused = !Entry.m_IsConfigured && Entry.m_Load.outstanding() == 0;
    Position = IsUnused ? m_Endpoints.erase(Position) : std::next(Position);
  }
}

Endpoint *EndpointTable::find(const std::string &Name) {
  auto Found = m_Endpoints.find(Name);
  return Found == m_Endpoints.end() ? nullptr : &Found->second;
}

const std::vector<Endpoint *> &
EndpointTable::pool(const std::string &Name) const {
  static const std::vector<Endpoint *> None;
  auto Found = m_Pools.find(Name);
  return Found == m_Pools.end() ? None : Found->second;
}

} // namespace parsleyring
