#ifndef PARSLEYRING_CONSOLE_ROLLOUTPOLL_H
#define PARSLEYRING_CONSOLE_ROLLOUTPOLL_H

#include "parsleyring/Settings.h"

namespace parsleyring {

/// Result of querying a router's metrics.
struct RouterVersion {
  ConfigurationVersion m_Version = 0; ///< Version in force; 0: none yet.
  std::string m_Problem; ///< Why the query failed; empty: no failure.
  std::int64_t m_InForceSinceMillis = 0; ///< Unix time in ms; 0: unknown.
};

/// Queries the metrics of all routers in parallel, which takes at most a few
/// seconds altogether. The results are in the order of Routers.
std::vector<RouterVersion>
pollRouterVersions(const std::vector<RouterAddress> &Routers);

/// Reads the gauge of the configuration version from a metrics page.
std::optional<ConfigurationVersion>
versionInMetrics(const std::string &MetricsText);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ROLLOUTPOLL_H
