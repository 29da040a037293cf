#ifndef PARSLEYRING_GATEWAY_ENDPOINTCLIENT_H
#define PARSLEYRING_GATEWAY_ENDPOINTCLIENT_H

#include "gateway/ForwardContext.h"
#include "gateway/HttpClient.h"

#include <map>

namespace parsleyring {

/// Sends orders to endpoints and requests engine reports. Concurrent requests
/// for the report of the same engine share one call.
class EndpointClient {
public:
  EndpointClient(HttpClient &Caller, const EndpointProtocol &Protocol)
      : m_Caller(Caller), m_Protocol(Protocol) {}

  void call(const FleetTable::Handle &Endpoint, const EndpointCall &Call,
            Duration Limit, HttpClient::Handler OnReply);
  void askReport(const FleetTable::Handle &Endpoint,
                 ForwardContext::ReportHandler OnReport);

private:
  struct KnownReport {
    Time m_At{};
    std::optional<EngineReport> m_Report;
  };

  void forgetOldReports();

  HttpClient &m_Caller;
  const EndpointProtocol &m_Protocol;
  std::map<const FleetEndpoint *, std::vector<ForwardContext::ReportHandler>>
      m_Waiting;
  std::map<const FleetEndpoint *, KnownReport> m_Reports;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENDPOINTCLIENT_H
