#ifndef PARSLEYRING_ROUTING_RANDOMSOURCE_H
#define PARSLEYRING_ROUTING_RANDOMSOURCE_H

#include <cstddef>
#include <cstdint>

namespace parsleyring {

/// Seeded pseudo-random generator (SplitMix64). The distributions of the
/// standard library differ between implementations, which would break replays.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : m_State(Seed) {}

  std::uint64_t next() {
    std::uint64_t Value = m_State += 0x9e3779b97f4a7c15U;
    Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
    Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
    return Value ^ (Value >> 31);
  }

  /// Uniform in [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1p-53; }

  /// Uniform in [0, Count); Count must not be 0.
  std::size_t below(std::size_t Count) { return next() % Count; }

private:
  std::uint64_t m_State;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_RANDOMSOURCE_H
