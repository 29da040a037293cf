#include "gateway/CrashDetector.h"

#include <boost/asio/steady_timer.hpp>

namespace parsleyring {

// A working engine answers a report request immediately.
static constexpr Duration ReportTimeout = std::chrono::milliseconds(220);
// A connection that is kept open may be reset when the first call uses it.
static constexpr int MaxCalls = 2;
static constexpr Duration CallInterval = std::chrono::milliseconds(30);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(220);
// A process that ends may close its connections before it stops listening.
static constexpr Duration ProbeDelay = std::chrono::milliseconds(10);
static constexpr Duration ProbeInterval = std::chrono::milliseconds(20);
// The connections of a crashed endpoint end at about the same time.
static constexpr Duration CutOffPeriod = std::chrono::seconds(5);
static constexpr unsigned OtherIncarnationStatus = 421;

struct CrashDetector::Check {
  Check(boost::asio::io_context &Loop, FleetTable::Handle Endpoint, Time Now,
        Method Used)
      : m_Crash{std::move(Endpoint), Now, {}}, m_Method(Used), m_Timer(Loop) {}

  Crash m_Crash; ///< As it is reported if the endpoint has crashed.
  const Method m_Method;
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
                               const std::vector<std::string> &Suspects,
                               Time SentAt, Method Used) {
  if (Endpoint->m_IsRemoved || Endpoint->isLeaving())
    return;
  std::shared_ptr<Check> &Known = m_Checks[Endpoint.get()];
  bool IsNew = !Known;
  if (IsNew)
    Known = std::make_shared<Check>(m_Loop, Endpoint, m_Now(), Used);
  // A copy, since the handler may change the map.
  std::shared_ptr<Check> Current = Known;
  for (const std::string &Suspect : Suspects) {
    CutOff &Requests = Current->m_Crash.m_CutOffs[Suspect];
    if (Requests.m_Requests == 0 || SentAt < Requests.m_SentAt)
      Requests.m_SentAt = SentAt;
    ++Requests.m_Requests;
  }
  if (IsNew)
    askAfter(Current, Used == Method::Connection ? ProbeDelay : Duration{});
  else if (Current->m_HasCrashed)
    m_OnCrash(Current->m_Crash);
}

bool CrashDetector::hasCrashed(const FleetEndpoint &Endpoint) const {
  auto Known = m_Checks.find(&Endpoint);
  return Known != m_Checks.end() && Known->second->m_HasCrashed;
}

void CrashDetector::askAfter(const std::shared_ptr<Check> &Asked,
                             Duration Delay) {
  if (Delay == Duration::zero()) {
    ask(Asked);
    return;
  }
  Asked->m_Timer.expires_after(Delay);
  Asked->m_Timer.async_wait([this, Asked](boost::system::error_code Error) {
    if (!Error)
      ask(Asked);
  });
}

void CrashDetector::ask(const std::shared_ptr<Check> &Asked) {
  ++Asked->m_Calls;
  const FleetTable::Handle &Endpoint = Asked->m_Crash.m_Endpoint;
  // Silence may also mean that the endpoint is cut off.
  if (Asked->m_Method == Method::Connection) {
    probeConnection(m_Loop, Endpoint->m_Entry.m_Address, ProbeTimeout,
                    [this, Asked](ProbeResult Result) {
                      handleResult(Asked, Result == ProbeResult::Refused);
                    });
    return;
  }
  m_Client.call(Endpoint, m_Protocol.reportCall(), ReportTimeout,
                [this, Asked](const CallReply &Reply) {
                  // An engine that sends anything still runs.
                  bool HasFailed = Reply.m_End == ExchangeEnd::ConnectFailed ||
                                   Reply.m_End == ExchangeEnd::Closed;
                  handleResult(Asked, HasFailed || Reply.m_Status ==
                                                       OtherIncarnationStatus);
                });
}

void CrashDetector::handleResult(const std::shared_ptr<Check> &Asked,
                                 bool IsGone) {
  if (!IsGone) {
    m_Checks.erase(Asked->m_Crash.m_Endpoint.get());
    return;
  }
  if (Asked->m_Calls < MaxCalls) {
    askAfter(Asked, Asked->m_Method == Method::Connection ? ProbeInterval
                                                          : CallInterval);
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
