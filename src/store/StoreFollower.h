#ifndef PARSLEYRING_STORE_STOREFOLLOWER_H
#define PARSLEYRING_STORE_STOREFOLLOWER_H

#include "store/PeerItems.h"
#include "store/StoreClient.h"

#include <deque>
#include <map>
#include <random>

namespace parsleyring {

/// Learns of the keys that are followed, and of their changes.
class StoreObserver {
public:
  virtual ~StoreObserver() = default;
  virtual void itemChanged(const StoreItem &Item) = 0;
  virtual void itemDeleted(const std::string &Key) = 0;
  /// All items have been read anew; keys that are not in Items are gone.
  virtual void reloaded(const std::map<std::string, StoreItem> &Items) = 0;
  /// The items have a new revision.
  virtual void revisionChanged() = 0;
  /// IsAvailable tells whether the store itself answers; a change after a
  /// loss that lasted OutageTime.
  virtual void availabilityChanged(bool IsAvailable, Duration OutageTime) = 0;
  /// Other VMs that may know newer items, the preferred ones first.
  virtual std::vector<std::string> peerAddresses() const = 0;
  /// The VMs that follow the store for this one; empty if it does so itself.
  virtual std::vector<std::string> readerAddresses() const = 0;
  /// True if other VMs follow the store through this one.
  virtual bool isReader() const = 0;
};

/// Follows all keys of the store by one long poll after the other. In a large
/// failure domain a few VMs follow the store, and the others follow these, so
/// that the calls to the store do not grow with the number of VMs. A VM whose
/// sources do not answer, or have not heard from the store lately, asks the
/// store itself; while that fails too, it asks any other VM.
class StoreFollower {
public:
  /// Changes must be known ApplyLimit after the store has them.
  StoreFollower(boost::asio::io_context &Loop, StoreClient &Client,
                const StoreProtocol &Protocol, StoreObserver &Observer,
                std::function<Time()> Now, std::string StoreAddress,
                Duration ApplyLimit);

  void start() { load(""); }
  bool isAvailable() const { return m_IsAvailable; }
  /// True if the store was heard from so lately that others may rely on it.
  bool isFresh() const;
  std::uint64_t revision() const { return m_Revision; }
  /// The answer to a peer that knows the items up to Revision.
  PeerItems newerThan(std::uint64_t Revision) const;

private:
  /// A revision at which a key changed.
  struct Change {
    std::uint64_t m_Revision = 0;
    std::string m_Key;
  };

  void followOn();
  void followLater(Duration Delay);
  void load(const std::string &After);
  void handlePage(const CallReply &Reply);
  void watch();
  void handleChanges(const CallReply &Reply, std::uint64_t Watched);
  void followReader();
  void handleReader(const CallReply &Reply);
  bool takeItems(PeerItems Items);
  bool apply(const std::vector<StoreItem> &Changes, std::uint64_t Revision);
  void replaceAll(std::map<std::string, StoreItem> Items,
                  std::uint64_t Revision);
  void handleFailure();
  void noteAvailable(Duration Age = Duration::zero());
  void askPeer();

  StoreClient &m_Client;
  const StoreProtocol &m_Protocol;
  StoreObserver &m_Observer;
  std::function<Time()> m_Now;
  const std::string m_StoreAddress;
  const Duration m_ApplyLimit;
  boost::asio::steady_timer m_RetryTimer;
  boost::asio::steady_timer m_PeerTimer;
  std::minstd_rand m_Random;
  std::map<std::string, StoreItem> m_Items;
  std::deque<Change> m_Changes;     ///< The newest ones, for peers.
  std::uint64_t m_ChangesSince = 0; ///< Revision before the oldest of them.
  std::map<std::string, StoreItem> m_Loading;
  std::uint64_t m_LoadingRevision = 0;
  std::uint64_t m_Revision = 0;
  Time m_StoreHeardAt{}; ///< When the store last answered, as far as known.
  bool m_MustReload = true;
  bool m_IsAvailable = false;
  bool m_IsAskingPeers = false;
  Time m_LostAt{};
  Time m_DirectUntil{}; ///< The readers are not relied on before.
  std::size_t m_NextPeer = 0;
  std::size_t m_NextReader = 0;
  std::size_t m_ReaderFailures = 0; ///< In a row.
  int m_Failures = 0;               ///< Of calls to the store, in a row.
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STOREFOLLOWER_H
