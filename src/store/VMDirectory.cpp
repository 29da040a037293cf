#include "store/VMDirectory.h"

#include <algorithm>

namespace parsleyring {

// Two VMs, so that one remains if the other has failed but is still listed.
static constexpr std::size_t RepresentativesPerDomain = 2;
// In a failure domain of up to this many VMs, each one watches the store
// itself.
static constexpr std::size_t MaxDirectWatchers = 4;

void VMDirectory::noteRestored(Time Now) {
  m_RestoredAt = Now;
  for (const auto &[Key, VM] : m_VMs)
    m_Unconfirmed.insert(Key);
}

void VMDirectory::expire(Time Now) {
  if (Now - m_RestoredAt < RestorationGracePeriod)
    return;
  for (const std::string &Key : m_Unconfirmed)
    m_VMs.erase(Key);
  m_Unconfirmed.clear();
}

std::size_t VMDirectory::sizeOfOwnDomain() const {
  return std::count_if(m_VMs.begin(), m_VMs.end(), [this](const auto &Listed) {
    return Listed.second.m_FailureDomain == m_Self.m_FailureDomain;
  });
}

std::set<std::string> VMDirectory::otherDomains() const {
  std::set<std::string> Domains;
  for (const auto &[Key, VM] : m_VMs)
    Domains.insert(VM.m_FailureDomain);
  Domains.erase(m_Self.m_FailureDomain);
  return Domains;
}

std::vector<ListedVM> VMDirectory::domainPeers() const {
  std::vector<ListedVM> Result;
  for (const auto &[Key, VM] : m_VMs)
    if (VM.m_FailureDomain == m_Self.m_FailureDomain &&
        VM.m_Name != m_Self.m_Name)
      Result.push_back(VM);
  return Result;
}

std::vector<ListedVM>
VMDirectory::representatives(const std::string &Domain) const {
  std::vector<ListedVM> Members;
  for (const auto &[Key, VM] : m_VMs)
    if (VM.m_FailureDomain == Domain)
      Members.push_back(VM);
  // The work for the other VMs of the domain would take up a large part of a
  // small VM and of its link.
  std::stable_sort(Members.begin(), Members.end(),
                   [](const ListedVM &Left, const ListedVM &Right) {
                     return Left.m_Cores > Right.m_Cores;
                   });
  if (Members.size() > RepresentativesPerDomain)
    Members.resize(RepresentativesPerDomain);
  return Members;
}

bool VMDirectory::isRepresentative() const {
  for (const ListedVM &VM : representatives(m_Self.m_FailureDomain))
    if (VM.m_Name == m_Self.m_Name)
      return true;
  return false;
}

// A VM that knows of no other one relies on itself.
bool VMDirectory::isPrimaryWatcher() const {
  std::vector<ListedVM> Candidates = representatives(m_Self.m_FailureDomain);
  return Candidates.empty() || Candidates.front().m_Name == m_Self.m_Name;
}

static bool hasHost(const ListedVM &VM, const std::string &Host) {
  return VM.m_PeerAddress.compare(0, Host.size() + 1, Host + ":") == 0;
}

std::string VMDirectory::peerAddressAt(const std::string &Host) const {
  for (const auto &[Key, VM] : m_VMs)
    if (hasHost(VM, Host))
      return VM.m_PeerAddress;
  return "";
}

std::vector<std::string> VMDirectory::relayAddresses() const {
  std::vector<std::string> Relays;
  if (sizeOfOwnDomain() <= MaxDirectWatchers || isRepresentative())
    return Relays;
  for (const ListedVM &VM : representatives(m_Self.m_FailureDomain))
    Relays.push_back(VM.m_PeerAddress);
  return Relays;
}

std::vector<std::string> VMDirectory::peerAddresses() const {
  std::vector<std::string> Addresses;
  std::vector<std::string> OtherDomainAddresses;
  for (const auto &[Key, VM] : m_VMs) {
    if (VM.m_Name == m_Self.m_Name)
      continue;
    bool IsInOwnDomain = VM.m_FailureDomain == m_Self.m_FailureDomain;
    (IsInOwnDomain ? Addresses : OtherDomainAddresses)
        .push_back(VM.m_PeerAddress);
  }
  Addresses.insert(Addresses.end(), OtherDomainAddresses.begin(),
                   OtherDomainAddresses.end());
  for (const std::string &Seed : m_SeedAddresses)
    if (Seed != m_Self.m_PeerAddress &&
        std::find(Addresses.begin(), Addresses.end(), Seed) == Addresses.end())
      Addresses.push_back(Seed);
  return Addresses;
}

bool VMDirectory::isDomainPeer(const std::string &Host) const {
  for (const ListedVM &VM : domainPeers())
    if (hasHost(VM, Host))
      return true;
  return false;
}

} // namespace parsleyring
