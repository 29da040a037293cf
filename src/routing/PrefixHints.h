#ifndef PARSLEYRING_ROUTING_PREFIXHINTS_H
#define PARSLEYRING_ROUTING_PREFIXHINTS_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Prompt prefixes that an endpoint has reported as cached. The hints are late
/// and incomplete, so their weight falls with their age.
class PrefixHints {
public:
  /// Replaces the hints. An empty list is ignored: digests between VMs may
  /// leave the prefixes out.
  void noteCachedPrefixes(Time Now, const std::vector<std::uint64_t> &Hashes);
  void reset() { m_Hashes.clear(); }

  /// Expected number of prompt tokens that need no prefill. PrefixHashes are
  /// the hashes of the prompt's prefixes, shortest first.
  double cachedTokens(Time Now,
                      const std::vector<std::uint64_t> &PrefixHashes) const;

private:
  std::vector<std::uint64_t> m_Hashes; ///< Sorted.
  Time m_ReportedAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_PREFIXHINTS_H
