#include "support/GatewayTestServers.h"

#include "core/Base64.h"
#include "core/SocketAddress.h"
#include "support/Eventually.h"
#include "support/HttpCalls.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <chrono>
#include <condition_variable>
#include <thread>

namespace parsleyring {

using nlohmann::json;

std::string ReceivedCall::header(const std::string &Name) const {
  auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? "" : Found->second;
}

namespace {

/// An httplib server on a free loopback port.
class LoopbackServer {
public:
  explicit LoopbackServer(const httplib::Server::Handler &Respond) {
    // Each long poll occupies a thread.
    m_Server.new_task_queue = [] { return new httplib::ThreadPool(64); };
    m_Server.set_keep_alive_max_count(1000);
    // stop() waits for idle keep-alive connections, so their timeout is short.
    m_Server.set_keep_alive_timeout(1);
    for (const char *Method : {"GET", "POST", "DELETE"}) {
      if (std::string(Method) == "GET")
        m_Server.Get(".*", Respond);
      else if (std::string(Method) == "POST")
        m_Server.Post(".*", Respond);
      else
        m_Server.Delete(".*", Respond);
    }
    socket_t Listener = INVALID_SOCKET;
    m_Server.set_socket_options(
        [&Listener](socket_t Socket) { Listener = Socket; });
    int Port = m_Server.bind_to_any_port("127.0.0.1");
    m_Server.set_socket_options(nullptr);
    // The library listens with a backlog of 5. More connections that come
    // together would wait for a second SYN, for longer than the gateway does.
    ::listen(Listener, SOMAXCONN);
    m_Address = "127.0.0.1:" + std::to_string(Port);
    m_Thread = std::thread([this] { m_Server.listen_after_bind(); });
    eventually([this] { return m_Server.is_running(); });
  }
  ~LoopbackServer() {
    m_Server.stop();
    m_Thread.join();
  }
  const std::string &address() const { return m_Address; }

private:
  httplib::Server m_Server;
  std::string m_Address;
  std::thread m_Thread;
};

} // namespace

// FakeEndpoint

struct FakeEndpoint::Implementation {
  Behaviour m_Respond;
  mutable std::mutex m_Mutex;
  std::vector<ReceivedCall> m_Calls;
  std::unique_ptr<LoopbackServer> m_Server;

  void handle(const httplib::Request &Request, httplib::Response &Response);
};

void FakeEndpoint::Implementation::handle(const httplib::Request &Request,
                                          httplib::Response &Response) {
  ReceivedCall Call{Request.method, Request.target, Request.body, {}};
  for (const auto &[Name, Value] : Request.headers)
    Call.m_Headers.emplace(Name, Value);
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Calls.push_back(Call);
  }
  FakeEndpointAnswer Answer = m_Respond(Call);
  if (Answer.m_ClosesConnection) {
    Response.set_content_provider(
        1, "text/plain",
        [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    return;
  }
  Response.status = Answer.m_Status;
  Response.set_header("Attempt-Id", Call.header("Attempt-Id"));
  if (Answer.m_HasServerSeal)
    Response.set_header("Server-Seal", "seal");
  for (const auto &[Name, Value] : Answer.m_Headers)
    Response.set_header(Name, Value);
  if (Answer.m_Chunks.empty()) {
    Response.set_content(Answer.m_Body, "text/plain");
    return;
  }
  Response.set_chunked_content_provider(
      "text/event-stream", [Answer](std::size_t, httplib::DataSink &Sink) {
        for (std::size_t Index = 0; Index < Answer.m_Chunks.size(); ++Index) {
          if (Answer.m_BeforeChunk)
            Answer.m_BeforeChunk(Index);
          const std::string &Chunk = Answer.m_Chunks[Index];
          Sink.write(Chunk.data(), Chunk.size());
        }
        if (Answer.m_IsTruncated)
          return false;
        Sink.done();
        return true;
      });
}

FakeEndpoint::FakeEndpoint(Behaviour Respond)
    : m_Implementation(std::make_unique<Implementation>()) {
  m_Implementation->m_Respond = std::move(Respond);
  m_Implementation->m_Server = std::make_unique<LoopbackServer>(
      [this](const httplib::Request &Request, httplib::Response &Response) {
        m_Implementation->handle(Request, Response);
      });
}

FakeEndpoint::~FakeEndpoint() = default;

const std::string &FakeEndpoint::address() const {
  return m_Implementation->m_Server->address();
}

std::vector<ReceivedCall> FakeEndpoint::calls() const {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  return m_Implementation->m_Calls;
}

// FakeMetadataStore

struct FakeMetadataStore::Implementation {
  struct Item {
    std::string m_Value;
    std::uint64_t m_Revision = 0;
  };

  /// What a copy contains.
  struct State {
    std::map<std::string, Item> m_Items;
    std::vector<json> m_Events;
    std::uint64_t m_Revision = 10;
  };

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  State m_State;
  State m_Copy;
  std::uint64_t m_Era = 1;
  std::size_t m_Calls = 0;
  bool m_IsDown = false;
  bool m_IsMalformed = false;
  std::unique_ptr<LoopbackServer> m_Server;

  void putLocked(const std::string &Key, const std::string &Value);
  void removeLocked(const std::string &Key);
  void handle(const httplib::Request &Request, httplib::Response &Response);
  json range();
  json watch(std::unique_lock<std::mutex> &Lock, const httplib::Request &);
  int transact(const json &Body);
};

void FakeMetadataStore::Implementation::putLocked(const std::string &Key,
                                                  const std::string &Value) {
  m_State.m_Items[Key] = {Value, ++m_State.m_Revision};
  m_State.m_Events.push_back({{"key", Key},
                              {"value", encodeBase64(Value)},
                              {"revision", m_State.m_Revision}});
  m_Changed.notify_all();
}

json FakeMetadataStore::Implementation::range() {
  json Items = json::array();
  for (const auto &[Key, Entry] : m_State.m_Items)
    Items.push_back({{"key", Key},
                     {"value", encodeBase64(Entry.m_Value)},
                     {"revision", Entry.m_Revision}});
  return {{"items", Items}, {"has_more", false}, {"at", m_State.m_Revision}};
}

json FakeMetadataStore::Implementation::watch(
    std::unique_lock<std::mutex> &Lock, const httplib::Request &Request) {
  std::uint64_t After = std::stoull(Request.get_param_value("after"));
  std::chrono::milliseconds Wait(
      std::stoll(Request.get_param_value("wait_ms")));
  m_Changed.wait_for(Lock, Wait,
                     [&] { return m_State.m_Revision > After || m_IsDown; });
  json Events = json::array();
  for (const json &Event : m_State.m_Events)
    if (Event["revision"].get<std::uint64_t>() > After)
      Events.push_back(Event);
  return {{"events", Events}, {"at", m_State.m_Revision}};
}

void FakeMetadataStore::Implementation::removeLocked(const std::string &Key) {
  m_State.m_Items.erase(Key);
  m_State.m_Events.push_back(
      {{"key", Key}, {"revision", ++m_State.m_Revision}, {"deleted", true}});
  m_Changed.notify_all();
}

int FakeMetadataStore::Implementation::transact(const json &Body) {
  for (const json &Expected : Body["expected"]) {
    auto Found = m_State.m_Items.find(Expected["key"].get<std::string>());
    std::uint64_t Revision =
        Found == m_State.m_Items.end() ? 0 : Found->second.m_Revision;
    if (Revision != Expected["revision"].get<std::uint64_t>())
      return 412;
  }
  for (const json &Put : Body["put"])
    putLocked(Put["key"].get<std::string>(),
              *decodeBase64(Put["value"].get<std::string>()));
  for (const json &Key : Body["remove"])
    removeLocked(Key.get<std::string>());
  return 200;
}

void FakeMetadataStore::Implementation::handle(const httplib::Request &Request,
                                               httplib::Response &Response) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  json Answer;
  ++m_Calls;
  Response.set_header("Store-Era", std::to_string(m_Era));
  if (m_IsMalformed)
    Response.set_header("X Bad", "v");
  if (m_IsDown) {
    Response.status = 503;
    return;
  }
  if (Request.path == "/v1/kv-range") {
    Answer = range();
  } else if (Request.path == "/v1/kv-watch") {
    if (std::stoull(Request.get_param_value("after")) > m_State.m_Revision) {
      Response.status = 410;
      return;
    }
    std::uint64_t Era = m_Era;
    Answer = watch(Lock, Request);
    if (m_IsDown || m_Era != Era)
      Response.status = 503;
  } else if (Request.path == "/v1/kv-txn") {
    Response.status = transact(json::parse(Request.body));
    Answer = {{"revision", m_State.m_Revision}};
  } else {
    Answer = {{"lease_id", 77}, {"ttl_ms", 6000}};
  }
  Response.set_content(Answer.dump(), "application/json");
}

FakeMetadataStore::FakeMetadataStore()
    : m_Implementation(std::make_unique<Implementation>()) {
  m_Implementation->m_Server = std::make_unique<LoopbackServer>(
      [this](const httplib::Request &Request, httplib::Response &Response) {
        m_Implementation->handle(Request, Response);
      });
}

FakeMetadataStore::~FakeMetadataStore() { setDown(true); }

const std::string &FakeMetadataStore::address() const {
  return m_Implementation->m_Server->address();
}

void FakeMetadataStore::put(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  m_Implementation->putLocked(Key, Value);
}

void FakeMetadataStore::remove(const std::string &Key) {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  m_Implementation->removeLocked(Key);
}

bool FakeMetadataStore::has(const std::string &Key) const {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  return m_Implementation->m_State.m_Items.count(Key) > 0;
}

void FakeMetadataStore::keepCopy() {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  m_Implementation->m_Copy = m_Implementation->m_State;
}

void FakeMetadataStore::restoreCopy() {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  m_Implementation->m_State = m_Implementation->m_Copy;
  ++m_Implementation->m_Era;
  m_Implementation->m_Changed.notify_all();
}

std::size_t FakeMetadataStore::calls() const {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  return m_Implementation->m_Calls;
}

void FakeMetadataStore::setDown(bool IsDown) {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  m_Implementation->m_IsDown = IsDown;
  m_Implementation->m_Changed.notify_all();
}

void FakeMetadataStore::setMalformed(bool IsMalformed) {
  std::lock_guard<std::mutex> Lock(m_Implementation->m_Mutex);
  m_Implementation->m_IsMalformed = IsMalformed;
  m_Implementation->m_Changed.notify_all();
}

// GatewayProcess

GatewayProcess::GatewayProcess(const GatewayOptions &Options)
    : m_CallerPort(Options.m_Host), m_ReadyPort(Options.m_Host),
      m_PeerPort(Options.m_Host), m_InternalPort(Options.m_Host),
      m_MetricsPort(Options.m_Host) {
  int InternalPort = Options.m_DigestPort;
  if (InternalPort == 0)
    InternalPort = parseSocketAddress(m_InternalPort.address())->m_Port;
  json Settings{{"node_name", Options.m_Name},
                {"zone", "zone-a"},
                {"ip", Options.m_Host},
                {"listen",
                 {{"frontend", callerAddress()},
                  {"ready", readyAddress()},
                  {"control", peerAddress()}}},
                {"internal_ports", {InternalPort, InternalPort + 1}},
                {"seeds", Options.m_Seeds},
                {"platform", {{"address", Options.m_StoreAddress}}},
                {"bounds",
                 {{"grace_s", ShutdownTimeout.count()},
                  {"config_apply_ms", 2000},
                  {"retry_ratio", 0.2},
                  {"retry_slack", 200},
                  {"retry_window_s", 10}}}};
  json Limits = json::object();
  if (Options.m_MemoryMegabytes > 0)
    Limits["memory_mb"] = Options.m_MemoryMegabytes;
  if (Options.m_MaxDescriptors > 0)
    Limits["max_fds"] = Options.m_MaxDescriptors;
  if (!Limits.empty()) {
    Limits["cpu_share"] = 1;
    Limits["cores"] = 1;
    Settings["limits"] = Limits;
  }
  m_Settings = std::make_unique<TemporaryFile>(Settings.dump());
  m_Process = std::make_unique<ProcessRunner>(
      "parsleyring-gateway",
      std::vector<std::string>{"--settings", m_Settings->path(), "--metrics",
                               metricsAddress()});
}

bool GatewayProcess::waitUntilReady() const {
  return eventually([this] {
    return sendHttp(readyAddress(), {"GET", "/v1/readyz"}).m_Status == 200;
  });
}

std::string gatewayConfiguration(int Version, bool HasRepeatRoute) {
  auto Route = [](const char *Name, const char *Kind, const char *Service,
                  int Attempts) {
    return json{{"name", Name},
                {"host", "host"},
                {"prefix", "/" + std::string(Name) + "/"},
                {"route_kind", Kind},
                {"timeout_ms", 3000},
                {"latency_goal_ms", 500},
                {"priority", 1},
                {"service", Service},
                {"max_attempts", Attempts},
                {"anonymous", false},
                {"resumable", std::string(Kind) == "streaming"}};
  };
  json Routes = json::array({Route("once", "non_idempotent", "plain", 1),
                             Route("stream", "streaming", "model", 2)});
  if (HasRepeatRoute)
    Routes.push_back(Route("repeat", "idempotent", "plain", 2));
  json Engine{{"layers", 10},
              {"layer_mb", 100},
              {"kv_bytes", 1000},
              {"step_ms", 1},
              {"read_per_s", 100000},
              {"stride", 3},
              {"loads_at_once", 5},
              {"usual", {{"prompt", 100}, {"answer", 50}}},
              {"kinds", {{{"name", "card"}, {"size_mb", 4000}, {"pace", 1}}}}};
  return json{{"version", Version},
              {"routes", Routes},
              {"services",
               {{{"name", "plain"}}, {{"name", "model"}, {"engine", Engine}}}},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", 10000},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"tenants", {{{"name", "account"}, {"api_keys", {"key-1"}}}}}}
      .dump();
}

std::string serverEntry(const std::string &Service, const std::string &Address,
                        const std::string &State) {
  return json{{"service", Service},
              {"address", Address},
              {"zone", "zone-a"},
              {"slots", 8},
              {"state", State},
              {"route_kind", "card"},
              {"layers", {{"from", 0}, {"target", 10}, {"version", 1}}},
              {"born", 1000}}
      .dump();
}

} // namespace parsleyring
