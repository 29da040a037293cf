#ifndef PARSLEYRING_TESTS_SUPPORT_RAWHTTPSERVER_H
#define PARSLEYRING_TESTS_SUPPORT_RAWHTTPSERVER_H

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

/// A request as read by a RawHttpServer.
struct RawRequest {
  int m_Connection = 0; ///< Counted from 0 in the order of acceptance.
  int m_Index = 0;      ///< Of the request on its connection, from 0.
  std::string m_Head;   ///< Request line and header fields.

  /// Value of a field, which is matched as sent; empty if it is absent.
  std::string field(const std::string &Name) const;
};

/// An HTTP server on a free loopback port that answers each request with bytes
/// of the test's choice, which need not be one response, and keeps connections
/// open.
class RawHttpServer {
public:
  /// Runs on the thread of the connection.
  using Behaviour = std::function<std::string(const RawRequest &)>;

  explicit RawHttpServer(Behaviour Respond);
  ~RawHttpServer();

  std::string address() const { return m_Address; }
  int connections() const { return m_Connections; }

private:
  void accept();
  void serve(int Socket, int Connection);

  const Behaviour m_Respond;
  int m_Listener = -1;
  std::string m_Address;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<int> m_Connections{0};
  std::vector<std::thread> m_Threads; ///< Used by accept() only.
  std::thread m_Acceptor;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_RAWHTTPSERVER_H
