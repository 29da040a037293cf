#ifndef PARSLEYRING_NODE_ROUTERNODE_H
#define PARSLEYRING_NODE_ROUTERNODE_H

#include "membership/PeerNetwork.h"
#include "parsleyring/PlatformClient.h"
#include "parsleyring/Settings.h"

#include <functional>
#include <memory>

namespace parsleyring {

/// A router process: connects the Router with callers, endpoints, platform and
/// peers.
class RouterNode {
public:
  using PeerFactory = std::function<std::unique_ptr<PeerNetwork>(
      const Settings &, const Incarnation &Self, std::function<Time()> Now,
      PlatformClient &, const PeerCallbacks &)>;

  /// Throws std::runtime_error if an address cannot be bound.
  RouterNode(const Settings &Options, const PeerFactory &MakePeers);
  ~RouterNode();
  RouterNode(const RouterNode &) = delete;
  RouterNode &operator=(const RouterNode &) = delete;

  void start();
  /// Graceful shutdown: waits without a time limit until no request is in
  /// progress, then stops the node.
  void drain();

  int callerPort() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_ROUTERNODE_H
