#ifndef PARSLEYRING_ROUTING_ENDPOINTTABLE_H
#define PARSLEYRING_ROUTING_ENDPOINTTABLE_H

#include "routing/EndpointHealth.h"
#include "routing/LinkTable.h"
#include "routing/LoadEstimate.h"
#include "routing/PaceEstimate.h"
#include "routing/PrefixHints.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyring {

struct Endpoint {
  EndpointSpec m_Spec;
  std::string m_Pool;
  std::size_t m_Domain = 0;
  bool m_IsConfigured = false;
  bool m_IsLeaving = false; ///< As in the LeavingTable.
  bool m_IsDomainReachable = true;
  EndpointHealth m_Health;
  LoadEstimate m_Load;
  PrefixHints m_Prefixes;
  PaceEstimate m_Pace;
  /// In [0, 1), drawn with each report: rounds parts of slots up or down, so
  /// that the routers choose different endpoints.
  double m_Rounding = 0;
  /// Last time at which a good token came through the endpoint.
  Time m_ProgressAt = Time::min();
};

/// Endpoints of the configuration in force, and endpoints removed from it that
/// still have attempts. Addresses of entries are stable.
class EndpointTable {
public:
  /// Endpoints that keep name and address keep their state.
  void apply(const Document &Configuration, LinkTable &Links);

  Endpoint *find(const std::string &Name);
  /// In the order of first layer, then of the document.
  const std::vector<Endpoint *> &pool(const std::string &Name) const;
  /// In the order of pool name.
  const std::map<std::string, std::vector<Endpoint *>> &pools() const {
    return m_Pools;
  }

private:
  void forgetRemoved();

  std::unordered_map<std::string, Endpoint> m_Endpoints;
  std::map<std::string, std::vector<Endpoint *>> m_Pools;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ENDPOINTTABLE_H
