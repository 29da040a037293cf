#ifndef PARSLEYRING_GATEWAY_RESOURCELIMITS_H
#define PARSLEYRING_GATEWAY_RESOURCELIMITS_H

#include "gateway/GatewaySettings.h"

#include <cstddef>

namespace parsleyring {

/// The limits of sockets and memory of one gateway process, computed from its
/// settings.
class ResourceLimits {
public:
  explicit ResourceLimits(const GatewaySettings &Settings);

  std::size_t callerConnections() const { return m_CallerConnections; }
  /// Of each listener for internal requests, and for the gateway's own calls.
  std::size_t internalConnections() const { return m_InternalConnections; }
  /// What callers, and the calls and internal requests of VMs, leave.
  std::size_t endpointConnections() const { return m_EndpointConnections; }
  std::size_t requestMemory() const { return m_RequestMemory; }

private:
  std::size_t m_CallerConnections;
  std::size_t m_InternalConnections;
  std::size_t m_EndpointConnections;
  std::size_t m_RequestMemory;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_RESOURCELIMITS_H
