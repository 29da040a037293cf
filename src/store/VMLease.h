#ifndef PARSLEYRING_STORE_VMLEASE_H
#define PARSLEYRING_STORE_VMLEASE_H

#include "store/StoreClient.h"

#include <random>

namespace parsleyring {

/// A VM as listed in the store.
struct ListedVM {
  std::string m_Name;
  std::string m_PeerAddress; ///< IP:port
  std::string m_FailureDomain;
  double m_Cores = 0; ///< Processor capacity; 0 if unknown.
};

/// Lists this VM in the store under a lease. If there is no placement leader
/// (the one VM that orders engines to hold layers), makes this VM the leader.
/// Leadership ends for this VM before its lease can expire in the store, so
/// that there are never two leaders.
class VMLease {
public:
  VMLease(boost::asio::io_context &Loop, StoreClient &Client,
          const StoreProtocol &Protocol, std::function<Time()> Now,
          std::string StoreAddress, ListedVM Self);

  void start() { step(); }
  /// Revokes the lease, which ends leadership and removes the entry.
  void stop();
  /// Records the leader key as read from the store; Revision is 0 if it is
  /// absent.
  void noteLeader(const std::string &Leader, std::uint64_t Revision);
  /// The store has been restored from an older copy, so that the lease may be
  /// gone, or be that of another VM by now. Takes a new one after a short time.
  void noteRestored();
  bool isLeader(Time Now) const;
  /// Grows with each change of the leader within an era of the store.
  std::uint64_t fencingToken() const { return m_LeaderRevision; }

  static const std::string VMPrefix;
  static const std::string LeaderKey;
  static std::string encodeEntry(const ListedVM &VM);
  static std::optional<ListedVM> parseEntry(const std::string &Text);

private:
  void step();
  void scheduleStep(Duration Delay);
  void grant();
  void renew();
  void putEntry();
  void claimLeadership();

  StoreClient &m_Client;
  const StoreProtocol &m_Protocol;
  std::function<Time()> m_Now;
  const std::string m_StoreAddress;
  const ListedVM m_Self;
  std::string m_Incarnation; ///< Value of the leader key for this process.
  boost::asio::steady_timer m_Timer;
  std::minstd_rand m_Random;
  std::uint64_t m_Lease = 0;
  Time m_ConfirmedAt{}; ///< When the last confirmed renewal was sent.
  bool m_IsListed = false;
  bool m_IsStopped = false;
  bool m_IsLeaderKnown = false;
  /// The leader key is this VM's, but belongs to a lease of an earlier era.
  bool m_IsClaimOutdated = false;
  /// This VM does not become the leader before.
  Time m_MayLeadFrom{};
  std::string m_Leader;
  std::uint64_t m_LeaderRevision = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_VMLEASE_H
