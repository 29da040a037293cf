#ifndef PARSLEYRING_GATEWAY_ENDPOINTCALLER_H
#define PARSLEYRING_GATEWAY_ENDPOINTCALLER_H

#include "gateway/ForwardContext.h"
#include "gateway/HttpCall.h"

#include <map>

namespace parsleyring {

/// Sends orders to endpoints and requests engine reports. Concurrent requests
/// for the report of the same engine share one call.
class EndpointCaller {
public:
  EndpointCaller(HttpCaller &Caller, const EndpointProtocol &Protocol)
      : m_Caller(Caller), m_Protocol(Protocol) {}

  void call(const FleetTable::Handle &Endpoint, const EndpointCall &Call,
            Duration Limit, HttpCaller::Handler OnReply);
  void askReport(const FleetTable::Handle &Endpoint,
                 ForwardContext::ReportHandler OnReport);

private:
  struct KnownReport {
    Time m_At{};
    std::optional<EngineReport> m_Report;
  };

  void forgetOldReports();

  HttpCaller &m_Caller;
  const EndpointProtocol &m_Protocol;
  std::map<const FleetEndpoint *, std::vector<ForwardContext::ReportHandler>>
      m_Waiting;
  std::map<const FleetEndpoint *, KnownReport> m_Reports;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENDPOINTCALLER_H
