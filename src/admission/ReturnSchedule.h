#ifndef PARSLEYRING_ADMISSION_RETURNSCHEDULE_H
#define PARSLEYRING_ADMISSION_RETURNSCHEDULE_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Tells refused callers when to come back: one after the other, as fast as
/// their requests will be accepted, and not all at the same time.
class ReturnSchedule {
public:
  /// Returns the time until the caller should come back. FirstDelay is the time
  /// until the first request can be accepted again, RequestsPerSecond the rate
  /// from then on.
  Duration next(Duration FirstDelay, double RequestsPerSecond, Time Now);

  /// Callers are not sent away for longer, since limits may end earlier.
  static constexpr Duration MaxDelay = std::chrono::seconds(5);

private:
  Time m_LastReturn{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_RETURNSCHEDULE_H
