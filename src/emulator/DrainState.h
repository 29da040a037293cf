#ifndef PARSLEYRING_EMULATOR_DRAINSTATE_H
#define PARSLEYRING_EMULATOR_DRAINSTATE_H

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace parsleyring {

/// Milliseconds since the Unix epoch.
std::int64_t wallClockMillis();

/// Drain state of an emulated endpoint: whether it refuses calls, whether its
/// load report says that it is leaving, and when it last started new work.
/// Thread-safe.
class DrainState {
public:
  /// Takes the body of POST /admin/drain: {report: whether the load report says
  /// that the endpoint is leaving (default true), refusals: how many calls are
  /// refused (default all)}. A test can set either one alone to see which one a
  /// router follows: an endpoint that does not refuse starts late calls.
  void drain(const std::string &Body);
  bool isDrainReported() const;
  /// Returns whether the call must be refused, and uses up one refusal.
  bool takeRefusal();
  void recordStart();
  /// Milliseconds since the Unix epoch; 0 if nothing was started.
  std::int64_t lastStartMillis() const { return m_LastStartMillis; }

private:
  mutable std::mutex m_Mutex;
  bool m_IsDrainReported = false;
  std::uint64_t m_RemainingRefusals = 0; ///< Number of further calls to refuse.
  std::atomic<std::int64_t> m_LastStartMillis{0};
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_DRAINSTATE_H
