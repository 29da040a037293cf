#ifndef PARSLEYRING_MEMBERSHIP_LOADDIGEST_H
#define PARSLEYRING_MEMBERSHIP_LOADDIGEST_H

#include "fleet/FleetTable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// What one VM, or one failure domain as a whole, says about the endpoints
/// that it uses.
struct LoadDigest {
  struct Load {
    std::string m_Endpoint;
    double m_Tokens = 0; ///< Of its requests, weighted by layers.
    std::uint32_t m_Running = 0;
    /// Over 1 if the endpoint is slow; 0 if the sender has not asked lately.
    double m_Pace = 0;
    std::int64_t m_SuspectMs = 0; ///< For so long it gets no new requests.
  };

  std::string m_Sender;       ///< A VM, or a failure domain.
  bool m_IsDomain = false;    ///< The sums over the VMs of a failure domain.
  std::uint64_t m_Number = 0; ///< Grows with each digest of a VM.
  std::vector<Load> m_Loads;

  std::string encode() const;
  /// Empty if the bytes are no digest.
  static std::optional<LoadDigest> decode(const std::string &Bytes);
};

/// The newest digest of each other VM of the failure domain, and of each other
/// failure domain.
class LoadDigestTable {
public:
  /// Takes a digest over into the endpoints. Older ones are dropped. Returns
  /// the endpoints that the sender suspects and this VM did not.
  std::vector<FleetTable::Handle> take(const LoadDigest &Digest,
                                       FleetTable &Fleet, Time Now);
  /// Forgets senders that have been silent, and sums up the loads of the
  /// others.
  void refresh(FleetTable &Fleet, Time Now);
  /// Other VMs of the failure domain that were heard from lately.
  std::size_t freshVMs() const;

  /// The digest of this VM.
  LoadDigest ofVM(const std::string &VM, const FleetTable &Fleet, Time Now);
  /// The sums over this VM and the VMs that were heard from.
  LoadDigest ofDomain(const std::string &Domain, const FleetTable &Fleet,
                      Time Now);

private:
  struct Entry {
    LoadDigest m_Digest;
    Time m_ReceivedAt{};
  };

  std::map<std::string, Entry> m_Entries;
  std::uint64_t m_OwnNumber = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_MEMBERSHIP_LOADDIGEST_H
