#include "routing/SlowdownEstimate.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

/// Weight of one token in the average. With 35 ms between tokens, one stream
/// moves the average half of the way in half a second.
static constexpr double SampleWeight = 0.05;
/// Limits the effect of a single pause.
static constexpr double MaxRatio = 16;
/// Half-life of the deviation from 1 without samples.
static constexpr Duration HalfLife = std::chrono::seconds(10);

void SlowdownEstimate::addSample(Time Now, double Ratio) {
  double Excess = std::clamp(Ratio, 0.0, MaxRatio) - 1;
  // The decay between consecutive tokens is negligible and therefore left out.
  if (Now - m_SampledAt > HalfLife)
    m_Excess = ratio(Now) - 1;
  m_Excess += SampleWeight * (Excess - m_Excess);
  m_SampledAt = Now;
}

double SlowdownEstimate::ratio(Time Now) const {
  if (m_Excess == 0)
    return 1;
  double HalfLives = std::chrono::duration<double>(Now - m_SampledAt) /
                     std::chrono::duration<double>(HalfLife);
  return 1 + m_Excess * std::exp2(-std::max(HalfLives, 0.0));
}

} // namespace parsleyring
