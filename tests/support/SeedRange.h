#ifndef PARSLEYRING_TESTS_SUPPORT_SEEDRANGE_H
#define PARSLEYRING_TESTS_SUPPORT_SEEDRANGE_H

#include <vector>

namespace parsleyring {

/// The seeds of a randomized test: 1 to Count, or those that the environment
/// sets by PARSLEYRING_FIRST_SEED and PARSLEYRING_SEEDS (their number).
class SeedRange {
public:
  explicit SeedRange(unsigned Count);

  auto begin() const { return m_Seeds.begin(); }
  auto end() const { return m_Seeds.end(); }

private:
  std::vector<unsigned> m_Seeds;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_SEEDRANGE_H
