#ifndef PARSLEYRING_MEMBERSHIP_LOADDIGEST_H
#define PARSLEYRING_MEMBERSHIP_LOADDIGEST_H

#include "fleet/DomainLink.h"
#include "fleet/FleetTable.h"
#include "store/StoreProtocol.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// Load and state of the endpoints that one VM uses, or that the VMs of one
/// failure domain use.
struct LoadDigest {
  struct Load {
    std::string m_Endpoint;
    double m_Tokens = 0; ///< Tokens times layers, the sender's requests.
    std::uint32_t m_Running = 0;
    /// Relative step time: over 1 is slow; 0 if the sender does not know it.
    double m_Pace = 0;
    std::int64_t m_SuspectMs = 0;       ///< Time left without new requests.
    std::uint32_t m_RunningAsFirst = 0; ///< Requests that take up a slot.
    /// What the sender itself got from the endpoint, if it is known to state a
    /// limit or to have stated one recently.
    std::optional<LimitReport> m_Limit = std::nullopt;
    /// Requests per second that the sender would send if there were no limit; 0
    /// if it knows of none.
    double m_Demand = 0;
  };

  /// Demand for the link between two failure domains.
  struct LinkDemand {
    DomainLink m_Link;
    std::int64_t m_KilobitsPerSecond = 0;
  };

  std::string m_Sender;       ///< A VM, or a failure domain.
  bool m_IsDomainSum = false; ///< Sums over the VMs of a domain.
  std::uint64_t m_Number = 0; ///< Sequence number at the sending VM.
  std::vector<Load> m_Loads;
  /// Endpoints that stated to the sender, or to any VM that told the failure
  /// domain, that they are leaving; the MaxLeaving newest ones.
  std::vector<EndpointIncarnation> m_Leaving{};
  /// Version of the store's items that the sender knows, and the time since the
  /// store itself last answered it; zero if the sender knows none.
  StoreVersion m_StoreVersion{};
  Duration m_StoreAnswerAge{};
  /// Of the configuration that the sender has in force; 0 if there is none.
  ConfigurationVersion m_ConfigurationVersion = 0;
  /// What the sender's requests would send over links if there were no limit;
  /// the MaxLinks largest ones.
  std::vector<LinkDemand> m_Links{};

  /// Keep a digest within one datagram.
  static constexpr std::size_t MaxLeaving = 100;
  static constexpr std::size_t MaxLinks = 50;

  std::string encode() const;
  /// Returns nothing if Bytes is no valid digest.
  static std::optional<LoadDigest> decode(const std::string &Bytes);
};

/// What a digest has changed in the observations of the endpoints.
struct DigestChanges {
  /// Endpoints that the sender suspects and this VM did not suspect yet.
  std::vector<FleetTable::Handle> m_NewSuspects;
  /// Endpoints whose limit is new or has ended.
  std::vector<FleetTable::Handle> m_NewLimits;
  /// Endpoints of which this VM did not know that they are leaving.
  std::vector<EndpointIncarnation> m_NewLeaving;
};

/// The latest digest of each other VM of this failure domain and of each other
/// failure domain. The sums of their loads at the endpoints are kept by
/// difference, since their cost would otherwise grow with the square of the
/// number of VMs.
class LoadDigestTable {
public:
  /// Applies a digest to the endpoints of Fleet. Outdated digests are dropped.
  DigestChanges apply(const LoadDigest &Digest, FleetTable &Fleet, Time Now);
  /// Removes the digests of silent senders, and sums the loads again if the
  /// list of endpoints has changed.
  void refresh(FleetTable &Fleet, Time Now);
  /// Number of other VMs of the failure domain that were heard from recently.
  std::size_t recentVMCount() const;
  /// True if any other VM or failure domain was heard from recently.
  bool hasReports() const { return !m_Entries.empty(); }

  /// Sets the demand of this VM for links, in Mbit/s, that its digests report.
  void setLinkDemand(const std::map<DomainLink, double> &Demand);
  /// Mbit/s that other VMs would send over Link, as far as they report it.
  double peerLinkDemand(const DomainLink &Link) const;

  /// Creates the digest of this VM, with the next sequence number.
  LoadDigest digestOfVM(const std::string &VM, const FleetTable &Fleet,
                        Time Now);
  /// Creates the digest of this failure domain: the sums over this VM and the
  /// other VMs that were heard from recently.
  LoadDigest digestOfDomain(const std::string &Domain, const FleetTable &Fleet,
                            Time Now);

private:
  struct Entry {
    LoadDigest m_Digest;
    Time m_ReceivedAt{};
    /// Of the loads of the digest, in their order; null if not listed.
    std::vector<FleetTable::Handle> m_Endpoints;
  };

  static void resolve(Entry &Known, const FleetTable &Fleet);
  /// Adds the loads to the sums at the endpoints, or subtracts them.
  static void count(const Entry &Known, int Sign);
  /// The same for the demand for links.
  void countLinks(const Entry &Known, int Sign);

  std::map<std::string, Entry> m_Entries;
  std::vector<LoadDigest::LinkDemand> m_OwnLinks;
  std::map<DomainLink, std::int64_t> m_PeerLinks; ///< Kilobits per second.
  std::uint64_t m_LastSentNumber = 0;
  std::uint64_t m_CountedGeneration = 0; ///< Of the list, when last summed.
};

} // namespace parsleyring

#endif // PARSLEYRING_MEMBERSHIP_LOADDIGEST_H
