#include "routing/LeavingTable.h"

#include <algorithm>

namespace parsleyring {

/// Bounds the memory, and is enough for late notices of former incarnations.
static constexpr std::size_t KeptIncarnations = 8;

bool LeavingTable::Entry::isLeaving(const std::string &Incarnation) const {
  return std::find(m_Leaving.begin(), m_Leaving.end(), Incarnation) !=
         m_Leaving.end();
}

bool LeavingTable::mark(const std::string &Endpoint,
                        const std::string &Incarnation) {
  Entry &Known = m_Entries[Endpoint];
  // Peers repeat their notices, even after the endpoint has restarted.
  if (Known.isLeaving(Incarnation.empty() ? Known.m_Current : Incarnation))
    return false;
  // A notice for an incarnation other than the current one can be late, or can
  // precede the first report of a new incarnation. The latter is assumed until
  // the next report: requests sent to a leaving endpoint do more harm than a
  // second without requests.
  if (!Incarnation.empty())
    Known.m_Current = Incarnation;
  if (Known.m_Leaving.size() == KeptIncarnations)
    Known.m_Leaving.erase(Known.m_Leaving.begin());
  Known.m_Leaving.push_back(Known.m_Current);
  return true;
}

bool LeavingTable::noteIncarnation(const std::string &Endpoint,
                                   const std::string &Incarnation) {
  if (Incarnation.empty())
    return false;
  Entry &Known = m_Entries[Endpoint];
  if (Known.m_Current == Incarnation)
    return false;
  // A notice without incarnation that came before the first report was meant
  // for the process that reports now.
  bool IsFirst = Known.m_Current.empty();
  if (IsFirst && Known.isLeaving(""))
    Known.m_Leaving.assign(1, Incarnation);
  Known.m_Current = Incarnation;
  return !IsFirst;
}

bool LeavingTable::isLeaving(const std::string &Endpoint) const {
  auto Found = m_Entries.find(Endpoint);
  return Found != m_Entries.end() &&
         Found->second.isLeaving(Found->second.m_Current);
}

std::string LeavingTable::incarnation(const std::string &Endpoint) const {
  auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? std::string() : Found->second.m_Current;
}

} // namespace parsleyring
