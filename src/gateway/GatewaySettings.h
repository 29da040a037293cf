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
  double m_Cores = 0; ///< Processor capacity of the VM; 0 if unknown.
  std::size_t m_MemoryBytes = 0;    ///< Of the VM; 0 if unknown.
  std::size_t m_MaxDescriptors = 0; ///< Of the process; 0 if unknown.
  /// Part of m_MemoryBytes that the MemoryBudget may give out.
  double m_RequestMemoryShare = 0.5;
  /// Within which a request must be received whole.
  Duration m_ReceiveTimeout = std::chrono::seconds(60);
  /// After which a caller that takes no output is disconnected.
  Duration m_SendStallTimeout = std::chrono::seconds(30);
  std::size_t m_MaxCallerConnections = 0; ///< 0: from m_MaxDescriptors.
  RetryBound m_RetryBound;                ///< Applies to each service.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_GATEWAYSETTINGS_H
