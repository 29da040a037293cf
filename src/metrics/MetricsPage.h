#ifndef PARSLEYRING_METRICS_METRICSPAGE_H
#define PARSLEYRING_METRICS_METRICSPAGE_H

#include "parsleyring/Router.h"

#include <map>
#include <string>

namespace parsleyring {

/// Values that the /metrics page of a router shows.
struct RouterMetrics {
  RouterCounters m_Router;
  ConfigurationVersion m_ConfigurationVersion = 0;
  /// Counters of the node outside the Router, by name without "parsleyring_".
  std::map<std::string, std::uint64_t> m_Totals;
  /// Gauges, by name without "parsleyring_".
  std::map<std::string, double> m_Gauges;
};

/// Returns the /metrics page in the Prometheus text format.
std::string metricsText(const RouterMetrics &Values);

} // namespace parsleyring

#endif // PARSLEYRING_METRICS_METRICSPAGE_H
