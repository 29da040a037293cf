#include "gateway/EndpointCaller.h"

namespace parsleyring {

static constexpr Duration ConnectLimit = std::chrono::milliseconds(200);
static constexpr Duration MaxIdle = std::chrono::seconds(4);
// A live engine answers a report at once.
static constexpr Duration ReportLimit = std::chrono::milliseconds(220);

// Reports are some hundred milliseconds old anyway, and each one is priced.
static constexpr Duration ReportLifetime = std::chrono::milliseconds(250);

static std::string callText(const EndpointEntry &Target,
                            const HeaderNames &Names,
                            const EndpointCall &Call) {
  std::string Text = Call.m_Method + " " + Call.m_Target + " HTTP/1.1\r\n";
  Text += "Host: " + Target.m_Address + "\r\n";
  Text += Names.m_ExpectedEndpoint + ": " + Target.m_Id + "\r\n";
  if (!Call.m_Body.empty()) {
    Text += "Content-Type: application/json\r\n";
    Text += "Content-Length: " + std::to_string(Call.m_Body.size()) + "\r\n";
  }
  return Text + "\r\n" + Call.m_Body;
}

void EndpointCaller::call(const FleetTable::Handle &Endpoint,
                          const EndpointCall &Call, Duration Limit,
                          ReplyHandler OnReply) {
  struct Progress {
    unsigned m_Status = 0;
    std::string m_Body;
    boost::asio::steady_timer m_Timer;
    std::shared_ptr<HttpChannel> m_Channel;
    ReplyHandler m_OnReply;
    explicit Progress(boost::asio::io_context &Loop) : m_Timer(Loop) {}
  };
  auto State = std::make_shared<Progress>(m_Loop);
  const EndpointEntry &Entry = Endpoint->m_Entry;
  State->m_Channel = m_Channels.take(Entry.m_Address, MaxIdle, m_Now());
  State->m_OnReply = std::move(OnReply);
  auto Finish = [this, State](bool IsAnswered) {
    if (!State->m_OnReply)
      return;
    State->m_Timer.cancel();
    if (IsAnswered)
      m_Channels.give(State->m_Channel, m_Now());
    else
      State->m_Channel->close();
    State->m_Channel.reset();
    ReplyHandler Reply = std::move(State->m_OnReply);
    State->m_OnReply = nullptr;
    Reply(IsAnswered ? State->m_Status : 0, State->m_Body);
  };
  State->m_Timer.expires_after(Limit);
  State->m_Timer.async_wait([Finish](boost::system::error_code Error) {
    if (!Error)
      Finish(false);
  });
  ExchangeHandlers Handlers;
  Handlers.m_OnHead = [State](const ResponseHead &Head) {
    State->m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [State](std::string_view Bytes) {
    State->m_Body.append(Bytes);
  };
  Handlers.m_OnEnd = [Finish](ExchangeEnd End) {
    Finish(End == ExchangeEnd::Complete);
  };
  State->m_Channel->send(callText(Entry, m_Protocol.headers(), Call),
                         std::min(Limit, ConnectLimit), std::move(Handlers));
}

void EndpointCaller::forgetOldReports() {
  Time Now = m_Now();
  for (auto Entry = m_Reports.begin(); Entry != m_Reports.end();) {
    bool IsOld = Now - Entry->second.m_At >= ReportLifetime;
    Entry = IsOld ? m_Reports.erase(Entry) : std::next(Entry);
  }
}

void EndpointCaller::askReport(const FleetTable::Handle &Endpoint,
                               ForwardContext::ReportHandler OnReport) {
  auto Known = m_Reports.find(Endpoint.get());
  if (Known != m_Reports.end() &&
      m_Now() - Known->second.m_At < ReportLifetime) {
    OnReport(Known->second.m_Report);
    return;
  }
  auto &Waiting = m_Waiting[Endpoint.get()];
  Waiting.push_back(std::move(OnReport));
  if (Waiting.size() > 1)
    return;
  call(Endpoint, m_Protocol.reportCall(), ReportLimit,
       [this, Endpoint](unsigned Status, const std::string &Body) {
         std::optional<EngineReport> Report;
         if (Status == 200)
           Report = m_Protocol.parseReport(Body);
         forgetOldReports();
         m_Reports[Endpoint.get()] = {m_Now(), Report};
         auto Handlers = std::move(m_Waiting[Endpoint.get()]);
         m_Waiting.erase(Endpoint.get());
         for (const auto &Handler : Handlers)
           Handler(Report);
       });
}

} // namespace parsleyring
