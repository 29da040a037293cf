#ifndef PARSLEYRING_ENDPOINTS_SERVICECLIENT_H
#define PARSLEYRING_ENDPOINTS_SERVICECLIENT_H

#include "endpoints/EndpointAttempt.h"

#include <memory>

namespace parsleyring {

class EndpointConnection;

/// Call to a plain service.
struct ServiceCall {
  std::shared_ptr<const CallerPayload> m_Payload; ///< Holds a ServicePayload.
  std::string m_Address;
  Duration m_Timeout{};
};

/// Sends a call to a plain service on a new connection. A complete answer
/// counts as success, whatever its HTTP status, unless it states that the call
/// did not run (429 or 503 with "X-Outcome: not-run").
class ServiceClient final : public EndpointAttempt {
public:
  explicit ServiceClient(ServiceCall Call);
  ~ServiceClient() override;

  AttemptReport run() override;
  void cancel() override;

private:
  const ServiceCall m_Call;
  std::unique_ptr<EndpointConnection>
      m_Connection; ///< Null if the address is invalid.
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_SERVICECLIENT_H
