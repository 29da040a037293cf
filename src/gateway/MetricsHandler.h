#ifndef PARSLEYRING_GATEWAY_METRICSHANDLER_H
#define PARSLEYRING_GATEWAY_METRICSHANDLER_H

#include "gateway/InternalHandler.h"
#include "gateway/NodeMetrics.h"

namespace parsleyring {

/// Serves the metrics page.
class MetricsHandler final : public InternalHandler {
public:
  /// Metrics must outlive the object.
  MetricsHandler(RequestHandler &Callers, MemoryBudget &Memory,
                 const NodeMetrics &Metrics)
      : InternalHandler(Callers, Memory), m_Metrics(Metrics) {}

  void
  handleRequest(CallerRequest Request,
                const std::shared_ptr<CallerConnection> &Connection) override;

private:
  const NodeMetrics &m_Metrics;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_METRICSHANDLER_H
