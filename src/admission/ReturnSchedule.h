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

  /// The same for callers whose requests are not accepted before RestEnd, which
  /// is later than Now. They return within RestReturnTime after it.
  Duration nextAfterRest(Time RestEnd, Time Now);

  /// Callers are not sent away for longer, since limits may end earlier.
  static constexpr Duration MaxDelay = std::chrono::seconds(5);
  /// A rest ends at a known time, so callers are told it whatever its length.
  static constexpr Duration RestReturnTime = std::chrono::seconds(1);
  static constexpr Duration RestReturnInterval = std::chrono::milliseconds(20);

private:
  Time m_LastReturn{};
  Time m_LastReturnAfterRest{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_RETURNSCHEDULE_H
