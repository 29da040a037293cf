#ifndef PARSLEYRING_STORE_STOREWATCHER_H
#define PARSLEYRING_STORE_STOREWATCHER_H

#include "store/PeerItems.h"
#include "store/StoreClient.h"

#include <deque>
#include <map>
#include <random>

namespace parsleyring {

/// Is notified of the items of the store and of their changes, and tells which
/// VMs relay them.
class StoreObserver {
public:
  virtual ~StoreObserver() = default;
  virtual void itemChanged(const StoreItem &Item) = 0;
  virtual void itemDeleted(const std::string &Key) = 0;
  /// All items have been read again; keys that are not in Items are deleted.
  virtual void itemsReloaded(const std::map<std::string, StoreItem> &Items) = 0;
  /// The known items have a new revision.
  virtual void revisionChanged() = 0;
  /// The store has become available, after an outage of OutageTime (0 at
  /// start), or unavailable.
  virtual void availabilityChanged(bool IsAvailable, Duration OutageTime) = 0;
  /// Peer addresses of other VMs that may know newer items, preferred ones
  /// first.
  virtual std::vector<std::string> peerAddresses() const = 0;
  /// Peer addresses of the relays of this VM; empty if it watches the store
  /// itself.
  virtual std::vector<std::string> relayAddresses() const = 0;
  /// True if this VM is a relay for other VMs.
  virtual bool isRelay() const = 0;
};

/// Watches all keys of the store by repeated long polls. In a large failure
/// domain a few VMs, the relays, watch the store and the others poll the
/// relays, so that calls to the store do not grow with the number of VMs. If no
/// relay answers with recent data, the VM asks the store itself; while the
/// store does not answer either, it asks any other VM.
class StoreWatcher {
public:
  /// Changes must be known within MaxApplyDelay after the store has them.
  StoreWatcher(boost::asio::io_context &Loop, StoreClient &Client,
               const StoreProtocol &Protocol, StoreObserver &Observer,
               std::function<Time()> Now, std::string StoreAddress,
               Duration MaxApplyDelay);

  void start() { loadPage(""); }
  bool isAvailable() const { return m_IsAvailable; }
  /// True if the store answered recently enough for other VMs to rely on it.
  bool isFresh() const;
  std::uint64_t revision() const { return m_Revision; }
  /// The items to send to a peer that knows those up to Revision.
  PeerItems itemsSince(std::uint64_t Revision) const;

private:
  /// A change of a key.
  struct Change {
    std::uint64_t m_Revision = 0;
    std::string m_Key;
  };

  void pollNext();
  void schedulePoll(Duration Delay);
  void loadPage(const std::string &After);
  void handlePage(const CallReply &Reply);
  void watch();
  void handleChanges(const CallReply &Reply, std::uint64_t WatchedRevision);
  void pollRelay();
  void handleRelayReply(const CallReply &Reply);
  bool applyPeerItems(PeerItems Items);
  bool applyChanges(const std::vector<StoreItem> &Changes,
                    std::uint64_t Revision);
  void replaceAll(std::map<std::string, StoreItem> Items,
                  std::uint64_t Revision);
  void handleFailure();
  void markAvailable(Duration Age = Duration::zero());
  void pollPeer();

  StoreClient &m_Client;
  const StoreProtocol &m_Protocol;
  StoreObserver &m_Observer;
  std::function<Time()> m_Now;
  const std::string m_StoreAddress;
  const Duration m_MaxApplyDelay;
  boost::asio::steady_timer m_RetryTimer;
  boost::asio::steady_timer m_PeerTimer;
  std::minstd_rand m_Random;
  std::map<std::string, StoreItem> m_Items;
  std::deque<Change> m_Changes; ///< The latest changes, for peers.
  /// Revision before the oldest of m_Changes.
  std::uint64_t m_ChangesBaseRevision = 0;
  std::map<std::string, StoreItem> m_Loading;
  std::uint64_t m_LoadingRevision = 0;
  std::uint64_t m_Revision = 0;
  Time m_LastStoreAnswerAt{}; ///< Last answer of the store, also via a relay.
  bool m_MustReload = true;
  bool m_IsAvailable = false;
  bool m_IsPollingPeers = false;
  Time m_UnavailableSince{};   ///< Start of the last outage; 0 before one.
  Time m_WatchDirectlyUntil{}; ///< No relay is polled before.
  std::size_t m_NextPeer = 0;
  std::size_t m_NextRelay = 0;
  std::size_t m_RelayFailures = 0; ///< Consecutive.
  int m_Failures = 0;              ///< Consecutive failed store calls.
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STOREWATCHER_H
