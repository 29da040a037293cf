#ifndef PARSLEYRING_EMULATOR_WORKGATE_H
#define PARSLEYRING_EMULATOR_WORKGATE_H

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace parsleyring {

/// Milliseconds since 1970.
std::int64_t wallClockMillis();

/// Whether an emulated endpoint is leaving, in which way it says so, and when
/// it last began new work. Safe to use from many threads.
class WorkGate {
public:
  /// Body of POST /admin/drain: {report: whether the load report says that the
  /// endpoint is leaving (true), refusals: how many calls are refused (all)}.
  /// The signs can be given apart, so that a test sees which one a router
  /// follows: an endpoint that does not refuse shows late calls as late starts.
  void drain(const std::string &Body);
  bool isDrainReported() const;
  /// Whether the next call is to be refused; counts it.
  bool takeRefusal();
  void noteStart();
  /// 0 if nothing was started.
  std::int64_t lastStartMillis() const { return m_LastStartMillis; }

private:
  mutable std::mutex m_Mutex;
  bool m_IsReported = false;
  std::uint64_t m_Refusals = 0; ///< Calls that are still to be refused.
  std::atomic<std::int64_t> m_LastStartMillis{0};
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_WORKGATE_H
