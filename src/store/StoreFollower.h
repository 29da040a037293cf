#ifndef PARSLEYRING_STORE_STOREFOLLOWER_H
#define PARSLEYRING_STORE_STOREFOLLOWER_H

#include "store/StoreClient.h"

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
  /// IsAvailable tells whether the store itself answers; a change after a
  /// loss that lasted OutageTime.
  virtual void availabilityChanged(bool IsAvailable, Duration OutageTime) = 0;
  /// Other VMs that may know newer items, the preferred ones first.
  virtual std::vector<std::string> peerAddresses() const = 0;
};

/// Follows all keys of the store by one long poll after the other. While the
/// store does not answer this VM, it asks other VMs for what they have read.
class StoreFollower {
public:
  StoreFollower(boost::asio::io_context &Loop, StoreClient &Client,
                const StoreProtocol &Protocol, StoreObserver &Observer,
                std::function<Time()> Now, std::string StoreAddress);

  /// Begins the path of the call by which a peer asks for newer items; the
  /// revision that it knows follows.
  static const std::string PeerPath;

  void start() { load(""); }
  bool isAvailable() const { return m_IsAvailable; }
  std::uint64_t revision() const { return m_Revision; }
  const std::map<std::string, StoreItem> &items() const { return m_Items; }
  /// The answer to a peer that knows the items up to Revision.
  StorePage newerThan(std::uint64_t Revision) const;

private:
  void load(const std::string &After);
  void handlePage(const StoreReply &Reply);
  void watch();
  void handleChanges(const StoreReply &Reply, std::uint64_t Watched);
  void handleFailure();
  void retryLater();
  void noteAvailable();
  void askPeer();
  void takeSnapshot(StorePage Page);

  boost::asio::io_context &m_Loop;
  StoreClient &m_Client;
  const StoreProtocol &m_Protocol;
  StoreObserver &m_Observer;
  std::function<Time()> m_Now;
  const std::string m_StoreAddress;
  boost::asio::steady_timer m_RetryTimer;
  boost::asio::steady_timer m_PeerTimer;
  std::minstd_rand m_Random;
  std::map<std::string, StoreItem> m_Items;
  std::map<std::string, StoreItem> m_Loading;
  std::uint64_t m_LoadingRevision = 0;
  std::uint64_t m_Revision = 0;
  bool m_MustReload = true;
  bool m_IsAvailable = false;
  bool m_IsAskingPeers = false;
  Time m_LostAt{};
  std::size_t m_NextPeer = 0;
  int m_Failures = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STOREFOLLOWER_H
