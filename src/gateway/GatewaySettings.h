#ifndef PARSLEYRING_GATEWAY_GATEWAYSETTINGS_H
#define PARSLEYRING_GATEWAY_GATEWAYSETTINGS_H

#include "parsleyring/Types.h"
#include "retries/RetryShare.h"

#include <string>

namespace parsleyring {

/// What a gateway process knows of itself at its start.
struct GatewaySettings {
  std::string m_VM;
  std::string m_FailureDomain;
  std::string m_CallerAddress;  ///< IP:port for callers.
  std::string m_ReadyAddress;   ///< IP:port for the load balancer.
  std::string m_PeerAddress;    ///< IP:port for other VMs.
  std::string m_DigestAddress;  ///< IP:port (UDP); the same port on all VMs.
  std::string m_MetricsAddress; ///< IP:port; empty for none.
  std::string m_StoreAddress;   ///< IP:port
  std::vector<std::string> m_SeedAddresses; ///< Peer addresses of some VMs.
  /// After SIGTERM; the platform kills the process then.
  Duration m_ShutdownLimit = std::chrono::seconds(8);
  /// A change in the store must be in force so long after it.
  Duration m_ApplyLimit = std::chrono::seconds(2);
  RetryBound m_RetryBound; ///< For each service.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_GATEWAYSETTINGS_H
