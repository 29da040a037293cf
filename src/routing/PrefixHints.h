#ifndef PARSLEYRING_ROUTING_PREFIXHINTS_H
#define PARSLEYRING_ROUTING_PREFIXHINTS_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Prompt prefixes that an endpoint said it has cached. The hints are late and
/// incomplete, so their weight falls with their age.
class PrefixHints {
public:
  /// Replaces the hints. An empty list says nothing and keeps them: digests
  /// between the VMs may leave the prefixes out.
  void note(Time Now, const std::vector<std::uint64_t> &Hashes);
  void forget() { m_Hashes.clear(); }

  /// Number of prompt tokens that probably need no prefill, for a prompt with
  /// these prefix hashes, shortest first.
  double cachedTokens(Time Now,
                      const std::vector<std::uint64_t> &PrefixHashes) const;

private:
  std::vector<std::uint64_t> m_Hashes; ///< Sorted.
  Time m_At{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_PREFIXHINTS_H
