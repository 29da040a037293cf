#ifndef PARSLEYRING_GATEWAY_READYHANDLER_H
#define PARSLEYRING_GATEWAY_READYHANDLER_H

#include "gateway/ActiveConfiguration.h"
#include "gateway/InternalHandler.h"

namespace parsleyring {

/// Answers the load balancer's ready check: 503 before the first configuration
/// and during shutdown.
class ReadyHandler final : public InternalHandler {
public:
  /// Configuration must outlive the object.
  ReadyHandler(RequestHandler &Callers, MemoryBudget &Memory,
               const ActiveConfiguration &Configuration)
      : InternalHandler(Callers, Memory), m_Configuration(Configuration) {}

  void
  handleRequest(CallerRequest Request,
                const std::shared_ptr<CallerConnection> &Connection) override;

private:
  const ActiveConfiguration &m_Configuration;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_READYHANDLER_H
