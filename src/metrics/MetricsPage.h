#ifndef PARSLEYRING_METRICS_METRICSPAGE_H
#define PARSLEYRING_METRICS_METRICSPAGE_H

#include "parsleyring/Router.h"

#include <map>
#include <string>

namespace parsleyring {

/// Values of the metrics page of a router.
struct NodeMetrics {
  RouterCounters m_Router;
  ConfigurationVersion m_ConfigurationVersion = 0;
  /// Counters of the I/O shell, without prefix.
  std::map<std::string, std::uint64_t> m_Totals;
  /// Values that go up and down, without prefix.
  std::map<std::string, double> m_Gauges;
};

/// Text of /metrics in the Prometheus format.
std::string metricsText(const NodeMetrics &Values);

} // namespace parsleyring

#endif // PARSLEYRING_METRICS_METRICSPAGE_H
