#ifndef PARSLEYRING_GATEWAY_ENDPOINTCALLER_H
#define PARSLEYRING_GATEWAY_ENDPOINTCALLER_H

#include "gateway/ForwardContext.h"
#include "gateway/HttpCall.h"

#include <map>

namespace parsleyring {

/// Sends orders and asks for reports. Questions for the report of one engine
/// that come while one is under way share its answer.
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
