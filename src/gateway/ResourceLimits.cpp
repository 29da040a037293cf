#include "gateway/ResourceLimits.h"

#include <sys/resource.h>

#include <algorithm>

namespace parsleyring {

// The memory of a VM whose settings do not name it.
static constexpr std::size_t DefaultMemoryBytes = 256 << 20;
// Descriptors that the platform keeps for files.
static constexpr std::size_t FileDescriptors = 200;
static constexpr std::size_t MinConnections = 16;
// Of a process without a limit.
static constexpr std::size_t MaxDescriptors = 65536;
// The part of the sockets that callers may hold, and that each of the other
// listeners may hold.
static constexpr std::size_t CallerSocketPart = 2;
static constexpr std::size_t InternalSocketPart = 8;

static std::size_t socketLimit(const GatewaySettings &Settings) {
  std::size_t Descriptors = Settings.m_MaxDescriptors;
  if (Descriptors == 0) {
    rlimit Limit{};
    getrlimit(RLIMIT_NOFILE, &Limit);
    Descriptors = std::min<std::size_t>(Limit.rlim_cur, MaxDescriptors);
  }
  return Descriptors > FileDescriptors ? Descriptors - FileDescriptors
                                       : MinConnections;
}

static std::size_t callerConnectionLimit(const GatewaySettings &Settings,
                                         std::size_t Sockets) {
  if (Settings.m_MaxCallerConnections > 0)
    return Settings.m_MaxCallerConnections;
  return std::max(MinConnections, Sockets / CallerSocketPart);
}

static std::size_t endpointConnectionLimit(std::size_t Sockets,
                                           std::size_t CallerConnections) {
  std::size_t Others = CallerConnections + Sockets / InternalSocketPart;
  return std::max(MinConnections, Sockets - std::min(Sockets, Others));
}

static std::size_t memoryLimit(const GatewaySettings &Settings) {
  std::size_t Memory =
      Settings.m_MemoryBytes > 0 ? Settings.m_MemoryBytes : DefaultMemoryBytes;
  return static_cast<std::size_t>(static_cast<double>(Memory) *
                                  Settings.m_RequestMemoryShare);
}

ResourceLimits::ResourceLimits(const GatewaySettings &Settings)
    : m_RequestMemory(memoryLimit(Settings)) {
  std::size_t Sockets = socketLimit(Settings);
  m_CallerConnections = callerConnectionLimit(Settings, Sockets);
  m_InternalConnections =
      std::max(MinConnections, Sockets / InternalSocketPart);
  m_EndpointConnections = endpointConnectionLimit(Sockets, m_CallerConnections);
}

} // namespace parsleyring
