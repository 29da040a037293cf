#ifndef PARSLEYRING_FLEET_DOMAINLINK_H
#define PARSLEYRING_FLEET_DOMAINLINK_H

#include <string>
#include <tuple>
#include <utility>

namespace parsleyring {

/// The link between two failure domains, which both directions share.
struct DomainLink {
  std::string m_First; ///< Sorted before m_Second.
  std::string m_Second;

  DomainLink() = default;
  DomainLink(std::string Left, std::string Right)
      : m_First(std::move(Left)), m_Second(std::move(Right)) {
    if (m_Second < m_First)
      std::swap(m_First, m_Second);
  }
  bool operator<(const DomainLink &Other) const {
    return std::tie(m_First, m_Second) <
           std::tie(Other.m_First, Other.m_Second);
  }
  bool operator==(const DomainLink &Other) const {
    return m_First == Other.m_First && m_Second == Other.m_Second;
  }
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_DOMAINLINK_H
