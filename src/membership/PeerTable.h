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
/// about 150 bytes this stays below 3 KB/s.
inline constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
/// A peer from which nothing was heard for this long counts as down: three
/// missed heartbeats and half an interval for delays.
inline constexpr Duration PeerTimeout = std::chrono::milliseconds(3500);
/// Up to this number of peers each VM sends to all others.
inline constexpr std::size_t LargestFullMesh = 16;

/// View of the other VMs, from heartbeats. Part of the deterministic core.
///
/// There is no agreement between the views: nothing that must be unique
/// depends on them. Load entries and leaving endpoints that were learned from
/// others are passed on, so that they also reach VMs that are not targets.
class PeerTable {
public:
  PeerTable(Time Now, const PeerInfo &Self);

  /// A peer named by the settings, the VM list or another peer.
  void add(const PeerInfo &Peer);
  /// The VM list names the VM as gone: it is no target any more.
  void remove(const std::string &VM);
  /// Forgets VMs that are named by nobody and were silent for long.
  void expire(Time Now);

  /// What a digest brought that was not known before.
  struct News {
    std::vector<LeavingEndpoint> m_Leaving;
    std::vector<LoadReported> m_Load;
  };
  News receive(Time Now, const Digest &Received);

  /// Returns false if it was known already.
  bool addLeaving(Time Now, const LeavingEndpoint &Entry);
  void addLoad(const LoadReported &Report);

  /// The digest to be sent now, without the fields that describe this VM's
  /// own state (version, outstanding requests, draining).
  Digest digest(Time Now) const;
  /// VMs that get heartbeats, alive or not, so that a peer that comes back is
  /// found again.
  std::vector<PeerInfo> targets(Time Now) const;
  /// Every known VM, for signs that must not wait for forwarding.
  std::vector<PeerInfo> known() const;

  bool isAlive(Time Now, const std::string &VM) const;
  std::vector<std::string> livePeers(Time Now) const;
  PeersChanged summary(Time Now) const;
  /// Rendezvous hashing over the live VMs: two of the failure domain; if only
  /// one is alive there, it and one other; if none is, one in each domain.
  bool isPoller(Time Now, const std::string &Endpoint,
                const std::string &FailureDomain) const;

private:
  struct Peer {
    PeerInfo m_Info;
    Time m_HeardAt{}; ///< Directly or by way of others; epoch: never.
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
  void notePassedOn(Time Now, const PeerInfo &Info);
  std::vector<PeerInfo> closest(std::vector<PeerInfo> Candidates,
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
