#ifndef PARSLEYRING_STORE_VMDIRECTORY_H
#define PARSLEYRING_STORE_VMDIRECTORY_H

#include "store/VMLease.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyring {

/// The VMs that the store lists, including this one. VMs that see the same list
/// agree on the representatives of each failure domain.
class VMDirectory {
public:
  /// SeedAddresses are peer addresses from the settings, known before the list.
  VMDirectory(ListedVM Self, std::vector<std::string> SeedAddresses)
      : m_Self(std::move(Self)), m_SeedAddresses(std::move(SeedAddresses)) {}

  void list(const std::string &Key, const ListedVM &VM) {
    m_VMs[Key] = VM;
    m_Unconfirmed.erase(Key);
  }
  void unlist(const std::string &Key) {
    m_VMs.erase(Key);
    m_Unconfirmed.erase(Key);
  }
  void clear() {
    m_VMs.clear();
    m_Unconfirmed.clear();
  }
  /// The list has been restored from an older copy. VMs that are not listed in
  /// it stay for RestorationGracePeriod, in which they list themselves again.
  void noteRestored(Time Now);
  /// Removes the VMs that did not.
  void expire(Time Now);

  std::size_t size() const { return m_VMs.size(); }
  std::size_t sizeOfOwnDomain() const;
  std::set<std::string> otherDomains() const;
  /// The other VMs of this VM's failure domain.
  std::vector<ListedVM> domainPeers() const;
  /// The VMs that exchange digests with other failure domains and, in a large
  /// failure domain, are its relays for the store. The largest ones.
  std::vector<ListedVM> representatives(const std::string &Domain) const;
  bool isRepresentative() const;
  /// True if the other VMs of the failure domain rely on this VM to ask the
  /// store often, and hear of the answers by digest.
  bool isPrimaryWatcher() const;
  /// Peer address of the VM with this IP address; empty if none is listed.
  std::string peerAddressAt(const std::string &Host) const;
  /// Peer addresses of the VMs through which this one watches the store; empty
  /// if it watches the store itself.
  std::vector<std::string> relayAddresses() const;
  /// Peer addresses of all other VMs, those of this VM's failure domain first,
  /// then the seeds.
  std::vector<std::string> peerAddresses() const;
  /// True if another VM of this VM's failure domain has this IP address.
  bool isDomainPeer(const std::string &Host) const;

  static constexpr Duration RestorationGracePeriod = std::chrono::seconds(5);

private:
  const ListedVM m_Self;
  const std::vector<std::string> m_SeedAddresses;
  std::map<std::string, ListedVM> m_VMs; ///< By key, and so by name.
  /// Keys of m_VMs that were listed before a restoration only.
  std::set<std::string> m_Unconfirmed;
  Time m_RestoredAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_VMDIRECTORY_H
