#ifndef PARSLEYRING_EMULATOR_PREFIXCACHE_H
#define PARSLEYRING_EMULATOR_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace parsleyring {

/// Prompt prefixes whose computation an engine need not repeat. The least
/// recently used one is dropped first. Safe to use from many threads.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Returns how many of the prefixes, shortest first, are not cached, and
  /// caches them all.
  std::size_t use(const std::vector<std::uint64_t> &Prefixes);
  std::vector<std::uint64_t> contents() const;

private:
  std::size_t m_Capacity;
  mutable std::mutex m_Mutex;
  std::list<std::uint64_t> m_Order; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Entries;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_PREFIXCACHE_H
