#include "routing/PrefixHints.h"

#include <algorithm>

namespace parsleyring {

/// Each further hash covers 256 bytes of the prompt, at 4 bytes per token.
static constexpr double TokensPerHash = 64;
/// Bounds the memory: 600 endpoints x 1024 hashes x 8 bytes = 5 MB.
static constexpr std::size_t MaxHashes = 1024;
/// Age at which a hint has no weight left: the endpoint's limited cache may
/// have dropped a prefix of this age.
static constexpr Duration HintLifetime = std::chrono::seconds(60);

void PrefixHints::noteCachedPrefixes(Time Now,
                                     const std::vector<std::uint64_t> &Hashes) {
  if (Hashes.empty())
    return;
  std::size_t Count = std::min(Hashes.size(), MaxHashes);
  m_Hashes.assign(Hashes.end() - static_cast<std::ptrdiff_t>(Count),
                  Hashes.end());
  std::sort(m_Hashes.begin(), m_Hashes.end());
  m_ReportedAt = Now;
}

double PrefixHints::cachedTokens(
    Time Now, const std::vector<std::uint64_t> &PrefixHashes) const {
  if (m_Hashes.empty() || PrefixHashes.empty() ||
      Now - m_ReportedAt >= HintLifetime)
    return 0;
  double Weight = 1 - std::chrono::duration<double>(Now - m_ReportedAt) /
                          std::chrono::duration<double>(HintLifetime);
  for (std::size_t Count = PrefixHashes.size(); Count > 0; --Count)
    if (std::binary_search(m_Hashes.begin(), m_Hashes.end(),
                           PrefixHashes[Count - 1]))
      return Weight * TokensPerHash * static_cast<double>(Count);
  return 0;
}

} // namespace parsleyring
