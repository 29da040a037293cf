#ifndef PARSLEYRING_NODE_VMLISTPEERNETWORK_H
#define PARSLEYRING_NODE_VMLISTPEERNETWORK_H

#include "membership/VMList.h"
#include "parsleyring/Settings.h"
#include "peers/ThriftPeerNetwork.h"

#include <set>

namespace parsleyring {

/// Thrift network between the routers. The peers come from the settings and
/// from the platform's VM list.
class VMListPeerNetwork final : public ThriftPeerNetwork {
public:
  VMListPeerNetwork(const Settings &Options, const Incarnation &Self,
                    std::function<Time()> Now, PlatformClient &Platform,
                    const PeerCallbacks &Callbacks);
  ~VMListPeerNetwork() override;

  void start() override;
  void stop() override;

private:
  void apply(const VMList &List);

  const std::function<void(const Event &)> m_Post;
  std::set<std::string> m_ListedVMs;
  std::set<std::string>
      m_LeavingEndpoints; ///< Used by the thread of m_VMListWatcher only.
  VMListWatcher m_VMListWatcher;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_VMLISTPEERNETWORK_H
