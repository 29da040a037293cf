#include "gateway/CrashDetector.h"

#include <boost/asio/steady_timer.hpp>

namespace parsleyring {

// A working engine answers a report request immediately.
static constexpr Duration ReportTimeout = std::chrono::milliseconds(220);
// A connection that is kept open may be reset when the first call uses it.
static constexpr int MaxCalls = 2;
static constexpr Duration CallInterval = std::chrono::milliseconds(30);
// The connections of a crashed engine end at about the same time.
static constexpr Duration CutOffPeriod = std::chrono::seconds(5);
static constexpr unsigned OtherIncarnationStatus = 421;

struct CrashDetector::Check {
  Check(boost::asio::io_context &Loop, FleetTable::Handle Endpoint, Time Now)
      : m_Crash{std::move(Endpoint), Now, {}}, m_Timer(Loop) {}

  Crash m_Crash; ///< As it is reported if the engine has crashed.
  boost::asio::steady_timer m_Timer;
  int m_Calls = 0;
  bool m_HasCrashed = false;
};

CrashDetector::CrashDetector(boost::asio::io_context &Loop,
                             EndpointClient &Client,
                             const EndpointProtocol &Protocol,
                             std::function<Time()> Now, CrashHandler OnCrash)
    : m_Loop(Loop), m_Client(Client), m_Protocol(Protocol),
      m_Now(std::move(Now)), m_OnCrash(std::move(OnCrash)) {}

CrashDetector::~CrashDetector() = default;

void CrashDetector::noteCutOff(const FleetTable::Handle &Endpoint,
                               const std::vector<std::string> &Suspects) {
  bool IsLeaving = Endpoint->m_IsRemoved ||
                   Endpoint->m_Entry.m_State != EndpointState::Ready;
  if (IsLeaving)
    return;
  std::shared_ptr<Check> &Known = m_Checks[Endpoint.get()];
  bool IsNew = !Known;
  if (IsNew)
    Known = std::make_shared<Check>(m_Loop, Endpoint, m_Now());
  // A copy, since the handler may change the map.
  std::shared_ptr<Check> Current = Known;
  for (const std::string &Suspect : Suspects)
    ++Current->m_Crash.m_RequestsBySuspect[Suspect];
  if (IsNew)
    ask(Current);
  else if (Current->m_HasCrashed)
    m_OnCrash(Current->m_Crash);
}

void CrashDetector::ask(const std::shared_ptr<Check> &Asked) {
  ++Asked->m_Calls;
  m_Client.call(
      Asked->m_Crash.m_Endpoint, m_Protocol.reportCall(), ReportTimeout,
      [this, Asked](const CallReply &Reply) { handleReply(Asked, Reply); });
}

void CrashDetector::handleReply(const std::shared_ptr<Check> &Asked,
                                const CallReply &Reply) {
  // Silence may also mean that the engine is cut off.
  bool IsGone = Reply.m_Status == OtherIncarnationStatus ||
                (Reply.m_Status == 0 && Reply.m_End != ExchangeEnd::TimedOut);
  if (!IsGone) {
    m_Checks.erase(Asked->m_Crash.m_Endpoint.get());
    return;
  }
  if (Asked->m_Calls < MaxCalls) {
    Asked->m_Timer.expires_after(CallInterval);
    Asked->m_Timer.async_wait([this, Asked](boost::system::error_code Error) {
      if (!Error)
        ask(Asked);
    });
    return;
  }
  Asked->m_HasCrashed = true;
  m_OnCrash(Asked->m_Crash);
  Asked->m_Crash.m_IsNew = false;
}

void CrashDetector::expire() {
  Time Now = m_Now();
  for (auto Entry = m_Checks.begin(); Entry != m_Checks.end();)
    Entry = Now - Entry->second->m_Crash.m_At > CutOffPeriod
                ? m_Checks.erase(Entry)
                : std::next(Entry);
}

} // namespace parsleyring
