#ifndef PARSLEYRING_FLEET_RATEESTIMATE_H
#define PARSLEYRING_FLEET_RATEESTIMATE_H

#include "parsleyring/Types.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

/// Events per second, over about the last two seconds.
class RateEstimate {
public:
  /// An event counts as Amount events.
  void note(Time Now, double Amount = 1) {
    m_Rate = rate(Now) + Amount * RatePerEvent;
    m_UpdatedAt = Now;
    m_Events += Amount;
  }
  double rate(Time Now) const {
    double Seconds = std::chrono::duration<double>(Now - m_UpdatedAt).count();
    return m_Rate * std::exp(-std::max(0.0, Seconds) / TimeConstantSeconds);
  }

  /// The integral of the rate: the number of events, of which the latest ones
  /// count in part.
  double smoothedCount(Time Now) const {
    return m_Events - rate(Now) * TimeConstantSeconds;
  }

  static constexpr double TimeConstantSeconds = 2;
  /// By how much an event raises the rate.
  static constexpr double RatePerEvent = 1 / TimeConstantSeconds;

private:
  double m_Events = 0;
  double m_Rate = 0; ///< At m_UpdatedAt.
  Time m_UpdatedAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_RATEESTIMATE_H
