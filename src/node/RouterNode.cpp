#include "node/RouterNodeImplementation.h"

#include "audit/TomlTraceCodec.h"
#include "metrics/MetricsPage.h"

#include <glog/logging.h>
#include <unistd.h>

#include <random>

namespace parsleyring {

/// Extra threads, since cancelled attempts may still occupy theirs when the
/// next attempts of their requests start.
static constexpr std::size_t SpareAttemptThreads = 64;
static constexpr std::chrono::milliseconds DrainCheckInterval(20);
/// The process exits after it had no requests for this long.
static constexpr std::chrono::milliseconds IdleTimeBeforeExit(200);
/// Maximum time to write the remaining claim ends after all callers have their
/// answers.
static constexpr std::chrono::seconds ClaimFlushTimeout(10);
static constexpr std::chrono::seconds AuditFlushTimeout(10);

RouterNode::Implementation::Implementation(const Settings &Options,
                                           const PeerFactory &MakePeers)
    : m_Settings(Options), m_Self(makeIncarnation()),
      m_Answers(Options.m_AnswerKeepTime, Options.m_AnswerKeepBytes),
      m_AuditOutput(STDOUT_FILENO), m_Audit(m_Self, m_AuditOutput.stream()),
      m_Platform(Options.m_PlatformAddress, Options.m_PlatformTimeout,
                 [this](std::uint64_t Bytes) {
                   m_Counters.add("platform_calls");
                   m_Counters.add("platform_bytes", Bytes);
                 }),
      m_RouterOptions(routerOptions()), m_Trace(tomlTraceCodec()),
      m_Loop(
          m_RouterOptions, m_Clock,
          [this](Time Now, const Action &Next, LoopInput &Cause) {
            m_Executor.execute(Now, Next, Cause);
          },
          observer()),
      m_Attempts(Options.m_MaxConnections + SpareAttemptThreads,
                 [this](AttemptNumber Number, AttemptReport Report) {
                   attemptEnded(Number, std::move(Report));
                 }),
      m_Peers(MakePeers(
          m_Settings, m_Self, [this] { return m_Clock.now(); }, m_Platform,
          peerCallbacks())),
      m_Executor({m_Answers, m_Attempts, m_Claims, *m_Peers, m_Audit,
                  [this](LoopInput Input) { m_Loop.post(std::move(Input)); }}),
      m_Claims(m_Self, std::random_device()(), m_Platform, claimCallbacks()),
      m_Poller(Options.m_LoadPollInterval, pollerCallbacks()),
      m_Follower(followerOptions()), m_CallerContext(callerContext()),
      m_Callers(std::make_unique<CallerServer>(
          CallerServerOptions{Options.m_CallerAddress, Options.m_MaxBodyBytes,
                              Options.m_MaxConnections},
          m_CallerContext)) {}

Incarnation RouterNode::Implementation::makeIncarnation() const {
  return {m_Settings.m_VM,
          static_cast<std::uint64_t>(m_Clock.now().time_since_epoch().count())};
}

RouterOptions RouterNode::Implementation::routerOptions() const {
  RouterOptions Result;
  Result.m_Self = m_Self;
  Result.m_FailureDomain = m_Settings.m_FailureDomain;
  Result.m_Seed = std::random_device()();
  Result.m_FirstTokenTimeout = m_Settings.m_FirstTokenTimeout;
  Result.m_ClaimTimeout = m_Settings.m_ClaimTimeout;
  return Result;
}

void RouterNode::Implementation::attemptEnded(AttemptNumber Number,
                                              AttemptReport Report) {
  AttemptEnded End;
  End.m_Attempt = Number;
  End.m_Result = Report.m_Result;
  End.m_Status = Report.m_Status;
  End.m_Detail = Report.m_Detail;
  End.m_FailedEndpoint = Report.m_FailedEndpoint;
  m_Loop.post({End, {}, std::move(Report)});
}

void RouterNode::Implementation::applyConfiguration(
    ConfigurationVersion Version,
    const std::shared_ptr<const Document> &Applied) {
  m_Configuration.set(m_Clock.now(), Version, Applied);
  m_Loop.post(ConfigurationApplied{Version, Applied});
  std::map<std::string, PolledEndpoint> Endpoints;
  for (const Pool &Group : Applied->m_Pools)
    for (const EndpointSpec &Member : Group.m_Endpoints)
      Endpoints[Member.m_Name] = {Member.m_Address, Member.m_FailureDomain};
  m_Poller.setEndpoints(Endpoints);
}

std::optional<ErrorAnswer> RouterNode::Implementation::refusal() const {
  if (m_Configuration.version() == 0)
    return ErrorAnswer{503,
                       "no-configuration",
                       "this VM has no configuration yet",
                       Outcome::NotRun,
                       {},
                       1};
  if (m_AuditOutput.isCongested())
    return ErrorAnswer{503,
                       "audit-congested",
                       "audit records cannot be written fast enough",
                       Outcome::NotRun,
                       {},
                       1};
  return std::nullopt;
}

bool RouterNode::Implementation::isReady() const {
  return !m_IsDraining && !refusal();
}

std::string RouterNode::Implementation::metrics() const {
  RouterMetrics Values;
  Values.m_Router = m_Loop.counters();
  Values.m_ConfigurationVersion = m_Configuration.version();
  Values.m_Totals = m_Counters.totals();
  Values.m_Totals["audit_lines_lost"] = m_AuditOutput.lostLineCount();
  Values.m_Gauges["answers_kept_bytes"] =
      static_cast<double>(m_Answers.keptBytes());
  Values.m_Gauges["attempts_in_progress"] =
      static_cast<double>(m_Attempts.attemptCount());
  Values.m_Gauges["claims_pending"] =
      static_cast<double>(m_Claims.pendingCount());
  Values.m_Gauges["configuration_age_seconds"] =
      std::chrono::duration<double>(m_Configuration.age(m_Clock.now())).count();
  Values.m_Gauges["peers_alive"] =
      static_cast<double>(m_Peers->livePeers().size());
  return metricsText(Values);
}

void RouterNode::Implementation::start() {
  m_Loop.start();
  m_Peers->start();
  m_Follower.start();
  m_Callers->start();
  LOG(INFO) << "listening for callers on port " << m_Callers->port();
}

void RouterNode::Implementation::drain() {
  LOG(INFO) << "shutdown started";
  m_IsDraining = true;
  // The load balancer sends requests until it has seen /readyz fail.
  std::this_thread::sleep_for(m_Settings.m_DrainLead);
  m_Peers->startDraining();
  m_Loop.post(DrainStarted{});
  while (m_Loop.hasRequestsInProgress())
    std::this_thread::sleep_for(DrainCheckInterval);
  m_Callers->blockNewConnections();
  waitUntilIdle();
  stop();
  LOG(INFO) << "shutdown complete";
}

void RouterNode::Implementation::waitUntilIdle() const {
  // A request may be on its way to the server; it is then answered as not run.
  auto IdleSince = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - IdleSince < IdleTimeBeforeExit) {
    if (m_Loop.hasRequestsInProgress() || m_Callers->requestsInProgress() > 0)
      IdleSince = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(DrainCheckInterval);
  }
  auto End = std::chrono::steady_clock::now() + ClaimFlushTimeout;
  while (m_Claims.pendingCount() > 0 && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(DrainCheckInterval);
}

void RouterNode::Implementation::stop() {
  m_Callers->stop();
  m_Poller.stop();
  m_Loop.stop();
  m_Attempts.stop();
  m_Platform.shutDown();
  m_Follower.stop();
  m_Peers->stop();
  m_AuditOutput.close(AuditFlushTimeout);
}

RouterNode::RouterNode(const Settings &Options, const PeerFactory &MakePeers)
    : m_Implementation(std::make_unique<Implementation>(Options, MakePeers)) {}

RouterNode::~RouterNode() = default;

void RouterNode::start() { m_Implementation->start(); }

void RouterNode::drain() { m_Implementation->drain(); }

int RouterNode::callerPort() const {
  return m_Implementation->callers().port();
}

} // namespace parsleyring
