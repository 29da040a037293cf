#ifndef PARSLEYRING_GATEWAY_GATEWAYSETTINGS_H
#define PARSLEYRING_GATEWAY_GATEWAYSETTINGS_H

#include "parsleyring/Types.h"
#include "retries/RetryShare.h"

#include <string>

namespace parsleyring {

/// The settings of one gateway process, read at start.
struct GatewaySettings {
  std::string m_VM;
  std::string m_FailureDomain;
  std::string m_CallerAddress;  ///< IP:port on which callers connect.
  std::string m_ReadyAddress;   ///< IP:port of the load balancer's check.
  std::string m_PeerAddress;    ///< IP:port on which other VMs connect.
  std::string m_DigestAddress;  ///< IP:port (UDP); same port on all VMs.
  std::string m_MetricsAddress; ///< IP:port; empty to serve no metrics.
  std::string m_StoreAddress;   ///< IP:port
  std::vector<std::string> m_SeedAddresses; ///< Peer addresses (IP:port).
  /// From SIGTERM until the platform kills the process.
  Duration m_ShutdownTimeout = std::chrono::seconds(8);
  /// Longest time from a change in the store until it is in force here.
  Duration m_MaxApplyDelay = std::chrono::seconds(2);
  double m_Cores = 0;      ///< Processor capacity of the VM; 0 if unknown.
  RetryBound m_RetryBound; ///< Applies to each service.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_GATEWAYSETTINGS_H
