#ifndef PARSLEYRING_STORE_VMDIRECTORY_H
#define PARSLEYRING_STORE_VMDIRECTORY_H

#include "store/VMLease.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyring {

/// The VMs of the system as the store lists them, this one among them. All VMs
/// that see the same list agree on which of them speak for a failure domain.
class VMDirectory {
public:
  /// SeedAddresses are peer addresses that are known before the list is.
  VMDirectory(ListedVM Self, std::vector<std::string> SeedAddresses)
      : m_Self(std::move(Self)), m_SeedAddresses(std::move(SeedAddresses)) {}

  void list(const std::string &Key, const ListedVM &VM) { m_VMs[Key] = VM; }
  void unlist(const std::string &Key) { m_VMs.erase(Key); }
  void clear() { m_VMs.clear(); }

  std::size_t size() const { return m_VMs.size(); }
  std::size_t sizeOfOwnDomain() const;
  std::set<std::string> otherDomains() const;
  /// The other VMs of the own failure domain.
  std::vector<ListedVM> neighbours() const;
  /// The VMs that exchange digests with other failure domains, and follow the
  /// store for their own one if it is large.
  std::vector<ListedVM> speakers(const std::string &Domain) const;
  bool isSpeaker() const;
  /// True if other VMs follow the store through this one.
  bool isReader() const;
  /// The VMs through which this one follows the store; empty if it does so
  /// itself.
  std::vector<std::string> readerAddresses() const;
  /// All other VMs, those of the own failure domain first, then the seeds.
  std::vector<std::string> peerAddresses() const;
  /// True if a VM of the own failure domain has this IP address.
  bool isNeighbour(const std::string &Host) const;

private:
  const ListedVM m_Self;
  const std::vector<std::string> m_SeedAddresses;
  std::map<std::string, ListedVM> m_VMs; ///< By key, and so by name.
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_VMDIRECTORY_H
