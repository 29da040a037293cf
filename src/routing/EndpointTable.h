#ifndef PARSLEYRING_ROUTING_ENDPOINTTABLE_H
#define PARSLEYRING_ROUTING_ENDPOINTTABLE_H

#include "routing/EndpointHealth.h"
#include "routing/LinkTable.h"
#include "routing/LoadEstimate.h"
#include "routing/PrefixHints.h"
#include "routing/SlowdownEstimate.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyring {

struct Endpoint {
  EndpointSpec m_Spec;
  std::string m_Pool;
  std::size_t m_Domain = 0;
  bool m_IsConfigured = false;
  bool m_IsLeaving = false; ///< Copy of the state in LeavingEndpointTable.
  bool m_IsDomainReachable = true;
  EndpointHealth m_Health;
  LoadEstimate m_Load;
  PrefixHints m_Prefixes;
  SlowdownEstimate m_Slowdown;
  /// In [0, 1), drawn with each report. Rounds this router's fractional share
  /// of the slots up or down, so that routers choose different endpoints.
  double m_SlotShareRounding = 0;
  /// Time of the last valid token of a route through the endpoint.
  Time m_ProgressAt = Time::min();
};

/// Endpoints of the configuration in force, and removed ones that still have
/// attempts. Pointers to entries stay valid while the entries exist.
class EndpointTable {
public:
  /// Endpoints whose name and address are unchanged keep their state.
  void apply(const Document &Configuration, LinkTable &Links);

  Endpoint *find(const std::string &Name);
  /// Sorted by first layer, then in the order of the document.
  const std::vector<Endpoint *> &pool(const std::string &Name) const;
  /// Sorted by pool name.
  const std::map<std::string, std::vector<Endpoint *>> &pools() const {
    return m_Pools;
  }

private:
  void eraseRemoved();

  std::unordered_map<std::string, Endpoint> m_Endpoints;
  std::map<std::string, std::vector<Endpoint *>> m_Pools;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ENDPOINTTABLE_H
