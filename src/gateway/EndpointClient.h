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
  /// Is called with each answer, before the handler of the call.
  using AnswerObserver = std::function<void(const FleetTable::Handle &,
                                            const ResponseHead &, Time SentAt)>;
  /// Is called with each report of which a part is invalid.
  using FindingObserver = std::function<void(const FleetTable::Handle &,
                                             const std::string &Finding)>;

  EndpointClient(HttpClient &Client, const EndpointProtocol &Protocol,
                 AnswerObserver OnAnswer, FindingObserver OnInvalidReport)
      : m_HttpClient(Client), m_Protocol(Protocol),
        m_OnAnswer(std::move(OnAnswer)),
        m_OnInvalidReport(std::move(OnInvalidReport)) {}

  /// For calls that order an endpoint to do something.
  static constexpr Duration OrderTimeout = std::chrono::milliseconds(600);

  void call(const FleetTable::Handle &Endpoint, const EndpointCall &Call,
            Duration Timeout, HttpClient::Handler OnReply);
  /// OnReport gets an empty report if the engine answers with bytes that are
  /// none, and nullopt if it does not answer.
  void requestReport(const FleetTable::Handle &Endpoint,
                     ForwardContext::ReportHandler OnReport);

private:
  struct CachedReport {
    Time m_ReceivedAt{};
    std::optional<EngineReport> m_Report;
  };

  std::optional<EngineReport> readReport(const FleetTable::Handle &Endpoint,
                                         const CallReply &Reply);
  void evictOldReports();

  HttpClient &m_HttpClient;
  const EndpointProtocol &m_Protocol;
  const AnswerObserver m_OnAnswer;
  const FindingObserver m_OnInvalidReport;
  std::map<const FleetEndpoint *, std::vector<ForwardContext::ReportHandler>>
      m_PendingHandlers;
  std::map<const FleetEndpoint *, CachedReport> m_CachedReports;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENDPOINTCLIENT_H
