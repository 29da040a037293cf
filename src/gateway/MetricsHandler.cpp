#include "gateway/MetricsHandler.h"

namespace parsleyring {

void MetricsHandler::handleRequest(
    CallerRequest, const std::shared_ptr<CallerConnection> &Connection) {
  Connection->answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                     m_Metrics.text());
}

} // namespace parsleyring
