#ifndef PARSLEYRING_ADMISSION_RECENTSET_H
#define PARSLEYRING_ADMISSION_RECENTSET_H

#include "parsleyring/Types.h"

#include <string>
#include <unordered_set>
#include <utility>

namespace parsleyring {

/// The strings that were added lately, in bounded memory: the last MaxSize of
/// them at least, unless they are older than the minimum age.
class RecentSet {
public:
  RecentSet(std::size_t MaxSize, Duration MinAge)
      : m_MaxSize(MaxSize), m_MinAge(MinAge) {}

  void add(const std::string &Text, Time Now) {
    if (m_Newer.size() >= m_MaxSize || Now - m_NewerSince > m_MinAge) {
      m_Older = std::move(m_Newer);
      m_Newer.clear();
      m_NewerSince = Now;
    }
    m_Newer.insert(Text);
  }
  bool contains(const std::string &Text) const {
    return m_Newer.count(Text) > 0 || m_Older.count(Text) > 0;
  }

private:
  std::size_t m_MaxSize;
  Duration m_MinAge;
  std::unordered_set<std::string> m_Newer;
  std::unordered_set<std::string> m_Older;
  Time m_NewerSince{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_RECENTSET_H
