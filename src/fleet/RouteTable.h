#ifndef PARSLEYRING_FLEET_ROUTETABLE_H
#define PARSLEYRING_FLEET_ROUTETABLE_H

#include "fleet/EngineModel.h"
#include "parsleyring/Types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyring {

/// Determines whether a request may be run again.
enum class ExecutionKind { Idempotent, NonIdempotent, Streaming };

/// A service that gets a part of a route's requests.
struct ServiceShare {
  std::string m_Service;
  double m_Weight = 1;
};

/// The rule for the requests of one host and path prefix.
struct RouteRule {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix; ///< Begins and ends with a slash.
  ExecutionKind m_Kind = ExecutionKind::NonIdempotent;
  Duration m_Timeout{};
  Duration m_LatencyGoal{};
  int m_MaxAttempts = 1;
  int m_Priority = 0; ///< 0 is the most urgent.
  bool m_IsAnonymous = false;
  bool m_IsResumable = false;
  std::vector<ServiceShare> m_Services;

  /// Picks a service in proportion to the weights; RandomFraction is in [0, 1).
  /// Returns an empty name if no service has a weight above 0.
  const std::string &pickService(double RandomFraction) const;
  /// True if a second endpoint may run the same request.
  bool isRepeatable() const {
    return m_Kind == ExecutionKind::Idempotent ||
           (m_Kind == ExecutionKind::Streaming && m_IsResumable);
  }
};

/// A service and, if it runs a layered model, the costs of the model.
struct ServiceRule {
  std::string m_Name;
  std::optional<EngineModel> m_Engine;

  bool isLayered() const { return m_Engine && m_Engine->m_Layers > 0; }
};

/// The client account that an API key belongs to.
struct AccountRule {
  std::string m_Name;
  std::optional<int> m_Priority; ///< Overrides the priority of the route.
};

/// Limits on the size of a caller's requests and on the time that the caller
/// may take.
struct CallerLimits {
  std::uint32_t m_MaxHeaderBytes = 16384;
  std::uint64_t m_MaxBodyBytes = 4 << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// One version of the routes, services, accounts and limits. Immutable once it
/// is in force.
class RouteTable {
public:
  ConfigurationVersion m_Version = 0;
  CallerLimits m_Limits;
  std::map<std::string, ServiceRule, std::less<>> m_Services;
  std::unordered_map<std::string, AccountRule> m_AccountsByKey;
  /// Number of accounts, with and without keys. Empty if there is no list of
  /// accounts; a list without entries has 0.
  std::optional<std::size_t> m_AccountCount;

  void addRoute(RouteRule Rule);
  /// True if a request on this route is only allowed with a key of
  /// m_AccountsByKey.
  bool requiresKey(const RouteRule &Route) const;
  /// True if there is a list of accounts and none of them has a key, so that
  /// only anonymous routes are served.
  bool lacksKeys() const { return m_AccountCount && m_AccountsByKey.empty(); }
  /// The rule with the longest prefix of Path; null if there is none.
  std::shared_ptr<const RouteRule> find(const std::string &Host,
                                        std::string_view Path) const;
  const ServiceRule *service(std::string_view Name) const;
  std::size_t routeCount() const { return m_RouteCount; }

private:
  using RoutesByPrefix =
      std::unordered_map<std::string, std::shared_ptr<const RouteRule>>;
  std::unordered_map<std::string, RoutesByPrefix> m_RoutesByHost;
  std::size_t m_RouteCount = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_ROUTETABLE_H
