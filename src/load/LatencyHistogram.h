#ifndef PARSLEYRING_LOAD_LATENCYHISTOGRAM_H
#define PARSLEYRING_LOAD_LATENCYHISTOGRAM_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace parsleyring {

/// Histogram with buckets that widen with the values, so that the relative
/// error of each value is at most 1/64.
class LatencyHistogram {
public:
  void add(std::uint64_t Value);

  std::uint64_t count() const { return m_Count; }
  std::uint64_t maximum() const { return m_Maximum; }
  /// Upper bound of the bucket that holds the Quantile (0 to 1), at most
  /// maximum(); 0 without values.
  std::uint64_t percentile(double Quantile) const;

private:
  static std::size_t bucketIndex(std::uint64_t Value);
  static std::uint64_t upperBound(std::size_t Bucket);

  std::vector<std::uint64_t> m_Buckets;
  std::uint64_t m_Count = 0;
  std::uint64_t m_Maximum = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LATENCYHISTOGRAM_H
