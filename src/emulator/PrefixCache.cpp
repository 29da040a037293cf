#include "emulator/PrefixCache.h"

namespace parsleyring {

std::size_t PrefixCache::insertAll(const std::vector<std::uint64_t> &Prefixes) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::size_t Cached = 0;
  while (Cached < Prefixes.size() && m_Entries.count(Prefixes[Cached]) > 0)
    ++Cached;
  // Longer prefixes are useless without the shorter ones, so the shortest
  // becomes the most recently used.
  for (auto Prefix = Prefixes.rbegin(); Prefix != Prefixes.rend(); ++Prefix) {
    if (auto Found = m_Entries.find(*Prefix); Found != m_Entries.end())
      m_RecencyOrder.erase(Found->second);
    m_RecencyOrder.push_front(*Prefix);
    m_Entries[*Prefix] = m_RecencyOrder.begin();
  }
  while (m_RecencyOrder.size() > m_Capacity) {
    m_Entries.erase(m_RecencyOrder.back());
    m_RecencyOrder.pop_back();
  }
  return Prefixes.size() - Cached;
}

std::vector<std::uint64_t> PrefixCache::contents() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return {m_RecencyOrder.begin(), m_RecencyOrder.end()};
}

} // namespace parsleyring
