// Stand-ins for the second review: the platform's store, the servers of a plain
// service, the clients, and the start of gateways, as the users' pages describe
// them. All of them run as threads of the program of one case; each gateway is
// a process of its own.
#ifndef REVIEW_STANDIN_2_STANDINS_H
#define REVIEW_STANDIN_2_STANDINS_H

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// Exit statuses of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

/// Seconds since the first call.
inline double seconds() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

inline void sleepMs(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

inline std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// False if the script was told to leave the disruption out.
inline bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

/// The file record.txt: one line for each event, with its time in seconds.
class Record {
public:
  explicit Record(const std::string &Path) : m_File(fopen(Path.c_str(), "w")) {}
  void line(const std::string &Text) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    fprintf(m_File, "%9.3f %s\n", seconds(), Text.c_str());
    fflush(m_File);
  }

private:
  std::mutex m_Mutex;
  FILE *m_File;
};

// Sockets

inline sockaddr_in socketAddress(const std::string &Address) {
  sockaddr_in Result{};
  std::size_t Colon = Address.rfind(':');
  Result.sin_family = AF_INET;
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr);
  Result.sin_port = htons(std::stoi(Address.substr(Colon + 1)));
  return Result;
}

/// Listens on IP:port, port 0 for a free one; Address gets the one in use.
inline int listenOn(std::string &Address) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Local = socketAddress(Address);
  socklen_t Size = sizeof(Local);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Local), Size) != 0 ||
      listen(Socket, 1024) != 0)
    throw std::runtime_error("cannot listen on " + Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Size);
  Address = Address.substr(0, Address.rfind(':') + 1) +
            std::to_string(ntohs(Local.sin_port));
  return Socket;
}

/// A port of the IP address that was free a moment ago.
inline std::string freeAddress(const std::string &Ip) {
  std::string Address = Ip + ":0";
  close(listenOn(Address));
  return Address;
}

inline int connectTo(const std::string &Address) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  sockaddr_in Peer = socketAddress(Address);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

// HTTP messages

struct Message {
  std::string m_Start; ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> m_Fields;
  std::string m_Body;

  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : m_Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  bool has(const std::string &Name) const {
    for (const auto &[Key, Value] : m_Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return true;
    return false;
  }
  /// Of an answer.
  int status() const {
    return m_Start.size() > 12 ? std::atoi(m_Start.c_str() + 9) : 0;
  }
  std::string method() const { return m_Start.substr(0, m_Start.find(' ')); }
  std::string target() const {
    std::size_t Begin = m_Start.find(' ') + 1;
    return m_Start.substr(Begin, m_Start.find(' ', Begin) - Begin);
  }
};

/// A connected socket with a buffer for what has been read.
class Channel {
public:
  explicit Channel(int Socket) : m_Socket(Socket) {}
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  ~Channel() {
    if (m_Socket >= 0)
      close(m_Socket);
  }
  bool isOpen() const { return m_Socket >= 0; }
  int socket() const { return m_Socket; }

  bool send(const std::string &Text) {
    std::size_t Sent = 0;
    while (Sent < Text.size()) {
      ssize_t Size = ::send(m_Socket, Text.data() + Sent, Text.size() - Sent,
                            MSG_NOSIGNAL);
      if (Size <= 0)
        return false;
      Sent += Size;
    }
    return true;
  }

  /// Reads a message whose body has a length, comes in chunks, or is empty.
  /// False if the channel ends before it does, or after TimeoutMs.
  bool receive(Message &Into, int TimeoutMs = 600000) {
    m_Until = seconds() + TimeoutMs / 1000.0;
    Into = {};
    std::string Line;
    if (!readLine(Into.m_Start))
      return false;
    for (;;) {
      if (!readLine(Line))
        return false;
      if (Line.empty())
        break;
      std::size_t Colon = Line.find(':');
      std::size_t Begin = Line.find_first_not_of(" \t", Colon + 1);
      Into.m_Fields.emplace_back(
          Line.substr(0, Colon),
          Begin == std::string::npos ? "" : Line.substr(Begin));
    }
    if (strcasecmp(Into.field("Transfer-Encoding").c_str(), "chunked") == 0)
      return receiveChunks(Into.m_Body);
    std::size_t Length = std::atol(Into.field("Content-Length").c_str());
    return readBytes(Into.m_Body, Length);
  }

private:
  bool receiveChunks(std::string &Body) {
    std::string Line;
    for (;;) {
      if (!readLine(Line))
        return false;
      std::size_t Length = std::strtoul(Line.c_str(), nullptr, 16);
      std::string Chunk;
      if (!readBytes(Chunk, Length) || !readLine(Line))
        return false;
      if (Length == 0)
        return true;
      Body += Chunk;
    }
  }
  bool fill() {
    int Left = static_cast<int>((m_Until - seconds()) * 1000);
    pollfd Ready{m_Socket, POLLIN, 0};
    if (Left <= 0 || poll(&Ready, 1, Left) <= 0)
      return false;
    char Bytes[65536];
    ssize_t Size = recv(m_Socket, Bytes, sizeof(Bytes), 0);
    if (Size <= 0)
      return false;
    m_Buffer.append(Bytes, Size);
    return true;
  }
  bool readLine(std::string &Line) {
    std::size_t End;
    while ((End = m_Buffer.find('\n')) == std::string::npos)
      if (!fill())
        return false;
    Line = m_Buffer.substr(0, End);
    m_Buffer.erase(0, End + 1);
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    return true;
  }
  bool readBytes(std::string &Bytes, std::size_t Size) {
    while (m_Buffer.size() < Size)
      if (!fill())
        return false;
    Bytes = m_Buffer.substr(0, Size);
    m_Buffer.erase(0, Size);
    return true;
  }

  int m_Socket;
  std::string m_Buffer;
  double m_Until = 0;
};

/// Accepts connections and answers their requests, a thread for each one.
/// Requests that are still being handled end with the process.
class HttpServer {
public:
  /// Returns the text of the answer; empty to close the connection.
  using Handler = std::function<std::string(const Message &)>;

  HttpServer(std::string Address, Handler Answer)
      : m_Address(std::move(Address)), m_Answer(std::move(Answer)) {
    int Listener = listenOn(m_Address);
    std::thread([this, Listener] {
      for (;;) {
        int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Socket < 0)
          continue;
        int One = 1;
        setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
        std::thread([this, Socket] { serve(Socket); }).detach();
      }
    }).detach();
  }
  const std::string &address() const { return m_Address; }

private:
  void serve(int Socket) {
    Channel Peer(Socket);
    Message Request;
    while (Peer.receive(Request)) {
      std::string Text = m_Answer(Request);
      if (Text.empty() || !Peer.send(Text))
        return;
    }
  }

  std::string m_Address;
  Handler m_Answer;
};

inline std::string
answerText(int Status, const std::string &Body,
           const std::vector<std::pair<std::string, std::string>> &Fields) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " Status\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return Text + Body;
}

inline std::string jsonAnswer(int Status, const Json &Body) {
  return answerText(Status, Body.dump(),
                    {{"Content-Type", "application/json"}});
}

// The store

inline std::string encodeBase64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    unsigned Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          Group << 8 |
          (Index < Count ? static_cast<unsigned char>(Bytes[At + Index]) : 0);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Index <= Count ? Digits[Group >> (18 - 6 * Index) & 63] : '=';
  }
  return Text;
}

/// The platform's store: linearizable, never refuses, keeps its history.
class Store {
public:
  explicit Store(const std::string &Ip)
      : m_Server(Ip + ":0",
                 [this](const Message &Request) { return answer(Request); }) {
    std::thread([this] {
      for (;;) {
        sleepMs(20);
        expireLeases();
      }
    }).detach();
  }
  const std::string &address() const { return m_Server.address(); }

  /// A write of the operator or of a server; returns the time of the ack.
  double put(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Revision;
    putEncoded(Key, encodeBase64(Value), 0);
    m_Changed.notify_all();
    return seconds();
  }
  void remove(const std::string &Key) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Revision;
    removeItem(Key);
    m_Changed.notify_all();
  }

private:
  struct Lease {
    double m_Ttl = 0;
    double m_EndsAt = 0;
  };

  void putEncoded(const std::string &Key, const Json &Value,
                  std::uint64_t LeaseId) {
    Json &Item = m_Items[Key];
    std::uint64_t Created =
        Item.is_null() ? m_Revision : Item["created"].get<std::uint64_t>();
    Item = Json{{"key", Key},
                {"value", Value},
                {"revision", m_Revision},
                {"created", Created},
                {"lease_id", LeaseId}};
    m_Events.push_back(Item);
  }
  void removeItem(const std::string &Key) {
    if (m_Items.erase(Key))
      m_Events.push_back(
          {{"key", Key}, {"revision", m_Revision}, {"deleted", true}});
  }
  void endLease(std::uint64_t Id) {
    m_Leases.erase(Id);
    std::vector<std::string> Keys;
    for (const auto &[Key, Item] : m_Items)
      if (Item["lease_id"] == Id)
        Keys.push_back(Key);
    if (Keys.empty())
      return;
    ++m_Revision;
    for (const std::string &Key : Keys)
      removeItem(Key);
    m_Changed.notify_all();
  }
  void expireLeases() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, Entry] : m_Leases)
      if (seconds() >= Entry.m_EndsAt)
        Ended.push_back(Id);
    for (std::uint64_t Id : Ended)
      endLease(Id);
  }

  static std::string query(const std::string &Target, const std::string &Name) {
    std::size_t At = Target.find('?');
    while (At != std::string::npos) {
      std::size_t End = Target.find('&', At + 1);
      std::string Part = Target.substr(At + 1, End - At - 1);
      if (Part.compare(0, Name.size() + 1, Name + "=") == 0)
        return Part.substr(Name.size() + 1);
      At = End;
    }
    return "";
  }
  static bool hasPrefix(const std::string &Key, const std::string &Prefix) {
    return Key.compare(0, Prefix.size(), Prefix) == 0;
  }

  std::string answer(const Message &Request) {
    sleepMs(4);
    std::string Target = Request.target();
    std::string Path = Target.substr(0, Target.find('?'));
    std::unique_lock<std::mutex> Lock(m_Mutex);
    if (Path == "/v1/kv-range")
      return range(Target);
    if (Path == "/v1/kv-watch")
      return watch(Target, Lock);
    if (Path == "/v1/kv-txn")
      return transact(Json::parse(Request.m_Body));
    if (Path == "/v1/kv-lease") {
      double Ttl = Json::parse(Request.m_Body)["ttl_ms"].get<double>() / 1000;
      std::uint64_t Id = ++m_LastLease;
      m_Leases[Id] = {Ttl, seconds() + Ttl};
      return jsonAnswer(200, {{"lease_id", Id}, {"ttl_ms", Ttl * 1000}});
    }
    std::uint64_t Id =
        std::strtoull(Path.substr(Path.rfind('/') + 1).c_str(), nullptr, 10);
    auto Found = m_Leases.find(Id);
    if (Found == m_Leases.end())
      return jsonAnswer(404, Json::object());
    if (hasPrefix(Path, "/v1/kv-keep/"))
      Found->second.m_EndsAt = seconds() + Found->second.m_Ttl;
    else
      endLease(Id);
    return jsonAnswer(200, Json::object());
  }
  std::string range(const std::string &Target) {
    std::string Prefix = query(Target, "prefix");
    std::string After = query(Target, "after");
    Json Items = Json::array();
    for (const auto &[Key, Item] : m_Items)
      if (hasPrefix(Key, Prefix) && Key > After)
        Items.push_back(Item);
    return jsonAnswer(
        200, {{"items", Items}, {"has_more", false}, {"at", m_Revision}});
  }
  std::string watch(const std::string &Target,
                    std::unique_lock<std::mutex> &Lock) {
    std::string Prefix = query(Target, "prefix");
    std::uint64_t After =
        std::strtoull(query(Target, "after").c_str(), nullptr, 10);
    auto Until =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(std::atoi(query(Target, "wait_ms").c_str()));
    for (;;) {
      Json Events = Json::array();
      for (auto Event = m_Events.rbegin(); Event != m_Events.rend(); ++Event) {
        if ((*Event)["revision"].get<std::uint64_t>() <= After)
          break;
        if (hasPrefix((*Event)["key"].get<std::string>(), Prefix))
          Events.insert(Events.begin(), *Event);
      }
      bool IsLate = std::chrono::steady_clock::now() >= Until;
      if (!Events.empty() || IsLate)
        return jsonAnswer(200, {{"events", Events}, {"at", m_Revision}});
      m_Changed.wait_until(Lock, Until);
    }
  }
  std::string transact(const Json &Body) {
    for (const Json &Row : Body["expected"]) {
      auto Found = m_Items.find(Row["key"].get<std::string>());
      std::uint64_t Known =
          Found == m_Items.end()
              ? 0
              : Found->second["revision"].get<std::uint64_t>();
      if (Known != Row["revision"].get<std::uint64_t>())
        return jsonAnswer(412, {{"items", Json::array()}});
    }
    for (const Json &Put : Body["put"]) {
      std::uint64_t Id = Put.value("lease_id", std::uint64_t(0));
      if (Id != 0 && !m_Leases.count(Id))
        return jsonAnswer(404, Json::object());
    }
    ++m_Revision;
    for (const Json &Put : Body["put"])
      putEncoded(Put["key"].get<std::string>(), Put["value"],
                 Put.value("lease_id", std::uint64_t(0)));
    for (const Json &Key : Body["remove"])
      removeItem(Key.get<std::string>());
    m_Changed.notify_all();
    return jsonAnswer(200, {{"revision", m_Revision}});
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Json> m_Items;
  std::deque<Json> m_Events;
  std::map<std::uint64_t, Lease> m_Leases;
  std::uint64_t m_Revision = 1;
  std::uint64_t m_LastLease = 100;
  HttpServer m_Server; ///< Last, since it answers at once.
};

// Servers of a plain service

/// A request that a server has run.
struct Run {
  std::string m_Id;
  std::string m_Server;
  Message m_Request;
  double m_At = 0;
};

/// What all servers have run.
class Runs {
public:
  void add(Run Entry) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Runs.push_back(std::move(Entry));
  }
  std::vector<Run> all() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Runs;
  }
  int count(const std::string &Id) {
    int Count = 0;
    for (const Run &Entry : all())
      Count += Entry.m_Id == Id;
    return Count;
  }

private:
  std::mutex m_Mutex;
  std::vector<Run> m_Runs;
};

/// A sound server: lists itself, checks the name that it is called by, and
/// answers each request after its work with a seal.
class Server {
public:
  Server(Store &Platform, Record &Log, Runs &Seen, const std::string &Ip,
         std::string Service, std::string Id, int WorkMs)
      : m_Log(Log), m_Seen(Seen), m_Id(std::move(Id)), m_WorkMs(WorkMs),
        m_Http(Ip + ":0",
               [this](const Message &Request) { return answer(Request); }) {
    std::int64_t Born = unixMs();
    std::thread([this, &Platform, Service = std::move(Service), Born] {
      for (int Sequence = 0;; ++Sequence) {
        Platform.put("servers/" + m_Id, Json{{"service", Service},
                                             {"address", m_Http.address()},
                                             {"zone", "zone-a"},
                                             {"version", "v1"},
                                             {"slots", 64},
                                             {"state", "ready"},
                                             {"cold_left_ms", 0},
                                             {"born", Born},
                                             {"sequence", Sequence}}
                                            .dump());
        sleepMs(1200);
      }
    }).detach();
  }

private:
  std::string answer(const Message &Request) {
    std::string Id = Request.field("Attempt-Id");
    std::string Expected = Request.field("Expect-Instance");
    if (!Expected.empty() && Expected != m_Id)
      return answerText(421, "", {{"Instance-Id", m_Id}});
    if (Request.target() == "/healthz")
      return answerText(200, "", {{"Instance-Id", m_Id}});
    if (Id.empty())
      return answerText(400, "", {{"Not-Executed", "1"}});
    m_Log.line("server " + m_Id + " runs " + Id + ": " + Request.m_Start +
               ", body of " + std::to_string(Request.m_Body.size()));
    m_Seen.add({Id, m_Id, Request, seconds()});
    sleepMs(m_WorkMs);
    return answerText(200, "done " + Id,
                      {{"Attempt-Id", Id},
                       {"Server-Seal", "seal." + m_Id + "." + Id},
                       {"Keep-Alive", "timeout=10"}});
  }

  Record &m_Log;
  Runs &m_Seen;
  const std::string m_Id;
  const int m_WorkMs;
  HttpServer m_Http; ///< Last, since it answers at once.
};

// Gateways

/// The settings and the process of one gateway, as the deploy file starts it.
class Gateway {
public:
  Gateway(const std::string &Folder, std::string Name, const std::string &Ip,
          const std::string &StoreAddress)
      : m_Name(std::move(Name)), m_Ip(Ip), m_Frontend(freeAddress(Ip)),
        m_Ready(freeAddress(Ip)), m_Control(freeAddress(Ip)),
        m_File(Folder + "/" + m_Name + ".json") {
    Json Settings{{"node_name", m_Name},
                  {"role", "gateway"},
                  {"machine_class", "edge"},
                  {"serves", {"edge", "control"}},
                  {"ip", Ip},
                  {"zone", "zone-a"},
                  {"region", "region-1"},
                  {"zones", {{"zone-a", "region-1"}}},
                  {"listen",
                   {{"frontend", m_Frontend},
                    {"ready", m_Ready},
                    {"control", m_Control}}},
                  {"internal_ports", {7340, 7355}},
                  {"seeds", {m_Control}},
                  {"is_bootstrap", true},
                  {"is_counted", false},
                  {"limits",
                   {{"cpu_share", 0.25},
                    {"cores", 1},
                    {"memory_mb", 260},
                    {"max_fds", 4200},
                    {"link_mbps", 1000.0},
                    {"disk_mb", 0}}},
                  {"data_dir", nullptr},
                  {"discovery", "platform"},
                  {"heartbeat_ms", 1200},
                  {"bounds",
                   {{"stable_ms", 3000},
                    {"drain_ms", 2000},
                    {"grace_s", 8},
                    {"loss_slack_ms", 200},
                    {"config_apply_ms", 2000},
                    {"max_skew_ms", 5000},
                    {"retry_ratio", 0.2},
                    {"retry_window_s", 10},
                    {"retry_slack", 198},
                    {"recover_s", 12}}},
                  {"platform",
                   {{"address", StoreAddress},
                    {"form", "kv"},
                    {"writes_per_s", 400},
                    {"reads_per_s", 2000},
                    {"history_s", 20},
                    {"max_value_bytes", 1048576},
                    {"ttl_min_ms", 1000}}}};
    FILE *File = fopen(m_File.c_str(), "w");
    fputs(Settings.dump().c_str(), File);
    fclose(File);
  }
  ~Gateway() {
    if (m_Process > 0)
      end();
  }

  /// Starts the process with its output going to Output.
  void start(int Output) {
    std::string Metrics = m_Ip + ":7354";
    std::string Variable = "PARSLEYRING_NODE_FILE=" + m_File;
    pid_t Parent = getpid();
    m_Process = fork();
    if (m_Process != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(CannotRun);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    signal(SIGPIPE, SIG_DFL);
    char Path[] = "PATH=/usr/bin:/bin";
    char *Environment[] = {Path, Variable.data(), nullptr};
    const char *Program = std::getenv("GATEWAY");
    execle(Program, Program, "--metrics", Metrics.c_str(), nullptr,
           Environment);
    _exit(CannotRun);
  }
  /// Status of the process if it has ended by itself, else -1.
  int endedStatus() {
    int Status = 0;
    if (m_Process > 0 && waitpid(m_Process, &Status, WNOHANG) == m_Process) {
      m_Process = 0;
      return Status;
    }
    return -1;
  }
  void end() {
    kill(m_Process, SIGKILL);
    waitpid(m_Process, nullptr, 0);
    m_Process = 0;
  }
  pid_t process() const { return m_Process; }
  const std::string &frontend() const { return m_Frontend; }

  /// Waits until the load balancer would send it clients.
  bool awaitReady(int TimeoutMs) const {
    for (double Until = seconds() + TimeoutMs / 1000.0; seconds() < Until;
         sleepMs(50)) {
      int Socket = connectTo(m_Ready);
      if (Socket < 0)
        continue;
      Channel Peer(Socket);
      Message Answer;
      Peer.send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
      if (Peer.receive(Answer, 1000) && Answer.status() == 200)
        return true;
    }
    return false;
  }

private:
  const std::string m_Name;
  const std::string m_Ip;
  const std::string m_Frontend;
  const std::string m_Ready;
  const std::string m_Control;
  const std::string m_File;
  pid_t m_Process = 0;
};

/// A loopback address that hardly another program uses: 127.x.y.LAST.
inline std::string loopbackIp(int Last) {
  static const std::string Prefix = [] {
    std::mt19937 Random(std::random_device{}());
    return "127." + std::to_string(20 + Random() % 200) + "." +
           std::to_string(1 + Random() % 250) + ".";
  }();
  return Prefix + std::to_string(Last);
}

// Routes and requests

/// A desired state with one plain service, one route of each plain kind, and
/// one tenant.
inline Json desiredState(int Version) {
  auto Route = [](const char *Name, const char *Prefix, const char *Kind) {
    return Json{{"name", Name},       {"host", "desk.example"},
                {"prefix", Prefix},   {"route_kind", Kind},
                {"timeout_ms", 4000}, {"latency_goal_ms", 1000},
                {"priority", 2},      {"service", "ledger"},
                {"max_attempts", 2},  {"anonymous", false},
                {"sticky", false},    {"resumable", false}};
  };
  return Json{
      {"version", Version},
      {"routes",
       {Route("book", "/book/", "non_idempotent"),
        Route("read", "/read/", "idempotent")}},
      {"services",
       {{{"name", "ledger"},
         {"health_path", "/healthz"},
         {"max_conns", 100},
         {"protocol", "h1"},
         {"tls", false}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "tenant-1"}, {"api_keys", {"key-of-tenant-1"}}}}}};
}

inline std::string newId() {
  static std::atomic<unsigned> Count{0};
  char Text[32];
  snprintf(Text, sizeof(Text), "%08x%08x", unsigned(getpid()), ++Count);
  return Text;
}

inline std::string requestText(const std::string &Method,
                               const std::string &Path, const std::string &Id,
                               const std::string &Body,
                               const std::string &MoreFields = "") {
  std::string Text = Method + " " + Path +
                     " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + Id +
                     "\r\nDeadline-Ms: 4000\r\n"
                     "Authorization: Bearer key-of-tenant-1\r\n" +
                     MoreFields;
  if (Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// Ends the process of the case, while the threads of its stand-ins, which
/// never end, still use what they share. The processes of gateways have ended
/// before, or end with this one.
[[noreturn]] inline void endCase(int Status) {
  fflush(nullptr);
  _exit(Status);
}

/// Runs Case, which calls endCase() or returns a status.
inline void runCase(const std::function<int()> &Case) {
  signal(SIGPIPE, SIG_IGN);
  seconds();
  int Status = CannotRun;
  try {
    Status = Case();
  } catch (const std::exception &Error) {
    fprintf(stderr, "%s\n", Error.what());
  }
  endCase(Status);
}

} // namespace review

#endif // REVIEW_STANDIN_2_STANDINS_H
