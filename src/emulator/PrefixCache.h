#ifndef PARSLEYRING_EMULATOR_PREFIXCACHE_H
#define PARSLEYRING_EMULATOR_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace parsleyring {

/// LRU cache of the hashes of prompt prefixes that an engine has computed and
/// need not compute again. Thread-safe.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Caches all prefixes, which are given shortest first. Returns how many
  /// there are from the first one that was not cached.
  std::size_t insertAll(const std::vector<std::uint64_t> &Prefixes);
  /// Most recently used first.
  std::vector<std::uint64_t> contents() const;

private:
  std::size_t m_Capacity;
  mutable std::mutex m_Mutex;
  std::list<std::uint64_t> m_RecencyOrder; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Entries;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_PREFIXCACHE_H
