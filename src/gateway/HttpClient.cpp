#include "gateway/HttpClient.h"

namespace parsleyring {

static constexpr Duration ConnectTimeout = std::chrono::milliseconds(600);
static constexpr Duration MaxIdle = std::chrono::seconds(4);
// Several times a page of the store, so that a server that sends bytes without
// end does not fill the memory.
static constexpr std::size_t MaxBodyBytes = 8 << 20;

struct HttpClient::PendingCall {
  explicit PendingCall(boost::asio::io_context &Loop) : m_Timer(Loop) {}

  CallReply m_Reply;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<HttpConnection> m_Connection;
  Handler m_OnReply; ///< Null once the call has ended.
};

static std::string serializeCall(const HttpCall &Call) {
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
  auto Pending = std::make_shared<PendingCall>(m_Loop);
  Pending->m_Connection =
      m_ConnectionPool.acquire(Call.m_Address, MaxIdle, m_Now());
  Pending->m_OnReply = std::move(OnReply);
  Pending->m_Timer.expires_after(Call.m_Timeout);
  Pending->m_Timer.async_wait([this, Pending](boost::system::error_code Error) {
    if (!Error)
      finish(*Pending, ExchangeEnd::TimedOut);
  });
  ExchangeHandlers Handlers;
  Handlers.m_OnHead = [Pending](const ResponseHead &Head) {
    Pending->m_Reply.m_Status = Head.m_Status;
    Pending->m_Reply.m_Head = Head;
  };
  Handlers.m_OnBody = [Pending](std::string_view Bytes) {
    Pending->m_Reply.m_Body.append(Bytes);
    if (Pending->m_Reply.m_Body.size() > MaxBodyBytes)
      Pending->m_Connection->rejectResponse("the body is too long");
  };
  Handlers.m_OnEnd = [this, Pending](ExchangeEnd End) {
    finish(*Pending, End);
  };
  Pending->m_Connection->send(serializeCall(Call), nullptr,
                              std::min(Call.m_Timeout, ConnectTimeout),
                              std::move(Handlers));
}

void HttpClient::finish(PendingCall &Pending, ExchangeEnd End) {
  if (!Pending.m_OnReply)
    return;
  Pending.m_Timer.cancel();
  Pending.m_Reply.m_End = End;
  if (End == ExchangeEnd::Complete) {
    m_ConnectionPool.release(Pending.m_Connection, m_Now());
  } else {
    Pending.m_Reply.m_Status = 0;
    Pending.m_Reply.m_Finding = Pending.m_Connection->finding();
    Pending.m_Connection->close();
  }
  Pending.m_Connection.reset();
  Handler OnReply = std::move(Pending.m_OnReply);
  Pending.m_OnReply = nullptr;
  OnReply(Pending.m_Reply);
}

} // namespace parsleyring
