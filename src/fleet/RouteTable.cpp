#include "fleet/RouteTable.h"

#include <algorithm>

namespace parsleyring {

const std::string &RouteRule::pickService(double RandomFraction) const {
  static const std::string NoService;
  double Total = 0;
  for (const ServiceShare &Share : m_Services)
    Total += std::max(Share.m_Weight, 0.0);
  double Left = RandomFraction * Total;
  // The sum of the weights is rounded, so Left may end above the last weight.
  const std::string *Picked = &NoService;
  for (const ServiceShare &Share : m_Services) {
    if (Share.m_Weight <= 0)
      continue;
    Picked = &Share.m_Service;
    if (Left < Share.m_Weight)
      break;
    Left -= Share.m_Weight;
  }
  return *Picked;
}

void RouteTable::addRoute(RouteRule Rule) {
  RoutesByPrefix &Routes = m_RoutesByHost[Rule.m_Host];
  std::string Prefix = Rule.m_Prefix;
  Routes[Prefix] = std::make_shared<const RouteRule>(std::move(Rule));
  ++m_RouteCount;
}

// A list without entries asks for a key as any other does: no key is valid
// then. Only the absence of the list leaves the routes open.
bool RouteTable::requiresKey(const RouteRule &Route) const {
  return m_AccountCount && !Route.m_IsAnonymous;
}

std::shared_ptr<const RouteRule> RouteTable::find(const std::string &Host,
                                                  std::string_view Path) const {
  auto Routes = m_RoutesByHost.find(Host);
  if (Routes == m_RoutesByHost.end())
    return nullptr;
  // Each prefix ends with a slash, so only the parts of the path that end with
  // one can match.
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    auto Found = Routes->second.find(std::string(Path.substr(0, Slash + 1)));
    if (Found != Routes->second.end())
      return Found->second;
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const ServiceRule *RouteTable::service(std::string_view Name) const {
  auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr : &Found->second;
}

} // namespace parsleyring
