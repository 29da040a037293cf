#ifndef PARSLEYRING_TESTS_SUPPORT_CRASHINGENDPOINTS_H
#define PARSLEYRING_TESTS_SUPPORT_CRASHINGENDPOINTS_H

#include "support/FreePort.h"
#include "support/GatewayTestServers.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

/// Endpoints of the service "plain" that crash while they run a request whose
/// body begins with CrashingBody: all their connections end, new ones are
/// refused, and after RestartDelay they are back at their address, under a new
/// id. Until then they stay listed.
class CrashingEndpoints {
public:
  using Clock = std::chrono::steady_clock;

  CrashingEndpoints(FakeMetadataStore &Store, int Count);
  ~CrashingEndpoints();

  static constexpr const char *CrashingBody = "crash";
  static constexpr std::chrono::milliseconds RestartDelay{500};

  /// Crashes an endpoint, whatever it runs.
  void crash(std::size_t Index);
  /// Endpoints close the connections of the requests that they should run, but
  /// do not crash.
  void setCutting(bool IsCutting) { m_IsCutting = IsCutting; }

  int crashes() const { return m_Crashes; }
  /// Requests with CrashingBody that reached an endpoint.
  int crashingRequests() const { return m_CrashingRequests; }
  int soundRequests() const { return m_SoundRequests; }

private:
  struct Connection {
    int m_Socket = -1;
    std::string m_Received;
    bool m_IsRunning = false;
    Clock::time_point m_EndsAt{};
    std::string m_AttemptId;
    bool m_IsCrashing = false;
  };
  struct Endpoint {
    FreePort m_Port;
    int m_Listener = -1;
    int m_Incarnation = 0;
    Clock::time_point m_DownSince{};
    std::vector<Connection> m_Connections;
  };

  static std::string id(const Endpoint &Of);
  void serve();
  void start(Endpoint &Started);
  void stop(Endpoint &Stopped);
  void acceptConnections(Endpoint &From);
  /// False if the connection has ended.
  bool receive(const Endpoint &By, Connection &From);
  bool finishRun(Connection &Of);
  void begin(const Endpoint &By, Connection &From, std::size_t HeadSize);

  FakeMetadataStore &m_Store;
  std::vector<std::unique_ptr<Endpoint>> m_Endpoints;
  std::mutex m_Mutex; ///< Guards the endpoints.
  std::atomic<int> m_Crashes{0};
  std::atomic<int> m_CrashingRequests{0};
  std::atomic<int> m_SoundRequests{0};
  std::atomic<bool> m_IsCutting{false};
  std::atomic<bool> m_IsStopping{false};
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_CRASHINGENDPOINTS_H
