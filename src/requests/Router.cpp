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
static constexpr Duration OutstandingSampleInterval =
    std::chrono::milliseconds(100);

/// Owns the state and the systems, and passes each event to its system.
class Router::Implementation {
public:
  explicit Implementation(const RouterOptions &Options)
      : m_State(Options), m_Finisher(m_State),
        m_Dispatcher(m_State, m_Finisher),
        m_Claims(m_State, m_Finisher, m_Dispatcher),
        m_Admission(m_State, m_Finisher, m_Dispatcher, m_Claims),
        m_Endpoints(m_State),
        m_Retries(m_State, m_Finisher, m_Dispatcher, m_Endpoints),
        m_Tokens(m_State, m_Endpoints, m_Retries),
        m_Cancellations(m_State, m_Finisher),
        m_Configurations(m_State, m_Finisher),
        m_Timeouts(m_State, m_Finisher, m_Claims, m_Endpoints, m_Retries,
                   m_Cancellations) {}

  void handle(EventContext &Context, const Event &Input) {
    m_Timeouts.compensateForPause(Context.m_Now);
    bool CanStart = std::visit(
        [&](const auto &Value) { return on(Context, Value); }, Input);
    if (CanStart)
      m_Dispatcher.dispatch(Context);
  }

  RouterCounters counters() const;
  const RouterState &state() const { return m_State; }

private:
  // Each overload returns true if the event may allow an attempt to start.
  bool on(EventContext &Context, const CompletionArrived &Arrival) {
    m_Admission.completionArrived(Context, Arrival);
    return true;
  }
  bool on(EventContext &Context, const ServiceCallArrived &Arrival) {
    m_Admission.serviceCallArrived(Context, Arrival);
    return true;
  }
  bool on(EventContext &Context, const CallerDisconnected &Disconnected) {
    m_Cancellations.callerDisconnected(Context, Disconnected);
    return false;
  }
  bool on(EventContext &Context, const CallerReturned &Returned) {
    m_Cancellations.callerReturned(Context, Returned);
    return false;
  }
  bool on(EventContext &Context, const TokenArrived &Token) {
    return !m_Tokens.tokenArrived(Context, Token);
  }
  bool on(EventContext &Context, const AttemptEnded &End) {
    m_Retries.attemptEnded(Context, End);
    return true;
  }
  bool on(EventContext &Context, const LoadReported &Report) {
    m_Endpoints.loadReported(Context, Report);
    return false; // The next tick dispatches.
  }
  bool on(EventContext &Context, const EndpointLeaving &Leaving) {
    m_Endpoints.endpointLeaving(Context, Leaving);
    return false;
  }
  bool on(EventContext &Context, const PeersChanged &Change) {
    m_Endpoints.peersChanged(Context, Change);
    return true;
  }
  bool on(EventContext &Context, const ConfigurationApplied &Applied) {
    m_Configurations.configurationApplied(Context, Applied);
    return true;
  }
  bool on(EventContext &Context, const ClaimSettled &Settled) {
    m_Claims.claimSettled(Context, Settled);
    return true;
  }
  bool on(EventContext &Context, const DrainStarted &);
  bool on(EventContext &Context, const Tick &);

  RouterState m_State;
  RequestFinisher m_Finisher;
  Dispatcher m_Dispatcher;
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
  std::map<std::string, std::uint32_t> m_OutstandingSample;
  Time m_OutstandingSampledAt{};
};

bool Router::Implementation::on(EventContext &Context, const DrainStarted &) {
  if (!m_State.m_IsDraining)
    Context.add(drainRecord(Context.m_Now, m_State.m_Requests.size()));
  m_State.m_IsDraining = true;
  return false;
}

bool Router::Implementation::on(EventContext &Context, const Tick &) {
  m_Timeouts.run(Context);
  if (Context.m_Now - m_OutstandingSampledAt >= OutstandingSampleInterval) {
    m_OutstandingSample = m_State.m_Accounts.usage(Context.m_Now);
    m_OutstandingSampledAt = Context.m_Now;
  }
  return true;
}

RouterCounters Router::Implementation::counters() const {
  RouterCounters Result;
  Result.m_Totals = m_State.m_Counters.totals();
  Result.m_RequestsInProgress = m_State.m_Requests.size();
  for (const auto &[Number, Req] : m_State.m_Requests)
    if (Req.m_State != RequestState::Running)
      ++Result.m_RequestsQueued;
  Result.m_Outstanding = m_OutstandingSample;
  return Result;
}

Router::Router(const RouterOptions &Options)
    : m_Implementation(std::make_unique<Implementation>(Options)) {}

Router::~Router() = default;

void Router::handle(Time Now, const Event &Input,
                    std::vector<Action> &Actions) {
  EventContext Context{Now, Actions};
  m_Implementation->handle(Context, Input);
}

RouterCounters Router::counters() const { return m_Implementation->counters(); }

ConfigurationVersion Router::configurationVersion() const {
  return m_Implementation->state().m_Version;
}

bool Router::hasRequestsInProgress() const {
  return !m_Implementation->state().m_Requests.empty();
}

} // namespace parsleyring
