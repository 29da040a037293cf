#include "emulator/HttpServer.h"

#include "core/SocketAddress.h"

#include <httplib.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace parsleyring {

// Exceeds the length of any test, so that kept-alive connections stay open.
static constexpr std::chrono::seconds IdleTimeout{600};
static constexpr std::chrono::seconds TransferTimeout{30};
// Interval at which a waiting thread checks the state of its connection.
static constexpr std::chrono::milliseconds CheckInterval{50};
static constexpr std::size_t MaxBodyBytes = 8 << 20;
static constexpr int ListenBacklog = 512;
static constexpr std::size_t MaxRequestsPerConnection = 1 << 30;

std::string EmulatorCall::header(const std::string &Name) const {
  auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? std::string() : Found->second;
}

std::string EmulatorCall::query(const std::string &Name,
                                const std::string &Fallback) const {
  auto Found = m_Query.find(Name);
  return Found == m_Query.end() ? Fallback : Found->second;
}

bool EmulatorCall::hasQuery(const std::string &Name) const {
  return m_Query.count(Name) > 0;
}

std::pair<std::string, int> splitAddress(const std::string &Address) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(Address);
  if (!Parsed)
    throw std::invalid_argument("\"" + Address + "\" is not IP:port");
  return {Parsed->m_Host, Parsed->m_Port};
}

namespace {

/// Starts a thread per connection: in a thread pool, idle kept-alive
/// connections would occupy all threads.
class ThreadPerConnection : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override {
    std::thread(std::move(Task)).detach();
  }
  void shutdown() override {}
};

/// Socket of an accepted connection. Unlike the library's own stream, it can
/// be frozen or closed from within a handler.
class ConnectionStream : public httplib::Stream {
public:
  ConnectionStream(int Socket, const std::atomic<std::uint64_t> &FreezeCount)
      : m_Socket(Socket), m_FreezeCount(FreezeCount),
        m_ExemptFreezeCount(FreezeCount) {
    int On = 1;
    setsockopt(m_Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }

  ~ConnectionStream() override {
    shutdown(m_Socket, SHUT_RDWR);
    close(m_Socket);
  }

  void abort() { m_IsAborted = true; }
  /// Exempts the connection from all freezes so far.
  void exemptFromFreezes() { m_ExemptFreezeCount = m_FreezeCount; }

  bool waitForRequest() {
    return m_Begin < m_End || waitFor(POLLIN, IdleTimeout);
  }

  bool is_readable() const override {
    return m_Begin < m_End || waitFor(POLLIN, TransferTimeout);
  }

  bool is_writable() const override {
    return waitFor(POLLOUT, TransferTimeout) && !isPeerGone();
  }

  ssize_t read(char *Data, std::size_t Size) override {
    if (m_Begin == m_End) {
      if (!is_readable())
        return -1;
      ssize_t Count = recv(m_Socket, m_Buffer, sizeof(m_Buffer), 0);
      if (Count <= 0)
        return Count;
      m_Begin = 0;
      m_End = static_cast<std::size_t>(Count);
    }
    std::size_t Count = std::min(Size, m_End - m_Begin);
    std::copy_n(m_Buffer + m_Begin, Count, Data);
    m_Begin += Count;
    return static_cast<ssize_t>(Count);
  }

  ssize_t write(const char *Data, std::size_t Size) override {
    if (!waitFor(POLLOUT, TransferTimeout))
      return -1;
    return send(m_Socket, Data, Size, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return m_Socket; }

private:
  bool isFrozen() const { return m_FreezeCount != m_ExemptFreezeCount; }

  bool isPeerGone() const {
    pollfd Poll{m_Socket, POLLRDHUP, 0};
    return poll(&Poll, 1, 0) > 0;
  }

  /// A frozen connection is never ready; its wait ends, with false, when the
  /// peer closes it.
  bool waitFor(short Events, std::chrono::milliseconds Limit) const {
    auto End = std::chrono::steady_clock::now() + Limit;
    while (!m_IsAborted) {
      if (isFrozen()) {
        if (isPeerGone())
          return false;
        std::this_thread::sleep_for(CheckInterval);
        continue;
      }
      pollfd Poll{m_Socket, Events, 0};
      int Ready = poll(&Poll, 1, static_cast<int>(CheckInterval.count()));
      if (isFrozen())
        continue;
      if (Ready != 0)
        return Ready > 0;
      if (std::chrono::steady_clock::now() >= End)
        return false;
    }
    return false;
  }

  int m_Socket;
  bool m_IsAborted = false;
  const std::atomic<std::uint64_t> &m_FreezeCount;
  std::uint64_t m_ExemptFreezeCount;
  char m_Buffer[4096];
  std::size_t m_Begin = 0;
  std::size_t m_End = 0;
};

class ChunkWriter : public HttpBodyWriter {
public:
  explicit ChunkWriter(httplib::DataSink &Sink) : m_Sink(Sink) {}
  bool write(std::string_view Piece) override {
    return m_Sink.write(Piece.data(), Piece.size());
  }
  bool isOpen() const override { return m_Sink.is_writable(); }

private:
  httplib::DataSink &m_Sink;
};

// The connection that this thread serves.
thread_local ConnectionStream *CurrentConnection = nullptr;

EmulatorCall toCall(const httplib::Request &Request) {
  EmulatorCall Call;
  Call.m_Method = Request.method;
  Call.m_Path = Request.path;
  Call.m_Body = Request.body;
  for (const auto &[Name, Value] : Request.headers) {
    std::string Lower = Name;
    std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                   [](unsigned char Letter) { return std::tolower(Letter); });
    Call.m_Headers[Lower] = Value;
  }
  for (const auto &[Name, Value] : Request.params)
    Call.m_Query[Name] = Value;
  return Call;
}

void applyReply(const HttpReply &Reply, httplib::Response &Response) {
  if (Reply.m_ClosesConnection)
    CurrentConnection->abort();
  Response.status = Reply.m_Status;
  for (const auto &[Name, Value] : Reply.m_Headers)
    Response.set_header(Name, Value);
  if (!Reply.m_WriteBody) {
    Response.set_content(Reply.m_Body, Reply.m_ContentType);
    return;
  }
  Response.set_chunked_content_provider(
      Reply.m_ContentType,
      [WriteBody = Reply.m_WriteBody](std::size_t, httplib::DataSink &Sink) {
        ChunkWriter Chunks(Sink);
        if (!WriteBody(Chunks))
          return false;
        Sink.done();
        return true;
      });
}

} // namespace

class HttpServer::Implementation : public httplib::Server {
public:
  explicit Implementation(HttpServer::Handler Respond)
      : m_Respond(std::move(Respond)) {
    new_task_queue = [] { return new ThreadPerConnection; };
    set_payload_max_length(MaxBodyBytes);
    set_keep_alive_max_count(MaxRequestsPerConnection);
    set_keep_alive_timeout(IdleTimeout.count());
    set_read_timeout(TransferTimeout);
    set_write_timeout(TransferTimeout);
    auto Route = [this](const httplib::Request &Request,
                        httplib::Response &Response) {
      HttpReply Reply;
      m_Respond(toCall(Request), Reply);
      applyReply(Reply, Response);
    };
    using Register = Server &(Server::*)(const std::string &, Handler);
    for (Register Method :
         {Register(&Server::Get), Register(&Server::Post),
          Register(&Server::Put), Register(&Server::Patch),
          Register(&Server::Delete), Register(&Server::Options)})
      (this->*Method)(".*", Route);
  }

  /// With the library's backlog of 5, connections of a burst are dropped, and
  /// clients retry them only after a second.
  void enlargeBacklog() { ::listen(svr_sock_, ListenBacklog); }

  std::string m_Address;
  std::atomic<std::uint64_t> m_FreezeCount{0};

private:
  bool process_and_close_socket(socket_t Socket) override {
    ConnectionStream Connection(Socket, m_FreezeCount);
    CurrentConnection = &Connection;
    bool IsSuccessful = true;
    bool IsClosed = false;
    while (IsSuccessful && !IsClosed && Connection.waitForRequest())
      IsSuccessful = process_request(Connection, false, IsClosed, nullptr);
    CurrentConnection = nullptr;
    return IsSuccessful;
  }

  HttpServer::Handler m_Respond;
};

HttpServer::HttpServer(Handler Respond)
    : m_Implementation(std::make_unique<Implementation>(std::move(Respond))) {}

HttpServer::~HttpServer() = default;

std::string HttpServer::bind(const std::string &Address) {
  auto [Host, Port] = splitAddress(Address);
  if (Port == 0)
    Port = m_Implementation->bind_to_any_port(Host);
  else if (!m_Implementation->bind_to_port(Host, Port))
    Port = -1;
  if (Port < 0)
    throw std::runtime_error("cannot listen on " + Address);
  m_Implementation->enlargeBacklog();
  m_Implementation->m_Address = Host + ":" + std::to_string(Port);
  return m_Implementation->m_Address;
}

void HttpServer::run(const std::string &Label) {
  std::cout << Label << " " << m_Implementation->m_Address << std::endl;
  m_Implementation->listen_after_bind();
}

void HttpServer::freezeConnections() {
  ++m_Implementation->m_FreezeCount;
  if (CurrentConnection)
    CurrentConnection->exemptFromFreezes();
}

} // namespace parsleyring
