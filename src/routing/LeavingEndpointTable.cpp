#include "routing/LeavingEndpointTable.h"

#include <algorithm>

namespace parsleyring {

/// Bounds the memory, and is enough for late notices of former incarnations.
static constexpr std::size_t MaxLeavingIncarnations = 8;

bool LeavingEndpointTable::Entry::isLeaving(
    const std::string &Incarnation) const {
  return std::find(m_LeavingIncarnations.begin(), m_LeavingIncarnations.end(),
                   Incarnation) != m_LeavingIncarnations.end();
}

bool LeavingEndpointTable::setLeaving(const std::string &Endpoint,
                                      const std::string &Incarnation) {
  Entry &Known = m_Entries[Endpoint];
  // Peers repeat their notices, even after the endpoint has restarted.
  if (Known.isLeaving(Incarnation.empty() ? Known.m_CurrentIncarnation
                                          : Incarnation))
    return false;
  // A notice for an incarnation other than the current one can be late, or can
  // precede the first report of a new incarnation. The latter is assumed until
  // the next report: requests sent to a leaving endpoint do more harm than a
  // second without requests.
  if (!Incarnation.empty())
    Known.m_CurrentIncarnation = Incarnation;
  if (Known.m_LeavingIncarnations.size() == MaxLeavingIncarnations)
    Known.m_LeavingIncarnations.erase(Known.m_LeavingIncarnations.begin());
  Known.m_LeavingIncarnations.push_back(Known.m_CurrentIncarnation);
  return true;
}

bool LeavingEndpointTable::noteIncarnation(const std::string &Endpoint,
                                           const std::string &Incarnation) {
  if (Incarnation.empty())
    return false;
  Entry &Known = m_Entries[Endpoint];
  if (Known.m_CurrentIncarnation == Incarnation)
    return false;
  // A notice without incarnation that came before the first report was meant
  // for the process that reports now.
  bool IsFirst = Known.m_CurrentIncarnation.empty();
  if (IsFirst && Known.isLeaving(""))
    Known.m_LeavingIncarnations.assign(1, Incarnation);
  Known.m_CurrentIncarnation = Incarnation;
  return !IsFirst;
}

bool LeavingEndpointTable::isLeaving(const std::string &Endpoint) const {
  auto Found = m_Entries.find(Endpoint);
  return Found != m_Entries.end() &&
         Found->second.isLeaving(Found->second.m_CurrentIncarnation);
}

std::string
LeavingEndpointTable::incarnation(const std::string &Endpoint) const {
  auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? std::string()
                                  : Found->second.m_CurrentIncarnation;
}

} // namespace parsleyring
