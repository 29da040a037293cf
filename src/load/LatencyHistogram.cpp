#include "load/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

static constexpr unsigned PrecisionBits = 6;
static constexpr std::size_t BucketsPerOctave = 1U << PrecisionBits;

std::size_t LatencyHistogram::bucketIndex(std::uint64_t Value) {
  unsigned Shift = 0;
  while (Value >> Shift >= 2 * BucketsPerOctave)
    ++Shift;
  return Shift * BucketsPerOctave + static_cast<std::size_t>(Value >> Shift);
}

std::uint64_t LatencyHistogram::upperBound(std::size_t Bucket) {
  if (Bucket < 2 * BucketsPerOctave)
    return Bucket;
  std::size_t Shift = Bucket / BucketsPerOctave - 1;
  std::uint64_t First = Bucket - Shift * BucketsPerOctave;
  return ((First + 1) << Shift) - 1;
}

void LatencyHistogram::add(std::uint64_t Value) {
  std::size_t Bucket = bucketIndex(Value);
  if (m_Buckets.size() <= Bucket)
    m_Buckets.resize(Bucket + 1);
  ++m_Buckets[Bucket];
  ++m_Count;
  m_Maximum = std::max(m_Maximum, Value);
}

std::uint64_t LatencyHistogram::percentile(double Quantile) const {
  auto Rank = static_cast<std::uint64_t>(
      std::ceil(Quantile * static_cast<double>(m_Count)));
  std::uint64_t CumulativeCount = 0;
  for (std::size_t Bucket = 0; Bucket < m_Buckets.size(); ++Bucket) {
    CumulativeCount += m_Buckets[Bucket];
    if (CumulativeCount > 0 && CumulativeCount >= Rank)
      return std::min(upperBound(Bucket), m_Maximum);
  }
  return 0;
}

} // namespace parsleyring
