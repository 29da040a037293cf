#ifndef PARSLEYRING_PEERS_PEERSERVICE_H
#define PARSLEYRING_PEERS_PEERSERVICE_H

#include "membership/Digest.h"
#include "membership/PeerNetwork.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace apache::thrift::server {
class TServer;
} // namespace apache::thrift::server

namespace parsleyring {

/// Thrift server that answers the other routers. Each call runs in a thread of
/// its connection.
class PeerService {
public:
  /// Self is the incarnation that calls must name, where they name one.
  PeerService(const std::string &ListenAddress, const Incarnation &Self,
              const PeerCallbacks &Callbacks,
              std::function<void(const Digest &)> Receive);
  ~PeerService();

  /// Returns when the port is bound. Throws std::runtime_error.
  void start();
  void stop();

private:
  std::string m_ListenAddress;
  Incarnation m_Self;
  PeerCallbacks m_Callbacks;
  std::function<void(const Digest &)> m_Receive;
  std::shared_ptr<apache::thrift::server::TServer> m_Server;
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_PEERS_PEERSERVICE_H
