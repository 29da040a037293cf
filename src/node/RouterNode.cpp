#include "node/RouterNode.h"

#include "audit/AuditOutput.h"
#include "audit/AuditWriter.h"
#include "audit/TraceCodec.h"
#include "callers/AnswerStore.h"
#include "callers/CallerServer.h"
#include "claims/PlatformClaimService.h"
#include "configuration/ConfigurationFollower.h"
#include "document/DocumentReader.h"
#include "document/DocumentWriter.h"
#include "endpoints/AttemptRunner.h"
#include "endpoints/LoadPoller.h"
#include "metrics/EventCounters.h"
#include "metrics/MetricsPage.h"
#include "node/ActionExecutor.h"
#include "node/ConfigurationInForce.h"
#include "node/RouterLoop.h"
#include "platform/HttpPlatformClient.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <random>

namespace parsleyring {

/// Cancelled attempts may still hold their threads when the next ones of
/// their requests begin.
static constexpr std::size_t SpareAttemptThreads = 64;
static constexpr std::chrono::milliseconds DrainCheckInterval(20);
/// The process ends once it was without requests for this long.
static constexpr std::chrono::milliseconds QuietTime(200);
/// Time for the claims that are left to be written, once all callers have
/// their answers.
static constexpr std::chrono::seconds ClaimFlushLimit(10);
static constexpr std::chrono::seconds AuditFlushLimit(10);
/// Default of the published completions format.
static constexpr std::uint32_t DefaultMaxTokens = 16;

static std::string documentToText(const Document &Value) {
  return DocumentWriter::write(Value);
}

static std::shared_ptr<const Document>
documentFromText(const std::string &Text) {
  DocumentReader Reader;
  std::vector<Finding> Findings;
  Reader.add("trace", Text, Findings);
  if (!Findings.empty())
    throw TraceError(toString(Findings.front()));
  return std::make_shared<Document>(Reader.takeDocument());
}

class RouterNode::Implementation {
public:
  Implementation(const Settings &Options, const PeerFactory &MakePeers);
  ~Implementation() { stop(); }

  void start();
  void drain();

  CallerServer &callers() { return *m_Callers; }

private:
  Incarnation makeSelf() const;
  RouterOptions routerOptions() const;
  FollowerOptions followerOptions();
  RouterLoop::Observer observer();
  PeerCallbacks peerCallbacks();
  ClaimCallbacks claimCallbacks();
  CallerContext callerContext();
  LoadPoller::Callbacks pollerCallbacks();

  void applyConfiguration(ConfigurationVersion Version,
                          const std::shared_ptr<const Document> &Applied);
  void recordRejection(const ConfigurationRejection &Rejected);
  void attemptEnded(AttemptNumber Number, AttemptReport Report);
  void keepAnswer(RequestNumber Number, const RemoteAnswer &Kept);
  std::optional<RemoteAnswer> keyState(const Incarnation &Holder,
                                       const std::string &Account,
                                       const std::string &Key);
  std::optional<ErrorAnswer> refusal() const;
  bool isReady() const;
  std::string metrics() const;
  void waitUntilIdle() const;
  void stop();

  const Settings m_Settings;
  const NodeClock m_Clock;
  const Incarnation m_Self;
  EventCounters m_Counters;
  AnswerStore m_Answers;
  AuditOutput m_AuditOutput;
  AuditWriter m_Audit;
  HttpPlatformClient m_Platform;
  const RouterOptions m_RouterOptions;
  const TraceCodec m_Trace;
  ConfigurationInForce m_Configuration;
  std::atomic<RequestNumber> m_LastRequest{0};
  std::atomic<bool> m_IsDraining{false};

  RouterLoop m_Loop;
  AttemptRunner m_Attempts;
  std::unique_ptr<PeerNetwork> m_Peers;
  ActionExecutor m_Executor; // Outlives the threads of m_Claims.
  PlatformClaimService m_Claims;
  LoadPoller m_Poller;
  ConfigurationFollower m_Follower;
  CallerContext m_CallerContext;
  std::unique_ptr<CallerServer> m_Callers;
};

RouterNode::Implementation::Implementation(const Settings &Options,
                                           const PeerFactory &MakePeers)
    : m_Settings(Options), m_Self(makeSelf()),
      m_Answers(Options.m_AnswerKeepTime, Options.m_AnswerKeepBytes),
      m_AuditOutput(STDOUT_FILENO), m_Audit(m_Self, m_AuditOutput.stream()),
      m_Platform(Options.m_PlatformAddress, Options.m_PlatformTimeout),
      m_RouterOptions(routerOptions()),
      m_Trace(documentToText, documentFromText),
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

Incarnation RouterNode::Implementation::makeSelf() const {
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

FollowerOptions RouterNode::Implementation::followerOptions() {
  FollowerOptions Result;
  Result.m_Platform = &m_Platform;
  for (const PeerSeed &Seed : m_Settings.m_Peers)
    Result.m_StartPeers.push_back(Seed.m_VM);
  Result.m_FetchHead = [this](const std::string &Peer) {
    return m_Peers->fetchHead(Peer);
  };
  Result.m_FetchChunk = [this](const std::string &Peer,
                               const std::string &Sha256) {
    return m_Peers->fetchChunk(Peer, Sha256);
  };
  Result.m_OnApplied = [this](ConfigurationVersion Version,
                              const std::shared_ptr<const Document> &Applied) {
    applyConfiguration(Version, Applied);
  };
  Result.m_OnRejected = [this](const ConfigurationRejection &Rejected) {
    recordRejection(Rejected);
  };
  Result.m_Now = [this] { return m_Clock.now(); };
  return Result;
}

RouterLoop::Observer RouterNode::Implementation::observer() {
  if (!m_Settings.m_IsTraceEnabled)
    return {};
  m_Audit.write(TraceCodec::encodeStart(m_Clock.now(), m_RouterOptions));
  return [this](Time Now, const Event &Value) {
    m_Audit.write(m_Trace.encode(Now, Value));
  };
}

PeerCallbacks RouterNode::Implementation::peerCallbacks() {
  PeerCallbacks Result;
  Result.m_Post = [this](const Event &Value) { m_Loop.post(Value); };
  Result.m_ConfigurationVersion = [this] { return m_Configuration.version(); };
  Result.m_NewerConfiguration = [this](const std::string &Peer,
                                       ConfigurationVersion Version) {
    m_Follower.noteNewer(Peer, Version);
  };
  Result.m_HeadJson = [this] { return m_Follower.headJson(); };
  Result.m_Chunk = [this](const std::string &Sha256) {
    return m_Follower.chunk(Sha256);
  };
  Result.m_Outstanding = [this] { return m_Loop.counters().m_Outstanding; };
  Result.m_RequestState = [this](RequestNumber Number, std::uint32_t From) {
    auto Found = m_Answers.find(Number);
    return Found ? Found->snapshot(From) : RemoteAnswer{};
  };
  Result.m_KeyState = [this](const std::string &Account,
                             const std::string &Key) {
    auto Found = m_Answers.findByKey(Account, Key);
    return Found ? Found->snapshot(0) : RemoteAnswer{};
  };
  Result.m_TakeReservation =
      [this](const std::string &Account, const std::string &Key,
             const std::string &BodySha256, const std::string &Holder) {
        return m_Claims.takeReservation(Account, Key, BodySha256, Holder);
      };
  Result.m_EndReservation = [this](const std::string &Key, ClaimEnd End) {
    m_Claims.endReservation(Key, End);
  };
  return Result;
}

ClaimCallbacks RouterNode::Implementation::claimCallbacks() {
  ClaimCallbacks Result;
  Result.m_Now = [this] { return m_Clock.now(); };
  Result.m_KeyState =
      [this](const Incarnation &Holder, const std::string &Account,
             const std::string &Key) { return keyState(Holder, Account, Key); };
  Result.m_KeptAnswer = [this](RequestNumber Number, const RemoteAnswer &Kept) {
    keepAnswer(Number, Kept);
  };
  Result.m_TakeRemote = [this](const OwnedId &Key,
                               const RequestClaim &Request) {
    return m_Peers->takeReservation(Key, Request);
  };
  Result.m_EndRemote = [this](const OwnedId &Key, const std::string &Text,
                              ClaimEnd End) {
    m_Peers->endReservation(Key, Text, End);
  };
  return Result;
}

LoadPoller::Callbacks RouterNode::Implementation::pollerCallbacks() {
  LoadPoller::Callbacks Result;
  Result.m_Now = [this] { return m_Clock.now(); };
  Result.m_IsWanted = [this](const std::string &Endpoint,
                             const std::string &FailureDomain) {
    return m_Peers->isPoller(Endpoint, FailureDomain);
  };
  Result.m_Report = [this](const LoadReported &Report) {
    m_Counters.add("load_reports_polled");
    m_Loop.post(Report);
    m_Peers->noteLoad(Report);
  };
  Result.m_Failed = [this](const std::string &) {
    m_Counters.add("load_polls_failed");
  };
  return Result;
}

CallerContext RouterNode::Implementation::callerContext() {
  return {m_Answers,
          m_Self,
          [this] { return ++m_LastRequest; },
          [this](const Event &Value) { m_Loop.post(Value); },
          [this] { return refusal(); },
          [this](const std::string &Model) {
            auto Current = m_Configuration.document();
            const Pipeline *Found =
                Current ? Current->pipeline(Model) : nullptr;
            return Found ? std::min(DefaultMaxTokens, Found->m_MaxTokens)
                         : DefaultMaxTokens;
          },
          [this](const std::string &Key, const std::string &Other) {
            return m_Configuration.isSameAccount(Key, Other);
          },
          [this](const std::string &Key) {
            return m_Configuration.accountName(Key);
          },
          [this](const std::string &Account) {
            return m_Claims.issueReservation(Account);
          },
          [this](const OwnedId &Id, std::uint32_t From) {
            return m_Peers->requestState(Id, From);
          },
          [this] { return isReady(); },
          [this] { return m_IsDraining.load(); },
          [this] { return metrics(); },
          [this](const char *Counter) { m_Counters.add(Counter); }};
}

void RouterNode::Implementation::attemptEnded(AttemptNumber Number,
                                              AttemptReport Report) {
  AttemptEnded End;
  End.m_Attempt = Number;
  End.m_Result = Report.m_Result;
  End.m_Status = Report.m_Status;
  End.m_Detail = Report.m_Detail;
  m_Loop.post({End, {}, std::move(Report)});
}

std::optional<RemoteAnswer>
RouterNode::Implementation::keyState(const Incarnation &Holder,
                                     const std::string &Account,
                                     const std::string &Key) {
  if (Holder.m_VM != m_Self.m_VM)
    return m_Peers->keyState(Holder, Account, Key);
  if (Holder.m_Number != m_Self.m_Number)
    return std::nullopt;
  auto Found = m_Answers.findByKey(Account, Key);
  return Found ? Found->snapshot(0) : RemoteAnswer{};
}

void RouterNode::Implementation::keepAnswer(RequestNumber Number,
                                            const RemoteAnswer &Kept) {
  auto Target = m_Answers.find(Number);
  if (!Target)
    return;
  ServiceAnswer Copy;
  Copy.m_Status = Kept.m_Status;
  if (!Kept.m_ContentType.empty())
    Copy.m_Headers.emplace_back("Content-Type", Kept.m_ContentType);
  Copy.m_Body = Kept.m_Body;
  Target->setServiceAnswer(std::move(Copy));
}

void RouterNode::Implementation::applyConfiguration(
    ConfigurationVersion Version,
    const std::shared_ptr<const Document> &Applied) {
  m_Configuration.set(Version, Applied);
  m_Loop.post(ConfigurationApplied{Version, Applied});
  std::map<std::string, PolledEndpoint> Endpoints;
  for (const Pool &Group : Applied->m_Pools)
    for (const EndpointSpec &Member : Group.m_Endpoints)
      Endpoints[Member.m_Name] = {Member.m_Address, Member.m_FailureDomain};
  m_Poller.setEndpoints(Endpoints);
}

void RouterNode::Implementation::recordRejection(
    const ConfigurationRejection &Rejected) {
  static constexpr std::size_t MaxFindings = 20;
  nlohmann::json Findings = nlohmann::json::array();
  for (const Finding &Found : Rejected.m_Findings)
    if (Findings.size() < MaxFindings)
      Findings.push_back(toString(Found));
  WriteAudit Record;
  Record.m_Kind = AuditKind::Configuration;
  Record.m_At = Rejected.m_At;
  Record.m_FieldsJson =
      nlohmann::json{{"accepted", false},
                     {"source", Rejected.m_Source},
                     {"version", Rejected.m_Version},
                     {"findings", std::move(Findings)}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  m_Audit.write(Record, "configuration");
  m_Counters.add("configurations_rejected");
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
  NodeMetrics Values;
  Values.m_Router = m_Loop.counters();
  Values.m_ConfigurationVersion = m_Configuration.version();
  Values.m_Totals = m_Counters.totals();
  Values.m_Totals["audit_lines_lost"] = m_AuditOutput.lostLines();
  Values.m_Gauges["answers_kept_bytes"] =
      static_cast<double>(m_Answers.keptBytes());
  Values.m_Gauges["attempts_in_progress"] =
      static_cast<double>(m_Attempts.running());
  Values.m_Gauges["claims_pending"] =
      static_cast<double>(m_Claims.pendingCount());
  Values.m_Gauges["peers_alive"] =
      static_cast<double>(m_Peers->livePeers().size());
  return metricsText(Values);
}

void RouterNode::Implementation::start() {
  m_Loop.start();
  m_Peers->start();
  m_Follower.start();
  m_Callers->start();
  LOG(INFO) << "serves callers on port " << m_Callers->port();
}

void RouterNode::Implementation::drain() {
  LOG(INFO) << "shutdown begins";
  m_IsDraining = true;
  // The load balancer still sends requests until it has seen /readyz fail.
  std::this_thread::sleep_for(m_Settings.m_DrainLead);
  m_Peers->startDraining();
  m_Loop.post(DrainStarted{});
  waitUntilIdle();
  stop();
  LOG(INFO) << "shutdown is complete";
}

void RouterNode::Implementation::waitUntilIdle() const {
  // A request may be on its way into the server; it is answered as not run.
  auto IdleSince = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - IdleSince < QuietTime) {
    if (m_Loop.hasRequestsInProgress() || m_Callers->requestsInProgress() > 0)
      IdleSince = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(DrainCheckInterval);
  }
  auto End = std::chrono::steady_clock::now() + ClaimFlushLimit;
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
  m_AuditOutput.close(AuditFlushLimit);
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
