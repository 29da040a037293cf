#include "gateway/EndpointClient.h"

namespace parsleyring {

// A working engine answers a report request immediately.
static constexpr Duration ReportLimit = std::chrono::milliseconds(220);

// A report is already some hundred milliseconds old when it arrives, and each
// report request has a cost, so reports are cached briefly.
static constexpr Duration ReportLifetime = std::chrono::milliseconds(250);

void EndpointClient::call(const FleetTable::Handle &Endpoint,
                          const EndpointCall &Call, Duration Limit,
                          HttpClient::Handler OnReply) {
  const EndpointEntry &Entry = Endpoint->m_Entry;
  m_Caller.call({Entry.m_Address,
                 Call.m_Method,
                 Call.m_Target,
                 Call.m_Body,
                 {{m_Protocol.headers().m_ExpectedEndpoint, Entry.m_Id}},
                 Limit},
                std::move(OnReply));
}

void EndpointClient::forgetOldReports() {
  Time Now = m_Caller.now();
  for (auto Entry = m_Reports.begin(); Entry != m_Reports.end();) {
    bool IsOld = Now - Entry->second.m_At >= ReportLifetime;
    Entry = IsOld ? m_Reports.erase(Entry) : std::next(Entry);
  }
}

void EndpointClient::askReport(const FleetTable::Handle &Endpoint,
                               ForwardContext::ReportHandler OnReport) {
  auto Known = m_Reports.find(Endpoint.get());
  if (Known != m_Reports.end() &&
      m_Caller.now() - Known->second.m_At < ReportLifetime) {
    OnReport(Known->second.m_Report);
    return;
  }
  auto &Waiting = m_Waiting[Endpoint.get()];
  Waiting.push_back(std::move(OnReport));
  if (Waiting.size() > 1)
    return;
  call(Endpoint, m_Protocol.reportCall(), ReportLimit,
       [this, Endpoint](const CallReply &Reply) {
         std::optional<EngineReport> Report;
         if (Reply.isOk())
           Report = m_Protocol.parseReport(Reply.m_Body);
         forgetOldReports();
         m_Reports[Endpoint.get()] = {m_Caller.now(), Report};
         auto Handlers = std::move(m_Waiting[Endpoint.get()]);
         m_Waiting.erase(Endpoint.get());
         for (const auto &Handler : Handlers)
           Handler(Report);
       });
}

} // namespace parsleyring
