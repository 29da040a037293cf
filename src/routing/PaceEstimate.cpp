#include "routing/PaceEstimate.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

/// Weight of one token. At 35 ms between tokens, a stream moves the average
/// halfway in half a second.
static constexpr double SampleWeight = 0.05;
/// Bounds the effect of a single pause.
static constexpr double GreatestRatio = 16;
static constexpr Duration HalfLife = std::chrono::seconds(10);

void PaceEstimate::note(Time Now, double Ratio) {
  double Excess = std::clamp(Ratio, 0.0, GreatestRatio) - 1;
  // Without the decay between tokens, which is negligible while tokens come.
  if (Now - m_At > HalfLife)
    m_Excess = ratio(Now) - 1;
  m_Excess += SampleWeight * (Excess - m_Excess);
  m_At = Now;
}

double PaceEstimate::ratio(Time Now) const {
  if (m_Excess == 0)
    return 1;
  double HalfLives = std::chrono::duration<double>(Now - m_At) /
                     std::chrono::duration<double>(HalfLife);
  return 1 + m_Excess * std::exp2(-std::max(HalfLives, 0.0));
}

} // namespace parsleyring
