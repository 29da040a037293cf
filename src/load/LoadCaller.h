#ifndef PARSLEYRING_LOAD_LOADCALLER_H
#define PARSLEYRING_LOAD_LOADCALLER_H

#include "load/LoadPlan.h"

namespace parsleyring {

/// Result of one call, as the caller saw it.
struct CallResult {
  std::chrono::microseconds m_DueAt{}; ///< When the call was due.
  std::chrono::microseconds m_EndedAt{};
  bool m_IsService = false;
  /// Name of the outcome, preceded by the HTTP status if that is not 200;
  /// "lost" if no router completed the response, "unfinished" if the time limit
  /// of the call or of the run was reached, "not-sent" if the load tool was too
  /// late to send the call.
  std::string m_Outcome;
  std::vector<std::chrono::microseconds> m_TokenTimes;
  std::uint32_t m_Reconnects = 0;
  /// Tokens that differ from the emulator's in text or position.
  std::uint32_t m_WrongTokens = 0;
};

/// Sends calls as a client of the routers. If the connection to a router breaks
/// before the response is complete, a completion is sent to the next router,
/// and the tokens received before are skipped. Thread-safe.
class LoadCaller {
public:
  using Clock = std::chrono::steady_clock;

  LoadCaller(const LoadOptions &Options, Clock::time_point Start)
      : m_Options(Options), m_Start(Start) {}

  CallResult call(const PlannedCall &Planned) const;

private:
  class CompletionReader;

  std::chrono::microseconds elapsed() const;
  Clock::time_point deadline(const PlannedCall &Planned) const;
  /// Returns false if the connection broke.
  bool callCompletion(const PlannedCall &Planned, std::size_t Router,
                      CallResult &Result) const;
  bool callService(const PlannedCall &Planned, std::size_t Router,
                   CallResult &Result) const;

  const LoadOptions &m_Options;
  const Clock::time_point m_Start;
};

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LOADCALLER_H
