#ifndef PARSLEYRING_CONSOLE_CONSOLECOUNTERS_H
#define PARSLEYRING_CONSOLE_CONSOLECOUNTERS_H

#include "configuration/ConfigurationPublisher.h"

#include <array>
#include <atomic>

namespace parsleyring {

/// Counters since the console started, and the version it last read.
struct ConsoleCounters {
  static constexpr std::size_t Statuses = 5;

  std::atomic<std::uint64_t> m_Requests{0};
  std::atomic<std::uint64_t> m_RefusedRequests{0}; ///< Malformed or forged.
  std::atomic<std::uint64_t> m_SignIns{0};
  std::atomic<std::uint64_t> m_FailedSignIns{0};
  std::atomic<std::uint64_t> m_PlatformErrors{0};
  /// By PublicationStatus.
  std::array<std::atomic<std::uint64_t>, Statuses> m_Publications{};
  /// Configuration version last read from the platform.
  std::atomic<ConfigurationVersion> m_Version{0};

  /// Body of /metrics in the Prometheus text format.
  std::string metricsText() const;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLECOUNTERS_H
