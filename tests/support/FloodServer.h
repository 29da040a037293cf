#ifndef PARSLEYRING_TESTS_SUPPORT_FLOODSERVER_H
#define PARSLEYRING_TESTS_SUPPORT_FLOODSERVER_H

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

/// A TCP server on a free loopback port that reads a request, sends some bytes
/// once, and then others again and again until the client closes.
class FloodServer {
public:
  FloodServer(std::string First, std::string Repeated,
              std::chrono::milliseconds Pause = {});
  ~FloodServer();

  std::string address() const { return m_Address; }
  /// Number of connections that clients have closed.
  int closedConnections() const { return m_Closed; }

private:
  void serve();
  void flood(int Connection);

  const std::string m_First;
  const std::string m_Repeated;
  const std::chrono::milliseconds m_Pause;
  int m_Listener = -1;
  std::string m_Address;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<int> m_Closed{0};
  std::vector<std::thread> m_Connections; ///< Used by serve() only.
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_FLOODSERVER_H
