#ifndef PARSLEYRING_CALLERS_CALLERSERVER_H
#define PARSLEYRING_CALLERS_CALLERSERVER_H

#include "callers/CallerContext.h"

#include <memory>
#include <string>

namespace parsleyring {

struct CallerServerOptions {
  std::string m_Address; ///< IP:port; port 0 selects a free port.
  std::uint64_t m_MaxBodyBytes = 1 << 20;
  std::uint32_t m_MaxConnections = 512;
};

/// HTTP server for callers, load balancers and metrics collectors.
class CallerServer {
public:
  /// Throws std::runtime_error if the address cannot be bound.
  CallerServer(const CallerServerOptions &Options,
               const CallerContext &Context);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  void start();
  /// Drops the packets that open new connections. Connections that are already
  /// established are still accepted, so that none is reset when the process
  /// ends.
  void blockNewConnections();
  /// Closes all connections; answers in progress are cut off.
  void stop();

  int port() const;
  /// Number of requests whose headers were read and whose answer is not yet
  /// written completely.
  std::uint32_t requestsInProgress() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERSERVER_H
