#include "store/StoreClient.h"

namespace parsleyring {

static constexpr Duration ConnectLimit = std::chrono::milliseconds(600);
static constexpr Duration MaxIdle = std::chrono::seconds(5);

static std::string requestText(const std::string &Address,
                               const StoreCall &Call) {
  std::string Text = Call.m_Method + " " + Call.m_Target + " HTTP/1.1\r\n";
  Text += "Host: " + Address + "\r\n";
  if (!Call.m_Body.empty())
    Text += "Content-Type: application/json\r\n";
  if (!Call.m_Body.empty() || Call.m_Method == "POST")
    Text += "Content-Length: " + std::to_string(Call.m_Body.size()) + "\r\n";
  Text += "\r\n";
  Text += Call.m_Body;
  return Text;
}

void StoreClient::call(const std::string &Address, const StoreCall &Call,
                       Duration Limit, Handler OnReply) {
  struct Progress {
    StoreReply m_Reply;
    boost::asio::steady_timer m_Timer;
    std::shared_ptr<HttpChannel> m_Channel;
    Handler m_OnReply;
    explicit Progress(boost::asio::io_context &Loop) : m_Timer(Loop) {}
  };
  auto State = std::make_shared<Progress>(m_Loop);
  State->m_Channel = m_Pool.take(Address, MaxIdle, m_Now());
  State->m_OnReply = std::move(OnReply);
  auto Finish = [this, State](ExchangeEnd End) {
    if (!State->m_OnReply)
      return;
    State->m_Timer.cancel();
    State->m_Reply.m_End = End;
    if (End != ExchangeEnd::Complete)
      State->m_Reply.m_Status = 0;
    if (End == ExchangeEnd::TimedOut)
      State->m_Channel->close();
    m_Pool.give(State->m_Channel, m_Now());
    State->m_Channel.reset();
    m_Metrics.countStoreCall(State->m_Reply.m_Status);
    Handler Reply = std::move(State->m_OnReply);
    State->m_OnReply = nullptr;
    Reply(State->m_Reply);
  };
  State->m_Timer.expires_after(Limit);
  State->m_Timer.async_wait([Finish](boost::system::error_code Error) {
    if (!Error)
      Finish(ExchangeEnd::TimedOut);
  });
  ExchangeHandlers Handlers;
  Handlers.m_OnHead = [State](const ResponseHead &Head) {
    State->m_Reply.m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [State](std::string_view Bytes) {
    State->m_Reply.m_Body.append(Bytes);
  };
  Handlers.m_OnEnd = Finish;
  State->m_Channel->send(requestText(Address, Call),
                         std::min(Limit, ConnectLimit), std::move(Handlers));
}

} // namespace parsleyring
