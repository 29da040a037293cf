#include "routing/EndpointTable.h"

#include <algorithm>

namespace parsleyring {

void EndpointTable::apply(const Document &Configuration, LinkTable &Links) {
  for (auto &[Name, Known] : m_Endpoints)
    Known.m_IsConfigured = false;
  m_Pools.clear();
  for (const Pool &Listed : Configuration.m_Pools) {
    std::vector<Endpoint *> &Members = m_Pools[Listed.m_Name];
    for (const EndpointSpec &Spec : Listed.m_Endpoints) {
      Endpoint &Known = m_Endpoints[Spec.m_Name];
      if (Known.m_Spec.m_Address != Spec.m_Address) {
        // The name now stands for another server. The count of outstanding
        // requests stays, since attempts on the former server still run.
        Known.m_Health = EndpointHealth();
        Known.m_Load.forgetReport();
        Known.m_Prefixes.forget();
        Known.m_Pace = PaceEstimate();
      }
      Known.m_Spec = Spec;
      Known.m_Pool = Listed.m_Name;
      Known.m_Domain = Links.domain(Spec.m_FailureDomain);
      Known.m_IsConfigured = true;
      Members.push_back(&Known);
    }
    std::stable_sort(Members.begin(), Members.end(),
                     [](const Endpoint *Left, const Endpoint *Right) {
                       return Left->m_Spec.m_Layers.m_First <
                              Right->m_Spec.m_Layers.m_First;
                     });
  }
  Links.apply(Configuration.m_Links);
  forgetRemoved();
}

void EndpointTable::forgetRemoved() {
  for (auto At = m_Endpoints.begin(); At != m_Endpoints.end();) {
    const Endpoint &Known = At->second;
    bool IsUnused = !Known.m_IsConfigured && Known.m_Load.outstanding() == 0;
    At = IsUnused ? m_Endpoints.erase(At) : std::next(At);
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
