#include "gateway/HttpClient.h"

namespace parsleyring {

static constexpr Duration ConnectLimit = std::chrono::milliseconds(600);
static constexpr Duration MaxIdle = std::chrono::seconds(4);

struct HttpClient::Progress {
  explicit Progress(boost::asio::io_context &Loop) : m_Timer(Loop) {}

  CallReply m_Reply;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<HttpConnection> m_Channel;
  Handler m_OnReply; ///< Null once the call has ended.
};

static std::string callText(const HttpCall &Call) {
  std::string Text = Call.m_Method + " " + Call.m_Target + " HTTP/1.1\r\n";
  Text += "Host: " + Call.m_Address + "\r\n";
  for (const auto &[Name, Value] : Call.m_Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Call.m_Body.empty())
    Text += "Content-Type: application/json\r\n";
  if (!Call.m_Body.empty() || Call.m_Method == "POST")
    Text += "Content-Length: " + std::to_string(Call.m_Body.size()) + "\r\n";
  return Text + "\r\n" + Call.m_Body;
}

void HttpClient::call(const HttpCall &Call, Handler OnReply) {
  auto State = std::make_shared<Progress>(m_Loop);
  State->m_Channel = m_Channels.take(Call.m_Address, MaxIdle, m_Now());
  State->m_OnReply = std::move(OnReply);
  State->m_Timer.expires_after(Call.m_Limit);
  State->m_Timer.async_wait([this, State](boost::system::error_code Error) {
    if (!Error)
      finish(*State, ExchangeEnd::TimedOut);
  });
  ExchangeHandlers Handlers;
  Handlers.m_OnHead = [State](const ResponseHead &Head) {
    State->m_Reply.m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [State](std::string_view Bytes) {
    State->m_Reply.m_Body.append(Bytes);
  };
  Handlers.m_OnEnd = [this, State](ExchangeEnd End) { finish(*State, End); };
  State->m_Channel->send(callText(Call), std::min(Call.m_Limit, ConnectLimit),
                         std::move(Handlers));
}

void HttpClient::finish(Progress &State, ExchangeEnd End) {
  if (!State.m_OnReply)
    return;
  State.m_Timer.cancel();
  State.m_Reply.m_End = End;
  if (End == ExchangeEnd::Complete) {
    m_Channels.give(State.m_Channel, m_Now());
  } else {
    State.m_Reply.m_Status = 0;
    State.m_Channel->close();
  }
  State.m_Channel.reset();
  Handler OnReply = std::move(State.m_OnReply);
  State.m_OnReply = nullptr;
  OnReply(State.m_Reply);
}

} // namespace parsleyring
