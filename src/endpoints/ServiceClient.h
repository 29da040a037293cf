#ifndef PARSLEYRING_ENDPOINTS_SERVICECLIENT_H
#define PARSLEYRING_ENDPOINTS_SERVICECLIENT_H

#include "endpoints/EndpointAttempt.h"

#include <memory>

namespace parsleyring {

class EndpointConnection;

/// A call of a plain service.
struct ServiceCall {
  std::shared_ptr<const CallerPayload> m_Payload; ///< Of a service call.
  std::string m_Address;
  Duration m_Timeout{};
};

/// Sends a call to a plain service on a new connection and takes its whole
/// answer, whatever the status.
class ServiceClient final : public EndpointAttempt {
public:
  explicit ServiceClient(ServiceCall Call);
  ~ServiceClient() override;

  AttemptReport run() override;
  void cancel() override;

private:
  const ServiceCall m_Call;
  std::unique_ptr<EndpointConnection> m_Connection; ///< Null: bad address.
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_SERVICECLIENT_H
