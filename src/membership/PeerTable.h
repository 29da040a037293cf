#ifndef PARSLEYRING_MEMBERSHIP_PEERTABLE_H
#define PARSLEYRING_MEMBERSHIP_PEERTABLE_H

#include "membership/Digest.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyring {

/// Interval of the heartbeats to each target. With 16 targets and digests of
/// about 150 bytes the traffic stays below 3 KB/s.
inline constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
/// A peer that was not heard from for this long counts as down: three missed
/// heartbeats and half an interval for delays.
inline constexpr Duration PeerTimeout = std::chrono::milliseconds(3500);
/// Up to this number of peers, each VM sends heartbeats to all others.
inline constexpr std::size_t MaxFullMeshPeers = 16;

/// View of the other VMs, from heartbeats. Part of the deterministic core.
///
/// The views of different VMs may differ: nothing that must be unique depends
/// on them. Load reports and leaving endpoints learned from others are
/// forwarded, so that they also reach VMs that are not heartbeat targets.
class PeerTable {
public:
  PeerTable(Time Now, const PeerInfo &Self);

  /// Adds a peer named by the settings or the VM list.
  void add(const PeerInfo &Peer);
  /// Removes a VM that is no longer on the VM list.
  void remove(const std::string &VM);
  /// Removes VMs that are not listed and have been silent for an hour.
  void expire(Time Now);

  /// Entries of a digest that were not known before.
  struct NewEntries {
    std::vector<LeavingEndpoint> m_Leaving;
    std::vector<LoadReported> m_Load;
  };
  NewEntries receive(Time Now, const Digest &Received);

  /// Returns false if the entry was known already.
  bool addLeaving(Time Now, const LeavingEndpoint &Entry);
  void addLoad(const LoadReported &Report);

  /// The digest to be sent now, without the fields that describe this VM's own
  /// state (version, outstanding requests, draining).
  Digest digest(Time Now) const;
  /// VMs that get heartbeats, alive or not, so that a returning peer is found
  /// again.
  std::vector<PeerInfo> heartbeatTargets(Time Now) const;
  /// All known VMs, for notices that must not wait for forwarding.
  std::vector<PeerInfo> knownPeers() const;

  bool isAlive(Time Now, const std::string &VM) const;
  std::vector<std::string> livePeers(Time Now) const;
  PeersChanged summary(Time Now) const;
  /// True if this VM polls the endpoint. Rendezvous hashing over the live VMs
  /// selects two VMs of the failure domain; if only one is alive there, that VM
  /// and one other; if none is, one VM in each domain.
  bool isPoller(Time Now, const std::string &Endpoint,
                const std::string &FailureDomain) const;

private:
  struct Peer {
    PeerInfo m_Info;
    Time m_LastHeardAt{}; ///< Directly or through other peers; epoch if never.
    bool m_IsDraining = false;
    bool m_IsListed = false; ///< Named by the settings or the VM list.
    std::map<std::string, std::uint32_t> m_Outstanding;
  };

  struct LeavingRecord {
    LeavingEndpoint m_Entry;
    Time m_LearnedAt;
  };

  struct LoadRecord {
    LoadReported m_Report;
    bool m_IsOwn = false; ///< Polled by this VM.
  };

  bool isLive(Time Now, const Peer &Candidate) const;
  void noteForwardedPeer(Time Now, const PeerInfo &Info);
  std::vector<PeerInfo> highestRanked(std::vector<PeerInfo> Candidates,
                                      std::size_t Count) const;

  Time m_StartedAt;
  PeerInfo m_Self;
  std::map<std::string, Peer> m_Peers;
  std::set<LeavingEndpoint> m_KnownLeaving;
  std::deque<LeavingRecord> m_RecentLeaving;
  std::map<std::string, LoadRecord> m_Load;
};

} // namespace parsleyring

#endif // PARSLEYRING_MEMBERSHIP_PEERTABLE_H
