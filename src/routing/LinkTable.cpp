#include "routing/LinkTable.h"

namespace parsleyring {

// One-way delays of links that the document does not list.
static constexpr double SameDomainMicros = 50;
static constexpr double OtherDomainMicros = 500;

std::size_t LinkTable::domainNumber(const std::string &Name) {
  return m_DomainNumbers.emplace(Name, m_DomainNumbers.size()).first->second;
}

void LinkTable::apply(const std::vector<Link> &Links) {
  for (const Link &Listed : Links) {
    domainNumber(Listed.m_From);
    domainNumber(Listed.m_To);
  }
  std::size_t Count = domainCount();
  m_DelayMicros.assign(Count * Count, OtherDomainMicros);
  for (std::size_t Index = 0; Index < Count; ++Index)
    m_DelayMicros[Index * Count + Index] = SameDomainMicros;
  // The reverse direction first, so that a link listed in one direction applies
  // to both, and a listed direction takes precedence.
  for (const Link &Listed : Links)
    m_DelayMicros[domainNumber(Listed.m_To) * Count +
                  domainNumber(Listed.m_From)] = Listed.m_OneWayMicros;
  for (const Link &Listed : Links)
    m_DelayMicros[domainNumber(Listed.m_From) * Count +
                  domainNumber(Listed.m_To)] = Listed.m_OneWayMicros;
}

} // namespace parsleyring
