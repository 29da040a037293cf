#include "parsleyring/Router.h"

#include "requests/AdmissionSystem.h"
#include "requests/AuditRecords.h"
#include "requests/CancellationSystem.h"
#include "requests/ConfigurationSystem.h"
#include "requests/TimeoutSystem.h"
#include "requests/TokenSystem.h"

namespace parsleyring {

/// Sampling interval of the outstanding requests, which the digests report to
/// the peers.
static constexpr Duration UsageInterval = std::chrono::milliseconds(100);

/// Owns the state and the systems, and passes each event to its system.
class Router::Implementation {
public:
  explicit Implementation(const RouterOptions &Options)
      : m_State(Options), m_Finisher(m_State), m_Queues(m_State, m_Finisher),
        m_Claims(m_State, m_Finisher, m_Queues),
        m_Admission(m_State, m_Finisher, m_Queues, m_Claims),
        m_Endpoints(m_State),
        m_Retries(m_State, m_Finisher, m_Queues, m_Endpoints),
        m_Tokens(m_State, m_Endpoints, m_Retries),
        m_Cancellations(m_State, m_Finisher),
        m_Configurations(m_State, m_Finisher),
        m_Timeouts(m_State, m_Finisher, m_Claims, m_Endpoints, m_Retries,
                   m_Cancellations) {}

  void handle(Context &Call, const Event &Input) {
    m_Timeouts.excusePause(Call.m_Now);
    bool CanStart =
        std::visit([&](const auto &Value) { return on(Call, Value); }, Input);
    if (CanStart)
      m_Queues.dispatch(Call);
  }

  RouterCounters counters() const;
  const RouterState &state() const { return m_State; }

private:
  // Each overload returns true if the event may allow an attempt to start.
  bool on(Context &Call, const CompletionArrived &Arrival) {
    m_Admission.completionArrived(Call, Arrival);
    return true;
  }
  bool on(Context &Call, const ServiceCallArrived &Arrival) {
    m_Admission.serviceCallArrived(Call, Arrival);
    return true;
  }
  bool on(Context &Call, const CallerGone &Gone) {
    m_Cancellations.callerGone(Call, Gone);
    return false;
  }
  bool on(Context &Call, const CallerReturned &Returned) {
    m_Cancellations.callerReturned(Call, Returned);
    return false;
  }
  bool on(Context &Call, const TokenArrived &Token) {
    return !m_Tokens.tokenArrived(Call, Token);
  }
  bool on(Context &Call, const AttemptEnded &End) {
    m_Retries.attemptEnded(Call, End);
    return true;
  }
  bool on(Context &Call, const LoadReported &Report) {
    m_Endpoints.loadReported(Call, Report);
    return false; // The next tick dispatches.
  }
  bool on(Context &Call, const EndpointLeaving &Leaving) {
    m_Endpoints.endpointLeaving(Call, Leaving);
    return false;
  }
  bool on(Context &Call, const PeersChanged &Change) {
    m_Endpoints.peersChanged(Call, Change);
    return true;
  }
  bool on(Context &Call, const ConfigurationApplied &Applied) {
    m_Configurations.configurationApplied(Call, Applied);
    return true;
  }
  bool on(Context &Call, const ClaimSettled &Settled) {
    m_Claims.settled(Call, Settled);
    return true;
  }
  bool on(Context &Call, const DrainStarted &);
  bool on(Context &Call, const Tick &);

  RouterState m_State;
  RequestFinisher m_Finisher;
  Dispatcher m_Queues;
  ClaimSystem m_Claims;
  AdmissionSystem m_Admission;
  EndpointSystem m_Endpoints;
  RetrySystem m_Retries;
  TokenSystem m_Tokens;
  CancellationSystem m_Cancellations;
  ConfigurationSystem m_Configurations;
  TimeoutSystem m_Timeouts;
  // Outstanding requests per account. Sampled at ticks only, so that a call of
  // counters() changes no decision.
  std::map<std::string, std::uint32_t> m_Usage;
  Time m_UsageAt{};
};

bool Router::Implementation::on(Context &Call, const DrainStarted &) {
  if (!m_State.m_IsDraining)
    Call.add(drainRecord(Call.m_Now, m_State.m_Requests.size()));
  m_State.m_IsDraining = true;
  return false;
}

bool Router::Implementation::on(Context &Call, const Tick &) {
  m_Timeouts.run(Call);
  if (Call.m_Now - m_UsageAt >= UsageInterval) {
    m_Usage = m_State.m_Accounts.usage(Call.m_Now);
    m_UsageAt = Call.m_Now;
  }
  return true;
}

RouterCounters Router::Implementation::counters() const {
  RouterCounters Result;
  Result.m_Totals = m_State.m_Counters.totals();
  Result.m_RequestsInProgress = m_State.m_Requests.size();
  for (const auto &[Number, Subject] : m_State.m_Requests)
    if (Subject.m_State != RequestState::Running)
      ++Result.m_RequestsQueued;
  Result.m_Outstanding = m_Usage;
  return Result;
}

Router::Router(const RouterOptions &Options)
    : m_Implementation(std::make_unique<Implementation>(Options)) {}

Router::~Router() = default;

void Router::handle(Time Now, const Event &Input,
                    std::vector<Action> &Actions) {
  Context Call{Now, Actions};
  m_Implementation->handle(Call, Input);
}

RouterCounters Router::counters() const { return m_Implementation->counters(); }

ConfigurationVersion Router::configurationVersion() const {
  return m_Implementation->state().m_Version;
}

bool Router::hasRequestsInProgress() const {
  return !m_Implementation->state().m_Requests.empty();
}

} // namespace parsleyring
