#ifndef PARSLEYRING_ROUTING_LINKTABLE_H
#define PARSLEYRING_ROUTING_LINKTABLE_H

#include "parsleyring/Document.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyring {

/// One-way delays between failure domains, which have numbers from 0.
class LinkTable {
public:
  /// Number of the failure domain. An unknown domain gets a new number.
  std::size_t domainNumber(const std::string &Name);
  /// Replaces all delays by those of Links. Domains keep their numbers.
  void apply(const std::vector<Link> &Links);

  std::size_t domainCount() const { return m_DomainNumbers.size(); }
  double oneWayMicros(std::size_t From, std::size_t To) const {
    return m_DelayMicros[From * m_DomainNumbers.size() + To];
  }
  Duration oneWay(std::size_t From, std::size_t To) const {
    return Duration(static_cast<std::int64_t>(oneWayMicros(From, To)));
  }

private:
  std::map<std::string, std::size_t> m_DomainNumbers;
  std::vector<double> m_DelayMicros; ///< Square matrix; rows by From.
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_LINKTABLE_H
