#include "support/CrashingEndpoints.h"

#include "core/SocketAddress.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace parsleyring {

using namespace std::chrono_literals;

static constexpr auto RunTime = 40ms;
static constexpr auto PollInterval = 1ms;

CrashingEndpoints::CrashingEndpoints(FakeMetadataStore &Store, int Count)
    : m_Store(Store) {
  for (int Index = 0; Index < Count; ++Index) {
    m_Endpoints.push_back(std::make_unique<Endpoint>());
    start(*m_Endpoints.back());
  }
  m_Thread = std::thread([this] { serve(); });
}

CrashingEndpoints::~CrashingEndpoints() {
  m_IsStopping = true;
  m_Thread.join();
  for (const auto &Each : m_Endpoints)
    stop(*Each);
}

std::string CrashingEndpoints::id(const Endpoint &Of) {
  std::string Address = Of.m_Port.address();
  return "p" + Address.substr(Address.find(':') + 1) + "-" +
         std::to_string(Of.m_Incarnation);
}

void CrashingEndpoints::start(Endpoint &Started) {
  Started.m_Listener =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int Enabled = 1;
  ::setsockopt(Started.m_Listener, SOL_SOCKET, SO_REUSEADDR, &Enabled,
               sizeof(Enabled));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port =
      htons(parseSocketAddress(Started.m_Port.address())->m_Port);
  if (::bind(Started.m_Listener, reinterpret_cast<sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Started.m_Listener, SOMAXCONN) != 0)
    throw std::runtime_error("cannot listen on " + Started.m_Port.address());
  ++Started.m_Incarnation;
  m_Store.put("servers/" + id(Started),
              serverEntry("plain", Started.m_Port.address()));
}

void CrashingEndpoints::stop(Endpoint &Stopped) {
  if (Stopped.m_Listener < 0)
    return;
  ::close(Stopped.m_Listener);
  Stopped.m_Listener = -1;
  for (const Connection &Each : Stopped.m_Connections)
    ::close(Each.m_Socket);
  Stopped.m_Connections.clear();
  Stopped.m_DownSince = Clock::now();
}

void CrashingEndpoints::crash(std::size_t Index) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  stop(*m_Endpoints[Index]);
  ++m_Crashes;
}

void CrashingEndpoints::serve() {
  while (!m_IsStopping) {
    std::this_thread::sleep_for(PollInterval);
    std::lock_guard<std::mutex> Lock(m_Mutex);
    for (const auto &Each : m_Endpoints) {
      if (Each->m_Listener < 0) {
        if (Clock::now() < Each->m_DownSince + RestartDelay)
          continue;
        m_Store.remove("servers/" + id(*Each));
        start(*Each);
      }
      acceptConnections(*Each);
      auto &Connections = Each->m_Connections;
      bool IsCrashing = std::any_of(
          Connections.begin(), Connections.end(), [](const Connection &Of) {
            return Of.m_IsCrashing && Clock::now() >= Of.m_EndsAt;
          });
      if (IsCrashing) {
        stop(*Each);
        ++m_Crashes;
        continue;
      }
      auto HasEnded = [&](Connection &From) {
        if (From.m_IsRunning ? finishRun(From) : receive(*Each, From))
          return false;
        ::close(From.m_Socket);
        return true;
      };
      Connections.erase(
          std::remove_if(Connections.begin(), Connections.end(), HasEnded),
          Connections.end());
    }
  }
}

void CrashingEndpoints::acceptConnections(Endpoint &From) {
  while (true) {
    Connection Accepted;
    Accepted.m_Socket = ::accept4(From.m_Listener, nullptr, nullptr,
                                  SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (Accepted.m_Socket < 0)
      return;
    From.m_Connections.push_back(std::move(Accepted));
  }
}

static std::string headerOf(const std::string &Head, const std::string &Name) {
  std::size_t Begin = Head.find("\r\n" + Name + ": ");
  if (Begin == std::string::npos)
    return "";
  Begin += Name.size() + 4;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

bool CrashingEndpoints::receive(const Endpoint &By, Connection &From) {
  std::array<char, 16384> Buffer;
  ssize_t Size =
      ::recv(From.m_Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  if (Size == 0 || (Size < 0 && errno != EAGAIN))
    return false;
  if (Size > 0)
    From.m_Received.append(Buffer.data(), static_cast<std::size_t>(Size));
  std::size_t HeadSize = From.m_Received.find("\r\n\r\n");
  if (HeadSize == std::string::npos)
    return true;
  HeadSize += 4;
  std::string Length =
      headerOf(From.m_Received.substr(0, HeadSize), "Content-Length");
  std::size_t BodySize = Length.empty() ? 0 : std::stoul(Length);
  if (From.m_Received.size() < HeadSize + BodySize)
    return true;
  begin(By, From, HeadSize);
  return !m_IsCutting;
}

void CrashingEndpoints::begin(const Endpoint &By, Connection &From,
                              std::size_t HeadSize) {
  std::string Head = From.m_Received.substr(0, HeadSize);
  bool IsCrashing =
      From.m_Received.compare(HeadSize, std::string(CrashingBody).size(),
                              CrashingBody) == 0;
  ++(IsCrashing ? m_CrashingRequests : m_SoundRequests);
  From.m_AttemptId = headerOf(Head, "Attempt-Id");
  From.m_IsRunning = true;
  From.m_EndsAt = Clock::now() + RunTime;
  From.m_IsCrashing = IsCrashing;
  From.m_Received.clear();
  if (headerOf(Head, "Expect-Instance") == id(By))
    return;
  From.m_IsRunning = false;
  From.m_IsCrashing = false;
  std::string Answer = "HTTP/1.1 421 Other\r\nNot-Executed: 1\r\nAttempt-Id: " +
                       From.m_AttemptId + "\r\nContent-Length: 0\r\n\r\n";
  ::send(From.m_Socket, Answer.data(), Answer.size(), MSG_NOSIGNAL);
}

bool CrashingEndpoints::finishRun(Connection &Of) {
  if (Clock::now() < Of.m_EndsAt)
    return true;
  Of.m_IsRunning = false;
  std::string Answer =
      "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: " + Of.m_AttemptId +
      "\r\nContent-Length: 2\r\n\r\nok";
  ::send(Of.m_Socket, Answer.data(), Answer.size(), MSG_NOSIGNAL);
  return true;
}

} // namespace parsleyring
