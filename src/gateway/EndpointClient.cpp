#include "gateway/EndpointClient.h"

namespace parsleyring {

// A working engine answers a report request immediately.
static constexpr Duration ReportTimeout = std::chrono::milliseconds(220);

// A report is already some hundred milliseconds old when it arrives, and each
// report request has a cost, so reports are cached briefly.
static constexpr Duration ReportLifetime = std::chrono::milliseconds(250);

void EndpointClient::call(const FleetTable::Handle &Endpoint,
                          const EndpointCall &Call, Duration Timeout,
                          HttpClient::Handler OnReply) {
  const EndpointEntry &Entry = Endpoint->m_Entry;
  Time SentAt = m_HttpClient.now();
  m_HttpClient.call({Entry.m_Address,
                     Call.m_Method,
                     Call.m_Target,
                     Call.m_Body,
                     {{m_Protocol.headers().m_ExpectedEndpoint, Entry.m_Id}},
                     Timeout},
                    [this, Endpoint, SentAt,
                     OnReply = std::move(OnReply)](const CallReply &Reply) {
                      // Also of an answer that was not complete.
                      if (Reply.m_Head.m_Status != 0)
                        m_OnAnswer(Endpoint, Reply.m_Head, SentAt);
                      OnReply(Reply);
                    });
}

// An engine whose answer cannot be read is not silent.
std::optional<EngineReport>
EndpointClient::readReport(const FleetTable::Handle &Endpoint,
                           const CallReply &Reply) {
  if (Reply.m_End == ExchangeEnd::Malformed) {
    m_OnInvalidReport(Endpoint,
                      "not a valid HTTP response: " + Reply.m_Finding);
    return EngineReport();
  }
  if (!Reply.isOk())
    return std::nullopt;
  std::string Finding;
  EngineReport Report = m_Protocol.parseReport(Reply.m_Body, Finding);
  if (!Finding.empty())
    m_OnInvalidReport(Endpoint, Finding);
  return Report;
}

void EndpointClient::evictOldReports() {
  Time Now = m_HttpClient.now();
  for (auto Entry = m_CachedReports.begin(); Entry != m_CachedReports.end();) {
    bool IsOld = Now - Entry->second.m_ReceivedAt >= ReportLifetime;
    Entry = IsOld ? m_CachedReports.erase(Entry) : std::next(Entry);
  }
}

void EndpointClient::requestReport(const FleetTable::Handle &Endpoint,
                                   ForwardContext::ReportHandler OnReport) {
  auto Cached = m_CachedReports.find(Endpoint.get());
  if (Cached != m_CachedReports.end() &&
      m_HttpClient.now() - Cached->second.m_ReceivedAt < ReportLifetime) {
    OnReport(Cached->second.m_Report);
    return;
  }
  auto &Pending = m_PendingHandlers[Endpoint.get()];
  Pending.push_back(std::move(OnReport));
  if (Pending.size() > 1)
    return;
  call(Endpoint, m_Protocol.reportCall(), ReportTimeout,
       [this, Endpoint](const CallReply &Reply) {
         auto Handlers = std::move(m_PendingHandlers[Endpoint.get()]);
         m_PendingHandlers.erase(Endpoint.get());
         std::optional<EngineReport> Report = readReport(Endpoint, Reply);
         evictOldReports();
         m_CachedReports[Endpoint.get()] = {m_HttpClient.now(), Report};
         for (const auto &Handler : Handlers)
           Handler(Report);
       });
}

} // namespace parsleyring
