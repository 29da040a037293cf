#include "console/ConsoleServer.h"

#include "callers/BoundedTaskQueue.h"
#include "callers/CallerConnection.h"
#include "core/SocketAddress.h"

#include <glog/logging.h>

#include <stdexcept>
#include <thread>

namespace parsleyring {

using httplib::Request;
using httplib::Response;

static constexpr std::size_t MaxThreads = 16;
static constexpr int ListenBacklog = 128;
static constexpr std::chrono::seconds FirstRequestTimeout(10);

static thread_local CallerConnection *CurrentConnection = nullptr;

class ConsoleServer::Implementation final : public httplib::Server {
public:
  Implementation(Console &Pages, std::function<Time()> Now);

  void extendListenBacklog() { ::listen(svr_sock_, ListenBacklog); }

  int m_Port = 0;
  std::thread m_Thread;

private:
  bool process_and_close_socket(socket_t Socket) override;
  void handleRequest(const Request &Call, Response &Reply,
                     const httplib::ContentReader *Reader);
  ConsoleResponse createResponse(const Request &Call,
                                 const httplib::ContentReader *Reader);
  void describeError(Response &Reply);

  Console &m_Pages;
  const std::function<Time()> m_Now;
};

/// Reads the header "Cookie: NAME=VALUE; NAME=VALUE".
static std::map<std::string, std::string> readCookies(const Request &Call) {
  std::map<std::string, std::string> Cookies;
  std::string Header = Call.get_header_value("Cookie");
  std::string_view Rest = Header;
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find(';'));
    Rest.remove_prefix(std::min(Pair.size() + 1, Rest.size()));
    Pair.remove_prefix(std::min(Pair.find_first_not_of(' '), Pair.size()));
    std::size_t NameEnd = Pair.find('=');
    if (NameEnd != std::string_view::npos)
      Cookies.emplace(Pair.substr(0, NameEnd), Pair.substr(NameEnd + 1));
  }
  return Cookies;
}

static void writeResponse(const ConsoleResponse &From, Response &Reply) {
  Reply.status = From.m_Status;
  Reply.set_header("Content-Security-Policy",
                   "default-src 'none'; style-src 'self'; form-action 'self'; "
                   "base-uri 'none'; frame-ancestors 'none'");
  Reply.set_header("X-Content-Type-Options", "nosniff");
  Reply.set_header("X-Frame-Options", "DENY");
  Reply.set_header("Referrer-Policy", "no-referrer");
  Reply.set_header("Cache-Control", "no-store");
  for (const std::string &Cookie : From.m_Cookies)
    Reply.headers.emplace("Set-Cookie", Cookie);
  if (!From.m_Location.empty())
    Reply.set_header("Location", From.m_Location);
  Reply.set_content(From.m_Body, From.m_ContentType);
}

ConsoleServer::Implementation::Implementation(Console &Pages,
                                              std::function<Time()> Now)
    : m_Pages(Pages), m_Now(std::move(Now)) {
  new_task_queue = [] { return new BoundedTaskQueue(MaxThreads); };
  // The library's default, SO_REUSEPORT, lets two processes share a port
  // unnoticed.
  set_socket_options([](socket_t Socket) {
    int On = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  });
  set_error_handler([this](const Request &, Response &Reply) {
    if (Reply.body.empty())
      describeError(Reply);
  });
  auto WithoutBody = [this](const Request &Call, Response &Reply) {
    handleRequest(Call, Reply, nullptr);
  };
  auto WithBody = [this](const Request &Call, Response &Reply,
                         const httplib::ContentReader &Reader) {
    handleRequest(Call, Reply, &Reader);
  };
  static const char *const AnyPath = ".*";
  Get(AnyPath, WithoutBody);
  Post(AnyPath, HandlerWithContentReader(WithBody));
}

void ConsoleServer::Implementation::describeError(Response &Reply) {
  // The library rejected the request before it reached a page.
  SocketStream::Fault Fault = CurrentConnection->stream().fault();
  int Status = Reply.status;
  if (Fault == SocketStream::Fault::TooLong)
    Status = 431;
  if (Fault == SocketStream::Fault::TimedOut)
    Status = 408;
  writeResponse(m_Pages.refuse(Status,
                               "The request cannot be understood, or its "
                               "method is not supported here."),
                Reply);
}

void ConsoleServer::Implementation::handleRequest(
    const Request &Call, Response &Reply,
    const httplib::ContentReader *Reader) {
  try {
    writeResponse(createResponse(Call, Reader), Reply);
  } catch (const FormError &Error) {
    writeResponse(m_Pages.refuse(400, Error.what()), Reply);
  } catch (const std::exception &Error) {
    LOG(ERROR) << "page " << Call.path << " failed: " << Error.what();
    writeResponse(
        m_Pages.refuse(500, "Internal error; the log of the console has the "
                            "cause."),
        Reply);
  }
}

ConsoleResponse ConsoleServer::Implementation::createResponse(
    const Request &Call, const httplib::ContentReader *Reader) {
  static const std::string FormType = "application/x-www-form-urlencoded";
  CallerConnection &Connection = *CurrentConnection;
  if (!Connection.headerError().empty())
    return m_Pages.refuse(400, Connection.headerError());
  if (BoundedTaskQueue::isRefusing())
    return m_Pages.refuse(503, "Too many connections; try again.");
  ConsoleRequest ParsedRequest;
  ParsedRequest.m_IsPost = Reader != nullptr;
  ParsedRequest.m_Path = Call.path;
  ParsedRequest.m_Remote = Call.remote_addr;
  ParsedRequest.m_Cookies = readCookies(Call);
  std::size_t QueryAt = Call.target.find('?');
  std::string Input =
      QueryAt == std::string::npos ? "" : Call.target.substr(QueryAt + 1);
  if (Reader) {
    if (Connection.contentType().substr(0, FormType.size()) != FormType)
      return m_Pages.refuse(415, "The form must be sent as " + FormType + ".");
    std::size_t Limit = m_Pages.maxFormBytes(m_Now(), ParsedRequest);
    std::string Body;
    bool IsTooLarge =
        Call.get_header_value<std::uint64_t>("Content-Length") > Limit;
    BodyResult End =
        IsTooLarge ? BodyResult::TooLarge : Connection.readBody(*Reader, Body);
    if (Body.size() > Limit)
      End = BodyResult::TooLarge;
    switch (End) {
    case BodyResult::Complete:
      break;
    case BodyResult::TooLarge:
      return m_Pages.refuse(413, "The form has more than " +
                                     std::to_string(Limit) +
                                     " bytes. Import a large document in "
                                     "parts.");
    case BodyResult::TimedOut:
      return m_Pages.refuse(408, "The form did not arrive in time.");
    case BodyResult::Broken:
      return m_Pages.refuse(400, "The form did not arrive whole.");
    }
    Input += (Input.empty() || Body.empty() ? "" : "&") + Body;
  }
  ParsedRequest.m_Input = FormData::parse(Input);
  return m_Pages.handle(m_Now(), ParsedRequest);
}

bool ConsoleServer::Implementation::process_and_close_socket(socket_t Socket) {
  CallerConnection Connection(Socket, Console::MaxFormBytes);
  CurrentConnection = &Connection;
  if (Connection.stream().waitReadable(FirstRequestTimeout)) {
    Connection.beginRequest();
    bool IsClosed = false;
    process_request(Connection.stream(), true, IsClosed,
                    [&](Request &Call) { Connection.handleHeaders(Call); });
  }
  CurrentConnection = nullptr;
  Connection.lingeringClose();
  ::close(Socket);
  return true;
}

ConsoleServer::ConsoleServer(const std::string &Address, Console &Pages,
                             std::function<Time()> Now)
    : m_Implementation(
          std::make_unique<Implementation>(Pages, std::move(Now))) {
  std::optional<SocketAddress> Own = parseSocketAddress(Address);
  if (!Own)
    throw std::runtime_error(Address + " is not IP:port");
  Implementation &Server = *m_Implementation;
  if (Own->m_Port == 0)
    Server.m_Port = Server.bind_to_any_port(Own->m_Host);
  else if (Server.bind_to_port(Own->m_Host, Own->m_Port))
    Server.m_Port = Own->m_Port;
  if (Server.m_Port <= 0)
    throw std::runtime_error("cannot listen on " + Address);
  Server.extendListenBacklog();
}

ConsoleServer::~ConsoleServer() { stop(); }

void ConsoleServer::start() {
  m_Implementation->m_Thread = std::thread([Server = m_Implementation.get()] {
    if (!Server->listen_after_bind())
      LOG(ERROR) << "console HTTP server failed";
  });
  while (!m_Implementation->is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void ConsoleServer::stop() {
  if (!m_Implementation->m_Thread.joinable())
    return;
  m_Implementation->stop();
  m_Implementation->m_Thread.join();
}

int ConsoleServer::port() const { return m_Implementation->m_Port; }

} // namespace parsleyring
