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

/// Thrift server for calls of the other routers. Calls run in the thread of
/// their connection.
class PeerService {
public:
  /// Self is the incarnation of this VM; calls that name another incarnation
  /// are not answered with its state.
  PeerService(const std::string &ListenAddress, const Incarnation &Self,
              const PeerCallbacks &Callbacks,
              std::function<void(const Digest &)> OnDigest);
  ~PeerService();

  /// Returns when the server listens. Throws std::runtime_error if it cannot,
  /// or std::invalid_argument if ListenAddress is malformed.
  void start();
  void stop();

private:
  std::string m_ListenAddress;
  Incarnation m_Self;
  PeerCallbacks m_Callbacks;
  std::function<void(const Digest &)> m_OnDigest;
  std::shared_ptr<apache::thrift::server::TServer> m_Server;
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_PEERS_PEERSERVICE_H
