#include "callers/CallerServer.h"

#include "callers/BoundedTaskQueue.h"
#include "callers/CompletionHandler.h"
#include "callers/Exchange.h"
#include "callers/RequestStateHandler.h"
#include "callers/ReservationHandler.h"
#include "callers/ServiceHandler.h"
#include "core/SocketAddress.h"

#include <glog/logging.h>
#include <linux/filter.h>
#include <netinet/tcp.h>

#include <iterator>
#include <stdexcept>

namespace parsleyring {

using httplib::Request;
using httplib::Response;

/// cpp-httplib's default of 5 loses connections during bursts.
static constexpr int ListenBacklog = 1024;
static constexpr std::chrono::milliseconds IdleCheckInterval(100);
static constexpr std::chrono::seconds FirstRequestTimeout(10);
static constexpr std::chrono::seconds IdleTimeout(5);
static constexpr std::size_t MaxRequestsPerConnection = 1000;
// A caller whose VM disappeared without a TCP reset is detected in about 25 s.
static constexpr int KeepAliveIdleSeconds = 10;
static constexpr int KeepAliveIntervalSeconds = 5;
static constexpr int KeepAliveProbes = 3;

static thread_local CallerConnection *CurrentConnection = nullptr;

static void setSocketOptions(int Socket) {
  auto Set = [Socket](int Level, int Option, int Value) {
    ::setsockopt(Socket, Level, Option, &Value, sizeof(Value));
  };
  Set(IPPROTO_TCP, TCP_NODELAY, 1);
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

class CallerServer::Implementation final : public httplib::Server {
public:
  Implementation(const CallerServerOptions &Options,
                 const CallerContext &Context);

  void enlargeBacklog() { ::listen(svr_sock_, ListenBacklog); }
  void blockNewConnections();

  const CallerServerOptions m_Options;
  const CallerContext &m_Context;
  int m_Port = 0;
  std::thread m_Thread;
  std::atomic<std::uint32_t> m_InProgress{0};
  std::atomic<bool> m_IsStopping{false};
  std::atomic<bool> m_HasEnded{false};

private:
  bool process_and_close_socket(socket_t Socket) override;
  void serve(CallerConnection &Connection);
  bool waitForRequest(const CallerConnection &Connection, bool IsFirst) const;
  bool isSaturated() const;

  void addHandlers();
  void dispatch(const Request &Call, Response &Reply,
                const httplib::ContentReader *Reader);
  void dispatchByPath(Exchange &Call);
  HandlerResponse checkHeaders(const Request &Call, Response &Reply);
  HandlerResponse describeLibraryError(Response &Reply);

  CompletionHandler m_Completions;
  ServiceHandler m_Services;
  RequestStateHandler m_States;
  ReservationHandler m_Reservations;
  std::atomic<BoundedTaskQueue *> m_Queue{nullptr};
};

CallerServer::Implementation::Implementation(const CallerServerOptions &Options,
                                             const CallerContext &Context)
    : m_Options(Options), m_Context(Context), m_Completions(Context),
      m_Services(Context), m_States(Context), m_Reservations(Context) {
  new_task_queue = [this] {
    auto *Queue = new BoundedTaskQueue(m_Options.m_MaxConnections);
    m_Queue = Queue;
    return Queue; // Owned by cpp-httplib.
  };
  // cpp-httplib's default would let two processes bind the same port.
  set_socket_options([](socket_t Socket) {
    int On = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  });
  set_exception_handler([](const Request &, Response &Reply,
                           std::exception_ptr Exception) {
    std::string What = "unknown exception";
    try {
      std::rethrow_exception(std::move(Exception));
    } catch (const std::exception &Error) {
      What = Error.what();
    } catch (...) {
    }
    LOG(ERROR) << "request handler threw an exception: " << What;
    ErrorAnswer{500, "internal", "internal error", Outcome::Unknown}.writeTo(
        Reply);
  });
  set_pre_routing_handler([this](const Request &Call, Response &Reply) {
    return checkHeaders(Call, Reply);
  });
  set_error_handler(
      HandlerWithResponse([this](const Request &, Response &Reply) {
        return describeLibraryError(Reply);
      }));
  set_keep_alive_max_count(MaxRequestsPerConnection);
  set_keep_alive_timeout(IdleTimeout.count());
  addHandlers();
}

void CallerServer::Implementation::addHandlers() {
  static const char *const AnyPath = ".*";
  auto WithoutBody = [this](const Request &Call, Response &Reply) {
    dispatch(Call, Reply, nullptr);
  };
  auto WithBody = [this](const Request &Call, Response &Reply,
                         const httplib::ContentReader &Reader) {
    dispatch(Call, Reply, &Reader);
  };
  Get(AnyPath, WithoutBody);
  Options(AnyPath, WithoutBody);
  Post(AnyPath, HandlerWithContentReader(WithBody));
  Put(AnyPath, HandlerWithContentReader(WithBody));
  Patch(AnyPath, HandlerWithContentReader(WithBody));
  Delete(AnyPath, HandlerWithContentReader(WithBody));
}

static bool isStatusPage(const std::string &Path) {
  return Path == "/healthz" || Path == "/readyz" || Path == "/metrics";
}

httplib::Server::HandlerResponse
CallerServer::Implementation::checkHeaders(const Request &Call,
                                           Response &Reply) {
  CallerConnection &Connection = *CurrentConnection;
  Exchange CheckedExchange{Call, Reply, Connection};
  if (!Connection.headerError().empty()) {
    Connection.closeAfterAnswer();
    CheckedExchange.refuse(400, "malformed-request", Connection.headerError());
    return HandlerResponse::Handled;
  }
  if (!BoundedTaskQueue::isRefusing() || isStatusPage(Call.path))
    return HandlerResponse::Unhandled;
  m_Context.m_IncrementCounter("connections_refused");
  Connection.closeAfterAnswer();
  ErrorAnswer{503,
              "no-capacity",
              "this VM serves no further connections",
              Outcome::NotRun,
              {},
              1}
      .writeTo(Reply);
  return HandlerResponse::Handled;
}

httplib::Server::HandlerResponse
CallerServer::Implementation::describeLibraryError(Response &Reply) {
  bool HasErrorBody = !Reply.body.empty() || Reply.content_provider_ ||
                      Reply.has_header("X-Outcome");
  if (HasErrorBody)
    return HandlerResponse::Unhandled;
  // Errors found by cpp-httplib: the request did not reach a handler.
  CurrentConnection->closeAfterAnswer();
  switch (CurrentConnection->stream().fault()) {
  case SocketStream::Fault::TooLong:
    Reply.status = 431;
    break;
  case SocketStream::Fault::TimedOut:
    Reply.status = 408;
    break;
  default:
    break;
  }
  ErrorAnswer{Reply.status, "malformed-request",
              "the request cannot be understood", Outcome::NotRun}
      .writeTo(Reply);
  return HandlerResponse::Handled;
}

void CallerServer::Implementation::dispatch(
    const Request &Call, Response &Reply,
    const httplib::ContentReader *Reader) {
  Exchange DispatchedExchange{Call, Reply, *CurrentConnection, Reader};
  dispatchByPath(DispatchedExchange);
}

void CallerServer::Implementation::dispatchByPath(Exchange &Call) {
  const std::string &Path = Call.m_Request.path;
  const std::string &Method = Call.m_Request.method;
  bool IsRead = Method == "GET" || Method == "HEAD";
  auto StartsWith = [&Path](std::string_view Prefix) {
    return Path.compare(0, Prefix.size(), Prefix) == 0;
  };
  if (Path == "/v1/completions" && Method == "POST")
    return m_Completions.handle(Call);
  if (StartsWith("/services/"))
    return m_Services.handle(Call);
  if (StartsWith("/v1/requests/") && IsRead)
    return m_States.handle(Call);
  if (Path == "/v1/reservations" && Method == "POST")
    return m_Reservations.handle(Call);
  if (Path == "/healthz" && IsRead)
    return Call.m_Response.set_content("alive\n", "text/plain");
  if (Path == "/readyz" && IsRead) {
    bool IsReady = m_Context.m_IsReady();
    Call.m_Response.status = IsReady ? 200 : 503;
    return Call.m_Response.set_content(IsReady ? "ready\n" : "not ready\n",
                                       "text/plain");
  }
  if (Path == "/metrics" && IsRead)
    return Call.m_Response.set_content(m_Context.m_MetricsText(),
                                       "text/plain; version=0.0.4");
  // The body, if any, is not read.
  Call.m_Connection.closeAfterAnswer();
  bool IsKnownPath = Path == "/v1/completions" || Path == "/v1/reservations" ||
                     isStatusPage(Path) || StartsWith("/v1/requests/");
  if (IsKnownPath)
    return Call.refuse(405, "method-not-allowed",
                       Method + " is not allowed for " + Path);
  Call.refuse(404, "not-found", "there is nothing at " + Path);
}

bool CallerServer::Implementation::isSaturated() const {
  BoundedTaskQueue *Queue = m_Queue;
  return Queue && Queue->isSaturated();
}

bool CallerServer::Implementation::waitForRequest(
    const CallerConnection &Connection, bool IsFirst) const {
  // stream() has no const overload; only const members of it are used here.
  const SocketStream &Stream =
      const_cast<CallerConnection &>(Connection).stream();
  auto End = std::chrono::steady_clock::now() +
             (IsFirst ? FirstRequestTimeout : IdleTimeout);
  while (std::chrono::steady_clock::now() < End) {
    if (Stream.waitReadable(IdleCheckInterval))
      return true;
    if (m_IsStopping || Stream.isPeerDisconnected())
      return false;
    if (!IsFirst && (isSaturated() || m_Context.m_IsDraining()))
      return false;
  }
  return false;
}

void CallerServer::Implementation::serve(CallerConnection &Connection) {
  for (std::size_t Count = 1; waitForRequest(Connection, Count == 1); ++Count) {
    Connection.beginRequest();
    bool IsRequestRead = false;
    bool MustClose = Count >= MaxRequestsPerConnection ||
                     BoundedTaskQueue::isRefusing() || isSaturated() ||
                     m_Context.m_IsDraining();
    bool IsClosed = false;
    bool IsAnswered = process_request(Connection.stream(), MustClose, IsClosed,
                                      [&](Request &Call) {
                                        IsRequestRead = true;
                                        ++m_InProgress;
                                        Connection.handleHeaders(Call);
                                      });
    if (IsRequestRead)
      --m_InProgress;
    if (!IsAnswered || IsClosed || MustClose || Connection.mustClose())
      break;
  }
}

bool CallerServer::Implementation::process_and_close_socket(socket_t Socket) {
  setSocketOptions(Socket);
  CallerConnection Connection(Socket, m_Options.m_MaxBodyBytes);
  CurrentConnection = &Connection;
  serve(Connection);
  CurrentConnection = nullptr;
  Connection.lingeringClose();
  ::close(Socket);
  return true;
}

CallerServer::CallerServer(const CallerServerOptions &Options,
                           const CallerContext &Context)
    : m_Implementation(std::make_unique<Implementation>(Options, Context)) {
  std::optional<SocketAddress> ListenAddress =
      parseSocketAddress(Options.m_Address);
  if (!ListenAddress)
    throw std::runtime_error(Options.m_Address + " is not IP:port");
  Implementation &Server = *m_Implementation;
  if (ListenAddress->m_Port == 0)
    Server.m_Port = Server.bind_to_any_port(ListenAddress->m_Host);
  else if (Server.bind_to_port(ListenAddress->m_Host, ListenAddress->m_Port))
    Server.m_Port = ListenAddress->m_Port;
  if (Server.m_Port <= 0)
    throw std::runtime_error("cannot listen on " + Options.m_Address);
  Server.enlargeBacklog();
}

// Closing a listening socket resets connections that the kernel established but
// the server has not accepted yet: their callers would not know whether their
// request ran. A socket filter therefore first drops the packets that open a
// connection (SYN without ACK); established connections are still answered.
void CallerServer::Implementation::blockNewConnections() {
  constexpr std::uint32_t FlagsOffset = 13; // In the TCP header.
  constexpr std::uint32_t SynAckMask = 0x12;
  constexpr std::uint32_t Syn = 0x02;
  constexpr std::uint32_t AcceptAll = 0xffffffff;
  sock_filter Instructions[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, SynAckMask),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Syn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, AcceptAll),
  };
  sock_fprog Program{std::size(Instructions), Instructions};
  if (::setsockopt(svr_sock_, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
                   sizeof(Program)) != 0)
    PLOG(WARNING)
        << "cannot attach the socket filter that blocks new connections";
}

CallerServer::~CallerServer() { stop(); }

void CallerServer::start() {
  Implementation *Server = m_Implementation.get();
  Server->m_Thread = std::thread([Server] {
    if (!Server->listen_after_bind())
      LOG(ERROR) << "the HTTP server for callers stopped unexpectedly";
    Server->m_HasEnded = true;
  });
  while (!Server->is_running() && !Server->m_HasEnded)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void CallerServer::blockNewConnections() {
  m_Implementation->blockNewConnections();
}

void CallerServer::stop() {
  if (!m_Implementation->m_Thread.joinable())
    return;
  m_Implementation->m_IsStopping = true;
  m_Implementation->stop();
  m_Implementation->m_Thread.join();
}

int CallerServer::port() const { return m_Implementation->m_Port; }

std::uint32_t CallerServer::requestsInProgress() const {
  return m_Implementation->m_InProgress;
}

} // namespace parsleyring
