#ifndef PARSLEYRING_REQUESTS_COUNTERS_H
#define PARSLEYRING_REQUESTS_COUNTERS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace parsleyring {

enum class Counter {
  RequestsReceived,
  RequestsRejected,
  RequestsCompleted,
  RequestsFailed,
  RequestsNotRun,
  RequestsUnknown,
  AttemptsStarted,
  AttemptsFailed,
  AttemptsStalled,
  Retries,
  Resumes,
  TokensDelivered,
  TokensDroppedStaleEpoch,
  TokensRejectedHops,
  TokensRejectedPosition,
  Quarantines,
  EndpointsLeaving,
  ConfigurationsApplied,
  ConfigurationsIgnored,
  ClaimsRequested,
  ClaimsReleasedLate,
  EventsIgnored,
  Count,
};

/// Event totals since the start of the Router, indexed by Counter.
class Counters {
public:
  void add(Counter Which) { ++m_Totals[static_cast<std::size_t>(Which)]; }
  std::uint64_t total(Counter Which) const {
    return m_Totals[static_cast<std::size_t>(Which)];
  }
  std::map<std::string, std::uint64_t> totals() const;

private:
  std::array<std::uint64_t, static_cast<std::size_t>(Counter::Count)>
      m_Totals{};
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_COUNTERS_H
