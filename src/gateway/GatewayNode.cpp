#include "gateway/GatewayNode.h"

#include "core/ScopeGuard.h"
#include "gateway/PlainForward.h"
#include "gateway/StreamForward.h"

#include <csignal>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>

namespace parsleyring {

namespace asio = boost::asio;

static constexpr Duration TickInterval = std::chrono::milliseconds(40);
// Ticks between the maintenance of digests, connections and listed endpoints.
static constexpr std::uint64_t MaintenanceTicks = 6;
// How long a crashed engine gets no new requests. Its entry expires after about
// the same time.
static constexpr Duration CrashedTime = std::chrono::seconds(4);
// Within about this time a starting gateway has its configuration, and callers
// have left a stopping one.
static constexpr const char *RetryAfterSeconds = "0.3";
// The load balancer sends no new connections after two failed ready checks.
static constexpr Duration MinStopTime = std::chrono::milliseconds(3200);
// Times after the stop signal from which new streams and new plain requests are
// refused, since they might not end before the process does.
static constexpr Duration StreamCutoff = std::chrono::milliseconds(3000);
static constexpr Duration PlainRequestCutoff = std::chrono::milliseconds(5500);
// Remaining requests are cut off this long before the platform kills the
// process.
static constexpr Duration StopMargin = std::chrono::milliseconds(350);

// For all requests of the load balancer, metrics and other VMs together.
static constexpr std::size_t InternalMemoryBytes = 8 << 20;
// Callers that found no memory are told to return at this rate, so that they do
// not all meet the same lack of memory again.
static constexpr double MemoryReturnsPerSecond = 20;
static constexpr Duration FirstMemoryReturn = std::chrono::milliseconds(300);

GatewayNode::GatewayNode(GatewaySettings Settings, const StoreProtocol &Store,
                         const EndpointProtocol &Endpoints,
                         const RecordFormat &Records)
    : m_Settings(std::move(Settings)), m_ResourceLimits(m_Settings),
      m_Protocol(Endpoints),
      m_Records(Records), m_TransferTimeouts{m_Settings.m_ReceiveTimeout,
                                             m_Settings.m_SendStallTimeout},
      m_MemoryBudget(m_ResourceLimits.requestMemory()),
      m_InternalMemoryBudget(InternalMemoryBytes),
      m_Log(STDOUT_FILENO, m_Settings.m_VM),
      m_Random(std::random_device{}()), m_Self{m_Settings.m_VM,
                                               m_Settings.m_PeerAddress,
                                               m_Settings.m_FailureDomain,
                                               m_Settings.m_Cores},
      m_VMs(m_Self, m_Settings.m_SeedAddresses),
      m_ConnectionPool(m_Loop, &m_MemoryBudget), m_CallConnections(m_Loop),
      m_HttpClient(m_Loop, m_CallConnections, [this] { return now(); }),
      m_LeavingRecorder({Endpoints, m_Fleet, m_Log, m_Metrics},
                        [this] { return now(); }),
      m_EndpointClient(
          m_HttpClient, Endpoints,
          [this](const FleetTable::Handle &Endpoint, const ResponseHead &Head,
                 Time SentAt) { noteCallAnswer(Endpoint, Head, SentAt); },
          [this](const FleetTable::Handle &Endpoint,
                 const std::string &Finding) {
            noteInvalidReport(*Endpoint, Finding);
          }),
      m_StoreClient(m_HttpClient, m_Metrics),
      m_Configuration(
          {Records, m_StoreClient, m_Log, m_Metrics}, [this] { return now(); },
          [this] { return peerAddresses(); },
          [this](const PeerState &State, const std::string &By) {
            for (const EndpointIncarnation &Endpoint : State.m_StatedLeaving)
              m_LeavingRecorder.noteTold(Endpoint, By);
            m_Fleet.applyLeaving(State.m_Leaving, now());
          }),
      m_StoreWatcher(
          m_Loop, m_StoreClient, Store, *this, [this] { return now(); },
          m_Settings.m_StoreAddress, m_Settings.m_MaxApplyDelay),
      m_CrashGuard(
          {m_Loop, m_EndpointClient, Endpoints, m_StoreClient, Store, m_Log,
           m_Metrics},
          m_Settings.m_VM, m_Settings.m_StoreAddress, [this] { return now(); },
          [this](const FleetTable::Handle &Engine) {
            suspect(Engine, "crashed", CrashedTime);
          }),
      m_Lease(
          m_Loop, m_StoreClient, Store, [this] { return now(); },
          m_Settings.m_StoreAddress, m_Self),
      m_PlacementDuty({m_Lease, m_Configuration, m_StoreWatcher, m_Fleet,
                       Endpoints, m_EndpointClient, m_Log, m_Metrics},
                      [this] { return now(); }),
      m_MemoryWaits(
          {&m_MemoryBudget, &m_InternalMemoryBudget}, [this] { return now(); },
          [this](MemoryWaitQueue::Task Wake) {
            boost::asio::post(m_Loop, std::move(Wake));
          },
          [this](const MemoryWaitQueue::Task &Retry) {
            guard("memory", Retry);
          }),
      m_ReadyHandler(*this, m_InternalMemoryBudget, m_Configuration),
      m_PeerHandler(*this, m_InternalMemoryBudget,
                    {m_Configuration, m_Fleet, m_StoreWatcher}),
      m_MetricsHandler(*this, m_InternalMemoryBudget, m_Metrics),
      m_Digests(
          m_Loop, m_Settings.m_DigestAddress, m_Self, m_VMs, m_Fleet,
          m_StoreWatcher, m_Configuration, [this] { return now(); },
          [this](const DigestChanges &Changes, const std::string &By) {
            handleDigestChanges(Changes, By);
          }),
      m_SuspicionRecorder(
          {m_Fleet, m_Digests, m_Log}, m_Settings.m_FailureDomain,
          [this] { return now(); },
          [this](const FleetTable::Handle &Endpoint) {
            notifySuspicion(Endpoint);
          }),
      m_EngineWatch(
          m_Loop, m_ConnectionPool, m_Settings.m_FailureDomain,
          [this] { return now(); },
          [this](const FleetTable::Handle &Engine) {
            suspect(Engine, "connection-closed", CrashedTime);
          }),
      m_TickTimer(m_Loop), m_Signals(m_Loop, SIGTERM, SIGINT, SIGHUP) {
  auto Listen = [this](const std::string &Address, RequestHandler &Handler,
                       std::size_t MaxConnections) {
    m_Listeners.push_back(std::make_unique<CallerListener>(
        m_Loop, Address, Handler, MaxConnections));
    return m_Listeners.back().get();
  };
  m_CallerListener = Listen(m_Settings.m_CallerAddress, *this,
                            m_ResourceLimits.callerConnections());
  std::size_t MaxInternal = m_ResourceLimits.internalConnections();
  Listen(m_Settings.m_ReadyAddress, m_ReadyHandler, MaxInternal);
  Listen(m_Settings.m_PeerAddress, m_PeerHandler, MaxInternal);
  if (!m_Settings.m_MetricsAddress.empty())
    Listen(m_Settings.m_MetricsAddress, m_MetricsHandler, MaxInternal);
  m_ConnectionPool.setMaxOpen(m_ResourceLimits.endpointConnections());
  m_CallConnections.setMaxOpen(MaxInternal);
  m_Metrics.setMemoryLimit(m_MemoryBudget.limit());
}

GatewayNode::~GatewayNode() = default;

void GatewayNode::run() {
  m_Log.write(now(), "start", "",
              {{"failure_domain", m_Settings.m_FailureDomain},
               {"callers", m_Settings.m_CallerAddress},
               {"request_memory_bytes", std::int64_t(m_MemoryBudget.limit())},
               {"caller_connections",
                std::int64_t(m_ResourceLimits.callerConnections())}});
  m_Signals.async_wait([this](boost::system::error_code Error, int Signal) {
    if (!Error)
      handleSignal(Signal);
  });
  m_StoreWatcher.start();
  m_Lease.start();
  scheduleTick();
  while (!guard("event", [this] { m_Loop.run(); })) {
    // run() may be called again after a handler has thrown.
  }
  m_Log.write(now(), "end", "",
              {{"running", std::int64_t(m_Requests.size())},
               {"connections", std::int64_t(m_CallerListener->size())}});
}

bool GatewayNode::guard(std::string_view Handler,
                        const std::function<void()> &Action) {
  try {
    Action();
    return true;
  } catch (const std::exception &Error) {
    m_Metrics.countFailedHandler(Handler);
    m_Log.write(now(), "handler-failed", "",
                {{"handler", Handler}, {"error", Error.what()}});
    return false;
  }
}

const CallerLimits &GatewayNode::limits() const {
  const auto &Table = m_Configuration.table();
  return Table ? Table->m_Limits : m_DefaultLimits;
}

// Requests

static constexpr std::string_view BearerScheme = "Bearer ";

static bool hasBearerScheme(std::string_view Credentials) {
  return Credentials.substr(0, BearerScheme.size()) == BearerScheme;
}

const AccountRule *
GatewayNode::accountOf(const boost::beast::http::fields &Fields) const {
  const std::shared_ptr<const RouteTable> &Table = m_Configuration.table();
  auto Value = Fields[boost::beast::http::field::authorization];
  std::string_view Credentials(Value.data(), Value.size());
  if (!Table || !hasBearerScheme(Credentials))
    return nullptr;
  auto Found = Table->m_AccountsByKey.find(
      std::string(Credentials.substr(BearerScheme.size())));
  return Found == Table->m_AccountsByKey.end() ? nullptr : &Found->second;
}

std::string GatewayNode::clientOf(const boost::beast::http::fields &Fields,
                                  const std::string &Address) const {
  const AccountRule *Account = accountOf(Fields);
  return Account ? "account " + Account->m_Name : Address;
}

AnswerFields GatewayNode::refuseReceipt(ReceiptRefusal Cause,
                                        const boost::beast::http::fields &Head,
                                        const std::string &Client,
                                        std::size_t HeldBytes) {
  const HeaderNames &Names = m_Protocol.headers();
  AnswerFields Fields{{"Content-Type", "text/plain"}};
  auto Id = Head[Names.m_RequestId];
  std::string_view RequestId(Id.data(), Id.size());
  if (!RequestId.empty())
    Fields.emplace_back(Names.m_RequestId, RequestId);
  bool IsOverload = Cause != ReceiptRefusal::ChunkLine &&
                    Cause != ReceiptRefusal::ReceiveTimeout;
  if (IsOverload) {
    Duration Delay =
        m_MemoryReturns.next(FirstMemoryReturn, MemoryReturnsPerSecond, now());
    char Seconds[16];
    std::snprintf(Seconds, sizeof(Seconds), "%.2f",
                  std::chrono::duration<double>(Delay).count());
    Fields.emplace_back(Names.m_RetryAfter, Seconds);
  }
  m_Metrics.countOverloadRefusal(name(Cause));
  m_Log.write(now(), "request-refused-memory", RequestId,
              {{"cause", name(Cause)},
               {"client", Client},
               {"held_bytes", std::int64_t(HeldBytes)},
               {"used_bytes", std::int64_t(m_MemoryBudget.used())},
               {"limit_bytes", std::int64_t(m_MemoryBudget.limit())}});
  return Fields;
}

void GatewayNode::handleClosed(ConnectionClose Cause,
                               const std::string &Address) {
  m_Metrics.countClosedConnection(name(Cause));
  m_Log.write(now(), "connection-closed", "",
              {{"cause", name(Cause)},
               {"address", Address},
               {"connections", std::int64_t(m_CallerListener->size())}});
}

std::optional<GatewayNode::Refusal> GatewayNode::prepareJob(ForwardJob &Job) {
  const std::shared_ptr<const RouteTable> &Table = m_Configuration.table();
  if (!Table)
    return Refusal{503, "no-configuration"};
  Job.m_Table = Table;
  const CallerRequest &Request = Job.m_Request;
  if (Request.m_Target.empty() || Request.m_Target.front() != '/')
    return Refusal{400, "bad-target"};
  std::string_view Path = Request.m_Target;
  Path = Path.substr(0, Path.find('?'));
  Job.m_Route = Table->find(Request.field("Host"), Path);
  if (!Job.m_Route)
    return Refusal{404, "no-route"};
  Job.m_Priority = Job.m_Route->m_Priority;
  const HeaderNames &Names = m_Protocol.headers();
  Job.m_Id = Request.field(Names.m_RequestId);
  if (Table->requiresKey(*Job.m_Route)) {
    if (!hasBearerScheme(Request.field("Authorization")))
      return Refusal{401, "no-key"};
    const AccountRule *Account = accountOf(Request.m_Fields);
    if (!Account)
      return Refusal{401, "unknown-key"};
    Job.m_Account = Account->m_Name;
    Job.m_Priority = Account->m_Priority.value_or(Job.m_Priority);
  }
  Job.m_Service = Table->service(Job.m_Route->pickService(random()));
  if (!Job.m_Service)
    return Refusal{503, "no-service"};
  Duration Timeout = Job.m_Route->m_Timeout;
  if (auto Stated = callerTimeout(Request))
    Timeout = std::min(Timeout, *Stated);
  Job.m_Deadline = Request.m_ReceivedAt + Timeout;
  return std::nullopt;
}

std::optional<Duration>
GatewayNode::callerTimeout(const CallerRequest &Request) const {
  // Longer times than any route's are cut off, since any number may be stated.
  static constexpr std::int64_t MaxMilliseconds = 24 * 3600 * 1000;
  std::string Text = Request.field(m_Protocol.headers().m_Deadline);
  std::int64_t Milliseconds = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  if (Text.empty() || Error != std::errc())
    return std::nullopt;
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(Milliseconds, 0, MaxMilliseconds));
}

// Requests that have waited for the first configuration. Those of callers that
// have left meanwhile are dropped.
void GatewayNode::tickStartup() {
  if (m_StartupQueue.empty())
    return;
  bool IsReady = m_Configuration.table() || isStopping();
  for (StartupQueue::WaitingRequest &Entry :
       IsReady ? m_StartupQueue.takeAll() : m_StartupQueue.takeDue(now())) {
    if (Entry.m_Caller->isClosed())
      continue;
    guard("request", [&] {
      if (m_Configuration.table())
        handleRequest(std::move(Entry.m_Request), Entry.m_Caller);
      else
        refuse(Entry.m_Request, *Entry.m_Caller, {503, "no-configuration"});
    });
  }
}

void GatewayNode::handleRequest(
    CallerRequest Request,
    const std::shared_ptr<CallerConnection> &Connection) {
  if (!m_Configuration.table() && !isStopping() &&
      m_StartupQueue.add(Request, Connection, callerTimeout(Request)))
    return;
  ForwardJob Job;
  Job.m_Request = std::move(Request);
  Job.m_Caller = Connection;
  if (auto Cause = prepareJob(Job)) {
    refuse(Job.m_Request, *Connection, *Cause);
    return;
  }
  Duration Stopping = isStopping() ? now() - m_StoppingSince : Duration::zero();
  if (Stopping >
      (Job.m_Service->isLayered() ? StreamCutoff : PlainRequestCutoff)) {
    refuse(Job.m_Request, *Connection, {503, "stopping"});
    return;
  }
  std::shared_ptr<ForwardedRequest> Forward;
  if (Job.m_Service->isLayered())
    Forward = std::make_shared<StreamForward>(*this, std::move(Job));
  else
    Forward = std::make_shared<PlainForward>(*this, std::move(Job));
  m_Requests.insert(Forward);
  Forward->start();
}

void GatewayNode::refuse(const CallerRequest &Request, CallerConnection &Caller,
                         Refusal Cause) {
  const HeaderNames &Names = m_Protocol.headers();
  std::string Id = Request.field(Names.m_RequestId);
  AnswerFields Fields{{"Content-Type", "text/plain"}};
  if (!Id.empty())
    Fields.emplace_back(Names.m_RequestId, Id);
  if (Cause.m_Status == 503)
    Fields.emplace_back(Names.m_RetryAfter, RetryAfterSeconds);
  if (Cause.m_Status == 401)
    Fields.emplace_back("WWW-Authenticate", "Bearer");
  Caller.answer(Cause.m_Status, Fields, std::string(Cause.m_Reason) + "\n");
  m_Metrics.countRequest("refused", Cause.m_Reason,
                         now() - Request.m_ReceivedAt);
  m_Log.write(now(), "request-refused", Id,
              {{"status", std::int64_t(Cause.m_Status)},
               {"reason", Cause.m_Reason},
               {"configuration", std::int64_t(m_Configuration.version())}});
}

void GatewayNode::handleMalformed(unsigned Status, const std::string &Reason) {
  m_Metrics.countRequest("refused", "malformed", Duration::zero());
  m_Log.write(now(), "request-malformed", "",
              {{"status", std::int64_t(Status)}, {"reason", Reason}});
}

// ForwardContext

RetryShare &GatewayNode::retryShare(const std::string &Service) {
  auto Found = m_RetryShares.find(Service);
  if (Found == m_RetryShares.end())
    Found = m_RetryShares
                .emplace(Service, RetryShare(m_Settings.m_RetryBound, now()))
                .first;
  Found->second.setVMCount(m_VMs.size());
  return Found->second;
}

double GatewayNode::loadFactor() const {
  // Digests contain the load of the VMs that sent one recently; the others are
  // assumed to be as busy.
  double Known = static_cast<double>(m_Digests.recentVMCount()) + 1;
  return std::max(1.0, static_cast<double>(m_VMs.sizeOfOwnDomain()) / Known);
}

LimitUsers GatewayNode::limitUsers() const {
  LimitUsers Users;
  Users.m_LoadFactor = loadFactor();
  Users.m_VMs = m_VMs.size();
  return Users;
}

// All services use the same links.
LinkUsers GatewayNode::linkUsers(const DomainLink &Link,
                                 const std::string &Service) const {
  LinkUsers Users;
  Users.m_VMs = std::max<std::size_t>(1, m_VMs.size());
  Users.m_LoadFactor = loadFactor();
  Users.m_HasReports = Users.m_VMs == 1 || m_Digests.table().hasReports();
  Users.m_ReportedDemand = m_Digests.table().peerLinkDemand(Link);
  for (const auto &[Name, Room] : m_LinkRooms)
    if (Name != Service)
      Users.m_ReportedDemand += Room.demand(Link, now());
  return Users;
}

double GatewayNode::random() {
  return std::uniform_real_distribution<double>(0, 1)(m_Random);
}

void GatewayNode::requestReport(const FleetTable::Handle &Endpoint,
                                ReportHandler OnReport) {
  m_Metrics.countOrder("report");
  m_EndpointClient.requestReport(
      Endpoint, [this, Endpoint, OnReport = std::move(OnReport)](
                    const std::optional<EngineReport> &Report) {
        if (Report && Report->m_Pace)
          recordPace(*Endpoint, *Report->m_Pace);
        if (OnReport)
          OnReport(Report);
      });
}

void GatewayNode::recordPace(FleetEndpoint &Endpoint, double Pace) {
  Time Now = now();
  bool WasSlow = Endpoint.pace(Now) >= FleetEndpoint::SlowPace;
  bool IsSlow = Pace >= FleetEndpoint::SlowPace;
  Endpoint.notePace(Pace, true, Now);
  if (WasSlow != IsSlow)
    m_Log.write(Now, IsSlow ? "endpoint-slow" : "endpoint-recovered", "",
                {{"endpoint", Endpoint.m_Entry.m_Id}, {"pace", Pace}});
}

void GatewayNode::checkPace(const FleetTable::Handle &Endpoint) {
  Time Now = now();
  // The pace of an endpoint that rests is not needed, and a query is a request.
  if (Endpoint->m_IsRemoved || Endpoint->m_Rest.isResting(Now) ||
      !Endpoint->isPaceQueryDue(Now))
    return;
  Endpoint->m_PaceQueriedAt = Now;
  requestReport(Endpoint, nullptr);
}

// Polls slow engines: they get few requests, so nothing else would show that
// they have recovered.
void GatewayNode::pollSlowEngines() {
  Time Now = now();
  for (const auto &[Id, Endpoint] : m_Fleet.endpoints())
    if (Endpoint->m_IsOwnPace && Endpoint->pace(Now) >= FleetEndpoint::SlowPace)
      checkPace(Endpoint);
}

void GatewayNode::callEndpoint(const FleetTable::Handle &Endpoint,
                               const EndpointCall &Call,
                               HttpClient::Handler OnReply) {
  m_EndpointClient.call(Endpoint, Call, EndpointClient::OrderTimeout,
                        std::move(OnReply));
}

void GatewayNode::noteCallAnswer(const FleetTable::Handle &Endpoint,
                                 const ResponseHead &Head, Time SentAt) {
  m_LeavingRecorder.noteAnswer(*Endpoint, Head, "");
  bool IsProved = Head.has(m_Protocol.headers().m_NotExecuted) ||
                  Head.has(m_Protocol.headers().m_Seal);
  if (Head.m_Status == 503 && IsProved)
    noteRest(*this, Endpoint, Head, "", SentAt);
}

void GatewayNode::noteInvalidReport(const FleetEndpoint &Endpoint,
                                    const std::string &Finding) {
  m_Metrics.countInvalidReport();
  m_Log.write(now(), "engine-report-invalid", "",
              {{"endpoint", Endpoint.m_Entry.m_Id}, {"finding", Finding}});
}

void GatewayNode::suspect(const FleetTable::Handle &Endpoint,
                          std::string_view Reason, Duration Period) {
  m_SuspicionRecorder.suspect(Endpoint, Reason, Period);
}

// Endpoints that another VM suspects get no new requests, but those in progress
// stay: the other VM may be the one that is cut off or slow. They leave if this
// VM, too, finds that the endpoint has crashed.
void GatewayNode::handleDigestChanges(const DigestChanges &Changes,
                                      const std::string &By) {
  Time Now = now();
  for (const FleetTable::Handle &Endpoint : Changes.m_NewSuspects) {
    m_Log.write(
        Now, "endpoint-suspect", "",
        {{"endpoint", Endpoint->m_Entry.m_Id}, {"reason", "told"}, {"by", By}});
    if (Endpoint->m_Running > 0)
      m_EngineWatch.check(Endpoint);
  }
  for (const EndpointIncarnation &Endpoint : Changes.m_NewLeaving)
    m_LeavingRecorder.logTold(Endpoint, By);
  for (const FleetTable::Handle &Endpoint : Changes.m_NewLimits) {
    const std::string &Id = Endpoint->m_Entry.m_Id;
    if (std::optional<double> Limit = Endpoint->m_Limit.rate())
      m_Log.write(Now, "endpoint-limit", "",
                  {{"endpoint", Id}, {"requests_per_s", *Limit}, {"by", By}});
    else
      m_Log.write(Now, "endpoint-limit-ended", "",
                  {{"endpoint", Id}, {"by", By}});
  }
}

void GatewayNode::noteEndedRests() {
  Time Now = now();
  for (const FleetTable::Handle &Endpoint : m_Fleet.takeEndedRests(Now))
    m_Log.write(Now, "endpoint-rest-ended", "",
                {{"endpoint", Endpoint->m_Entry.m_Id},
                 {"started_ms", Endpoint->m_Entry.m_StartTimeMs}});
}

void GatewayNode::notifySuspicion(const FleetTable::Handle &Endpoint) {
  // Uses a copy. Handling may end requests; tick() erases these from the set.
  std::vector<std::shared_ptr<ForwardedRequest>> Requests(m_Requests.begin(),
                                                          m_Requests.end());
  for (const auto &Request : Requests)
    Request->handleSuspect(Endpoint);
}

// StoreObserver

void GatewayNode::applyEndpointEntry(const StoreItem &Item) {
  std::string Id = Item.m_Key.substr(m_Records.endpointPrefix().size());
  std::string Finding;
  auto Entry = m_Records.parseEndpoint(Id, Item.m_Value, Finding);
  if (!Entry) {
    m_Log.write(now(), "endpoint-entry-rejected", "",
                {{"endpoint", Id}, {"finding", Finding}});
    m_Fleet.unlist(Id, now());
    return;
  }
  m_Fleet.list(*Entry, now());
  m_Log.write(
      now(), "endpoint-listed", "",
      {{"endpoint", Id},
       {"address", Entry->m_Address},
       {"failure_domain", Entry->m_FailureDomain},
       {"card", Entry->m_CardKind},
       {"draining", std::int64_t(Entry->m_State == EndpointState::Draining)},
       {"first_layer", std::int64_t(Entry->m_Layers.m_First)},
       {"end_layer", std::int64_t(Entry->m_Layers.m_End)}});
}

void GatewayNode::applyLeader(const StoreItem &Item) {
  m_Lease.noteLeader(Item.m_Value, Item.m_Revision);
}

void GatewayNode::applyVMEntry(const StoreItem &Item) {
  auto VM = VMLease::parseEntry(Item.m_Value);
  if (VM)
    m_VMs.list(Item.m_Key, *VM);
}

// One item that cannot be handled does not hold up the others.
void GatewayNode::itemChanged(const StoreItem &Item) {
  if (!guard("store-item", [&] { applyItem(Item); }))
    m_Log.write(
        now(), "store-item-failed", "",
        {{"key", Item.m_Key}, {"revision", std::int64_t(Item.m_Revision)}});
}

void GatewayNode::applyItem(const StoreItem &Item) {
  if (Item.m_Key == m_Records.configurationKey())
    m_Configuration.apply(Item);
  else if (hasPrefix(Item.m_Key, m_Records.endpointPrefix()))
    applyEndpointEntry(Item);
  else if (Item.m_Key == VMLease::LeaderKey)
    applyLeader(Item);
  else if (hasPrefix(Item.m_Key, VMLease::VMPrefix))
    applyVMEntry(Item);
  else
    m_CrashGuard.itemChanged(Item);
}

void GatewayNode::itemDeleted(const std::string &Key) {
  if (hasPrefix(Key, m_Records.endpointPrefix())) {
    std::string Id = Key.substr(m_Records.endpointPrefix().size());
    m_Fleet.unlist(Id, now());
    m_Log.write(now(), "endpoint-unlisted", "", {{"endpoint", Id}});
  } else if (Key == VMLease::LeaderKey) {
    m_Lease.noteLeader("", 0);
  } else if (hasPrefix(Key, VMLease::VMPrefix)) {
    m_VMs.unlist(Key);
  } else {
    m_CrashGuard.itemDeleted(Key);
  }
}

void GatewayNode::itemsReloaded(const std::map<std::string, StoreItem> &Items,
                                bool IsRestored) {
  if (IsRestored)
    beginEra();
  else
    m_VMs.clear();
  std::vector<std::string> Listed;
  const std::string &Prefix = m_Records.endpointPrefix();
  bool HasLeader = false;
  const StoreItem *Configuration = nullptr;
  for (const auto &[Key, Item] : Items) {
    if (hasPrefix(Key, Prefix))
      Listed.push_back(Key.substr(Prefix.size()));
    HasLeader = HasLeader || Key == VMLease::LeaderKey;
    if (Key == m_Records.configurationKey())
      Configuration = &Item;
    else
      itemChanged(Item);
  }
  // Applied when the other VMs are known, since some are asked for theirs.
  if (Configuration)
    itemChanged(*Configuration);
  m_Fleet.endRestoration();
  m_CrashGuard.itemsReloaded(Items, IsRestored);
  m_Fleet.unlistAllExcept(Listed, now());
  if (!HasLeader)
    m_Lease.noteLeader("", 0);
}

// What the store holds now may be older than what this VM knows. The
// configuration in force stays until there is a newer one; entries that are
// missing are kept until their writers have had time to write them again.
void GatewayNode::beginEra() {
  Time Now = now();
  m_Configuration.noteRestored();
  m_Fleet.noteOutageEnd(Now);
  m_Fleet.beginRestoration();
  m_VMs.noteRestored(Now);
  m_Lease.noteRestored();
}

void GatewayNode::availabilityChanged(bool IsAvailable, Duration OutageTime) {
  if (IsAvailable && OutageTime > Duration::zero())
    m_Fleet.noteOutageEnd(now());
  m_Log.write(now(), IsAvailable ? "store-available" : "store-lost", "",
              {{"outage_ms", std::int64_t(OutageTime.count() / 1000)}});
}

void GatewayNode::storeRestored(const StoreVersion &Version) {
  m_Log.write(
      now(), "store-restored", "",
      {{"era", std::int64_t(Version.m_Era)},
       {"revision", std::int64_t(Version.m_Revision)},
       {"known_revision", std::int64_t(m_StoreWatcher.version().m_Revision)},
       {"configuration", std::int64_t(m_Configuration.version())}});
}

void GatewayNode::freshnessChanged(bool IsFresh, Duration ConfirmationAge,
                                   const StoreVersion &Newest) {
  m_Log.write(now(),
              IsFresh ? "store-items-confirmed" : "store-items-unconfirmed", "",
              {{"age_ms", std::int64_t(ConfirmationAge.count() / 1000)},
               {"era", std::int64_t(m_StoreWatcher.version().m_Era)},
               {"revision", std::int64_t(m_StoreWatcher.version().m_Revision)},
               {"known_era", std::int64_t(Newest.m_Era)},
               {"known_revision", std::int64_t(Newest.m_Revision)},
               {"configuration", std::int64_t(m_Configuration.version())}});
}

void GatewayNode::revisionChanged() {
  m_CrashGuard.update();
  m_PeerHandler.answerAll();
}

// Ticks

void GatewayNode::scheduleTick() {
  m_TickTimer.expires_after(TickInterval);
  m_TickTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    ScopeGuard ScheduleNext([this] { scheduleTick(); });
    tick();
  });
}

void GatewayNode::tick() {
  ++m_Ticks;
  tickStartup();
  tickRequests();
  tickMemory();
  guard("admission", [this] {
    for (auto &[Service, Queue] : m_AdmissionQueues)
      Queue.tick(now());
  });
  guard("store", [this] {
    m_StoreWatcher.tick();
    m_PeerHandler.answerDue(now());
  });
  if (m_Ticks % MaintenanceTicks == 0)
    guard("maintenance", [this] { tickMaintenance(); });
  if (m_PlacementDuty.isDue(m_Ticks))
    guard("placement", [this] { m_PlacementDuty.tick(isStopping()); });
  if (isStopping())
    tickShutdown();
}

void GatewayNode::tickRequests() {
  Time Now = now();
  std::vector<std::shared_ptr<ForwardedRequest>> Requests(m_Requests.begin(),
                                                          m_Requests.end());
  for (const auto &Request : Requests) {
    static constexpr std::string_view Handler = "request";
    bool IsHandled = guard(Handler, [&] { Request->tick(Now); }) ||
                     guard(Handler, [&] { Request->end("handler-failed"); });
    if (!IsHandled || Request->isDone())
      m_Requests.erase(Request);
  }
}

void GatewayNode::tickMemory() {
  m_MemoryWaits.tick();
  if (m_MemoryBudget.takeTrimRequest(now()))
    malloc_trim(0);
}

void GatewayNode::tickMaintenance() {
  Time Now = now();
  pollSlowEngines();
  m_Digests.refresh();
  tickLinks();
  m_Digests.sendToDomainPeers();
  if (m_Ticks % (2 * MaintenanceTicks) == 0)
    m_Digests.sendToOtherDomains();
  for (const auto &Listener : m_Listeners)
    Listener->tick(Now);
  m_ConnectionPool.expire(Now);
  m_CallConnections.expire(Now);
  m_Fleet.expire(Now);
  m_VMs.expire(Now);
  updateEngineWatch();
  m_CrashGuard.tick(m_PlacementDuty.wasLeader());
  noteEndedRests();
  updateGauges();
}

// Reports the demand for links and logs from which ones requests are kept.
void GatewayNode::tickLinks() {
  Time Now = now();
  std::map<DomainLink, double> Demand;
  for (auto &[Service, Room] : m_LinkRooms) {
    for (const auto &[Link, MegabitsPerSecond] : Room.demands(Now))
      Demand[Link] += MegabitsPerSecond;
    for (const LinkChange &Change : Room.takeChanges(Now))
      m_Log.write(
          Now, "link-limited", "",
          {{"service", Service},
           {"domains", Change.m_Link.m_First + " " + Change.m_Link.m_Second},
           {"limited", std::int64_t(Change.m_IsLimited)},
           {"demand_mbps", Room.demand(Change.m_Link, Now)},
           {"peer_demand_mbps",
            m_Digests.table().peerLinkDemand(Change.m_Link)}});
  }
  m_Digests.setLinkDemand(Demand);
}

// Endpoints of plain services are left out, whatever layers they state.
void GatewayNode::updateEngineWatch() {
  EngineWatchPolicy::Engines Engines;
  if (const std::shared_ptr<const RouteTable> &Table = m_Configuration.table())
    for (const auto &[Name, Service] : Table->m_Services) {
      if (!Service.isLayered())
        continue;
      auto Endpoints = m_Fleet.endpointsOfService(Name);
      Engines.insert(Engines.end(), Endpoints.begin(), Endpoints.end());
    }
  m_EngineWatch.update(Engines, m_VMs.isRepresentative() && !isStopping());
}

void GatewayNode::updateGauges() {
  Time Now = now();
  m_Metrics.setRestingEndpoints(m_Fleet.restingEndpoints(Now));
  m_Metrics.setLimitedEndpoints(m_Fleet.limitedEndpoints());
  m_Metrics.setLeavingEndpoints(m_Fleet.leavingEndpoints());
  m_Metrics.setWatchedEngines(m_EngineWatch.size());
  m_Metrics.setRunning(m_Requests.size(), m_CallerListener->size());
  for (std::size_t Use = 0; Use < MemoryUseCount; ++Use)
    m_Metrics.setMemory(static_cast<MemoryUse>(Use),
                        m_MemoryBudget.used(static_cast<MemoryUse>(Use)));
  m_Metrics.setConfirmationAge(m_StoreWatcher.confirmationAge());
  m_Metrics.countDroppedLogLines(m_Log.droppedLines() - m_CountedDroppedLines);
  m_CountedDroppedLines = m_Log.droppedLines();
}

// Shutdown

void GatewayNode::handleSignal(int Signal) {
  m_Signals.async_wait([this](boost::system::error_code Error, int Next) {
    if (!Error)
      handleSignal(Next);
  });
  if (Signal == SIGHUP) {
    // Settings of a running process do not change; SIGHUP is only logged.
    m_Log.write(now(), "reload", "", {});
    return;
  }
  if (isStopping())
    return;
  m_StoppingSince = now();
  m_Log.write(m_StoppingSince, "stop", "",
              {{"running", std::int64_t(m_Requests.size())}});
  m_Lease.stop();
}

void GatewayNode::tickShutdown() {
  Duration Stopped = now() - m_StoppingSince;
  if (Stopped < MinStopTime)
    return;
  // A request that arrives as its connection closes is not forwarded, so it
  // certainly has not run.
  m_CallerListener->closeIdle();
  // The process does not wait for requests that are still being received if no
  // other one runs. After the cutoff they would be refused anyway.
  if (m_Requests.empty() || Stopped > PlainRequestCutoff)
    m_CallerListener->refuseReceipts(ReceiptRefusal::Stopping);
  bool IsOver = Stopped > m_Settings.m_ShutdownTimeout - StopMargin;
  // A caller whose request is still in progress gets a failure rather than a
  // connection that ends without an answer.
  if (IsOver)
    for (const auto &Request : m_Requests)
      Request->end("stopping");
  if (IsOver || (m_Requests.empty() && m_CallerListener->size() == 0))
    m_Loop.stop();
}

} // namespace parsleyring
