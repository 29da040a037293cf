#ifndef PARSLEYRING_TESTS_SUPPORT_CLIENTCROWD_H
#define PARSLEYRING_TESTS_SUPPORT_CLIENTCROWD_H

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

/// What each client of a group sends on its connection.
struct CrowdPlan {
  unsigned m_Clients = 0;
  std::string m_Address; ///< "IP:port" of the server.
  /// Sent first. Each "%" is replaced by a number that no other connection has.
  std::string m_Head = {};
  std::string m_Repeated = {};     ///< Sent over and over after m_Head.
  std::size_t m_RepeatedBytes = 0; ///< Limit of the bytes of m_Repeated.
  bool m_Reads = true;             ///< Otherwise no response is read.
  /// Connects again when the server closes the connection.
  bool m_Reconnects = false;
};

/// Clients on loopback addresses that do not respect the limits of a server.
/// One thread with non-blocking sockets serves all of them. Source addresses
/// are 127.0.1.1 to 127.0.1.4, so that a server can tell them from clients at
/// 127.0.0.1.
class ClientCrowd {
public:
  explicit ClientCrowd(const std::vector<CrowdPlan> &Plans);
  ~ClientCrowd();

  /// Whether each client has sent its whole plan (and received the beginning of
  /// a response, if it does not read) or has been disconnected.
  bool hasActed() const { return m_Pending == 0; }

private:
  struct Client {
    const CrowdPlan *m_Plan;
    int m_Socket = -1;
    std::string m_Head = {};
    std::size_t m_Sent = 0;
    bool m_HasActed = false;
  };

  void run();
  void connect(Client &Entry);
  void markActed(Client &Entry);
  void send(Client &Entry);
  void receive(Client &Entry);
  void disconnect(Client &Entry);

  std::vector<CrowdPlan> m_Plans;
  std::vector<Client> m_Clients;
  unsigned m_Connections = 0;
  std::atomic<std::size_t> m_Pending{0};
  std::atomic<bool> m_IsStopping{false};
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_CLIENTCROWD_H
