#ifndef PARSLEYRING_MEMBERSHIP_VMLIST_H
#define PARSLEYRING_MEMBERSHIP_VMLIST_H

#include "membership/Digest.h"

#include "parsleyring/PlatformClient.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace parsleyring {

/// The parts of the platform's VM list that a router uses.
struct VMList {
  std::vector<PeerInfo> m_Routers;    ///< VMs with the role "entry".
  std::vector<std::string> m_Leaving; ///< Names of leaving endpoints.

  /// Throws std::runtime_error if Text is malformed.
  static VMList fromText(const std::string &Text);
};

/// Follows the VM list with long polls. The list is updated late and the
/// platform has outages, so a missing update has no meaning.
class VMListWatcher {
public:
  VMListWatcher(PlatformClient &Platform,
                std::function<void(const VMList &)> OnChange);
  ~VMListWatcher();

  void start();
  void stop();

private:
  void run();

  PlatformClient &m_Platform;
  std::function<void(const VMList &)> m_OnChange;
  std::atomic<bool> m_IsStopping{false};
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_MEMBERSHIP_VMLIST_H
