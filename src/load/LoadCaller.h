#ifndef PARSLEYRING_LOAD_LOADCALLER_H
#define PARSLEYRING_LOAD_LOADCALLER_H

#include "load/LoadPlan.h"

namespace parsleyring {

/// What the caller saw of one call.
struct CallRecord {
  std::chrono::microseconds m_At{}; ///< When it was due.
  std::chrono::microseconds m_EndedAt{};
  bool m_IsService = false;
  /// Name of the outcome, with the status before it if that is not 200;
  /// "lost" if no router gave an end, "unfinished" if the time of the call or
  /// of the run was over, "not-sent" if the load tool was late.
  std::string m_Outcome;
  std::vector<std::chrono::microseconds> m_TokenTimes;
  std::uint32_t m_Reconnects = 0;
  std::uint32_t m_WrongTokens = 0; ///< Not the emulator's text or position.
};

/// Sends calls as a client of the routers. If the connection to a router ends
/// before the answer does, a completion is sent to the next router, and the
/// tokens seen before are passed over. Safe to use from many threads.
class LoadCaller {
public:
  using Clock = std::chrono::steady_clock;

  LoadCaller(const LoadOptions &Options, Clock::time_point Start)
      : m_Options(Options), m_Start(Start) {}

  CallRecord call(const PlannedCall &Planned) const;

private:
  class Stream;

  std::chrono::microseconds elapsed() const;
  Clock::time_point deadline(const PlannedCall &Planned) const;
  /// Returns false if the connection broke.
  bool callCompletion(const PlannedCall &Planned, std::size_t Router,
                      CallRecord &Record) const;
  bool callService(const PlannedCall &Planned, std::size_t Router,
                   CallRecord &Record) const;

  const LoadOptions &m_Options;
  const Clock::time_point m_Start;
};

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LOADCALLER_H
