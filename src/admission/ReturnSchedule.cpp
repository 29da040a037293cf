#include "admission/ReturnSchedule.h"

#include <algorithm>

namespace parsleyring {

Duration ReturnSchedule::next(Duration FirstDelay, double RequestsPerSecond,
                              Time Now) {
  double Seconds = std::chrono::duration<double>(MaxDelay).count();
  if (RequestsPerSecond > 0)
    Seconds = std::min(Seconds, 1 / RequestsPerSecond);
  Duration Interval(static_cast<std::int64_t>(Seconds * 1e6));
  Time Return =
      std::max(Now + std::min(FirstDelay, MaxDelay), m_LastReturn + Interval);
  m_LastReturn = std::min(Return, Now + MaxDelay);
  return m_LastReturn - Now;
}

Duration ReturnSchedule::nextAfterRest(Time RestEnd, Time Now) {
  Time Return = std::max(RestEnd, m_LastReturnAfterRest + RestReturnInterval);
  // More callers share the same times. An earlier end has its own times.
  if (Return >= RestEnd + RestReturnTime)
    Return = RestEnd;
  m_LastReturnAfterRest = Return;
  return Return - Now;
}

} // namespace parsleyring
