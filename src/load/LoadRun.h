#ifndef PARSLEYRING_LOAD_LOADRUN_H
#define PARSLEYRING_LOAD_LOADRUN_H

#include "load/LoadReport.h"

#include <atomic>
#include <mutex>

namespace parsleyring {

/// Sends the planned calls when they are due, from a fixed number of threads.
class LoadRun {
public:
  explicit LoadRun(const LoadOptions &Options);
  /// Returns the report as one line of JSON after all calls have ended, which
  /// takes at most the time of the arrivals plus the time limit of a call.
  std::string run();

private:
  void sendCalls(const LoadCaller &Caller, LoadCaller::Clock::time_point Start);

  const LoadOptions m_Options;
  const std::vector<PlannedCall> m_Calls;
  std::atomic<std::size_t> m_NextCall{0};
  std::mutex m_Mutex; ///< Guards m_Report.
  LoadReport m_Report;
};

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LOADRUN_H
