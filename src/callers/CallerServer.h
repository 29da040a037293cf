#ifndef PARSLEYRING_CALLERS_CALLERSERVER_H
#define PARSLEYRING_CALLERS_CALLERSERVER_H

#include "callers/CallerContext.h"

#include <memory>
#include <string>

namespace parsleyring {

struct CallerServerOptions {
  std::string m_Address; ///< IP:port; port 0 picks a free one.
  std::uint64_t m_MaxBodyBytes = 1 << 20;
  std::uint32_t m_MaxConnections = 512;
};

/// The HTTP server for callers, load balancers and metrics collectors.
class CallerServer {
public:
  /// Throws std::runtime_error if the address cannot be bound.
  CallerServer(const CallerServerOptions &Options,
               const CallerContext &Context);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  void start();
  /// Lets no new connection begin. Those that have begun are still accepted,
  /// so that none is reset by the end of the process.
  void refuseConnections();
  /// Ends all connections. Answers in progress break off.
  void stop();

  int port() const;
  /// Requests that were read and whose answer is not written yet.
  std::uint32_t requestsInProgress() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERSERVER_H
