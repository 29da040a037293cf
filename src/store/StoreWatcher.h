#ifndef PARSLEYRING_STORE_STOREWATCHER_H
#define PARSLEYRING_STORE_STOREWATCHER_H

#include "store/PeerItems.h"
#include "store/StoreClient.h"

#include <deque>
#include <map>
#include <memory>
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
  /// IsRestored: they are the first ones of a new era. Writes that the store
  /// had accepted shortly before may be missing, and are repeated by their
  /// writers.
  virtual void itemsReloaded(const std::map<std::string, StoreItem> &Items,
                             bool IsRestored) = 0;
  /// The known items have a new revision.
  virtual void revisionChanged() = 0;
  /// The store has become available, after an outage of OutageTime (0 at
  /// start), or unavailable.
  virtual void availabilityChanged(bool IsAvailable, Duration OutageTime) = 0;
  /// The store has been restored from an older copy, which has this version.
  virtual void storeRestored(const StoreVersion &Version) = 0;
  /// The items may no longer be the newest ones, or are known to be so again.
  /// Newest is the newest version that any VM has reported.
  virtual void freshnessChanged(bool IsFresh, Duration ConfirmationAge,
                                const StoreVersion &Newest) = 0;
  /// Peer addresses of other VMs that may know newer items, preferred ones
  /// first.
  virtual std::vector<std::string> peerAddresses() const = 0;
  /// Peer addresses of the relays of this VM; empty if it watches the store
  /// itself.
  virtual std::vector<std::string> relayAddresses() const = 0;
  /// True if other VMs rely on this one to ask the store often.
  virtual bool isPrimaryWatcher() const = 0;
};

/// Watches all keys of the store by repeated long polls. In a large failure
/// domain a few VMs, the relays, watch the store and the others poll the
/// relays, so that calls to the store do not grow with the number of VMs. If no
/// relay answers with recent data, the VM asks the store itself; while the
/// store does not answer either, it asks any other VM.
///
/// The store may be restored from an older copy, which begins a new era. Items
/// of an older era are kept until all items of the new one have been read, and
/// no answer of an older era is used any more.
///
/// The items count as fresh while the store, a relay or the report of another
/// VM has confirmed recently that there are no newer ones. A poll that gets no
/// answer in time is followed by another one on a further connection, and the
/// first answer is used: a lost answer must not hide changes, and a slow store
/// still gets its answers through.
class StoreWatcher {
public:
  /// Changes must be known within MaxApplyDelay after the store has them.
  StoreWatcher(boost::asio::io_context &Loop, StoreClient &Client,
               const StoreProtocol &Protocol, StoreObserver &Observer,
               std::function<Time()> Now, std::string StoreAddress,
               Duration MaxApplyDelay);

  void start() { pollNext(); }
  /// Starts another poll if the current one is overdue or the items are not
  /// fresh. To be called several times per MaxApplyDelay.
  void tick();
  /// Notes that the VM at PeerAddress knows Version, and that the store told it
  /// Age ago that there is no newer one.
  void noteReport(const StoreVersion &Version, Duration Age,
                  const std::string &PeerAddress);
  bool isAvailable() const { return m_IsAvailable; }
  /// True if the items were the newest ones recently enough for this VM and
  /// others to rely on them.
  bool isFresh() const;
  /// Time since the items were last known to be the newest ones.
  Duration confirmationAge() const { return m_Now() - m_ConfirmedAt; }
  /// Time since the last answer of the store to this VM itself.
  Duration storeAnswerAge() const { return m_Now() - m_LastStoreAnswerAt; }
  /// Version of the known items.
  const StoreVersion &version() const { return m_Version; }
  /// True if the known items are newer than those of a peer that knows Known.
  bool hasNewerThan(const StoreVersion &Known) const {
    return withEra(Known) < m_Version;
  }
  /// True if a peer that knows Version has newer items than the known ones.
  bool isBehind(const StoreVersion &Version) const {
    return m_Version < Version;
  }
  /// The items to send to a peer that knows those up to Version.
  PeerItems itemsSince(const StoreVersion &Version) const;

private:
  /// A change of a key.
  struct Change {
    std::uint64_t m_Revision = 0;
    std::string m_Key;
  };

  /// The pages read so far by a reload of all items.
  struct Reload {
    std::map<std::string, StoreItem> m_Items;
    StoreVersion m_Version;
  };

  StoreVersion withEra(StoreVersion Known) const;
  void pollNext();
  void schedulePoll(Duration Delay);
  std::uint64_t beginPoll(Duration Wait);
  bool endPoll(std::uint64_t Poll);
  bool acceptStoreAnswer(std::uint64_t Poll, const CallReply &Reply);
  std::uint64_t eraOf(const CallReply &Reply) const;
  void failPoll(std::uint64_t Poll);
  Duration pollWait() const;
  void loadPage(const std::shared_ptr<Reload> &Pages, const std::string &After);
  void handlePage(const std::shared_ptr<Reload> &Pages, const CallReply &Reply,
                  std::uint64_t Poll);
  void watch();
  void handleChanges(const CallReply &Reply, const StoreVersion &Watched,
                     std::uint64_t Poll);
  void pollRelay();
  void handleRelayReply(const CallReply &Reply, std::uint64_t Poll);
  void handleRelayFailure();
  bool applyPeerItems(PeerItems Items);
  bool applyChanges(const std::vector<StoreItem> &Changes,
                    std::uint64_t Revision);
  void replaceAll(std::map<std::string, StoreItem> Items,
                  const StoreVersion &Version);
  void handleFailure();
  void markAvailable();
  void confirm(const StoreVersion &Version, Time At);
  bool isBehindPeer() const;
  void updateFreshness();
  void askNewerPeer();
  void askPeer(const std::string &Address);
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
  StoreVersion m_Version;        ///< Of m_Items; zero before they are read.
  std::uint64_t m_NewestEra = 0; ///< That the store or a peer has told.
  bool m_MustReload = true;
  bool m_IsAvailable = false;
  bool m_IsPollingPeers = false;
  Time m_UnavailableSince{};   ///< Start of the last outage; 0 before one.
  Time m_WatchDirectlyUntil{}; ///< No relay is polled before.
  std::size_t m_NextPeer = 0;
  std::size_t m_NextRelay = 0;
  std::size_t m_RelayFailures = 0; ///< Consecutive.
  int m_Failures = 0;              ///< Consecutive failed store calls.

  /// Polls are numbered. Those below m_OldestPoll were overtaken by a later or
  /// earlier one that got an answer, and are not continued.
  std::uint64_t m_OldestPoll = 0;
  std::uint64_t m_NewestPoll = 0;
  bool m_IsPolling = false;      ///< The newest poll has no answer yet.
  bool m_IsPollingRelay = false; ///< It was sent to a relay.
  Duration m_PollWait{}; ///< How long the newest poll may wait for a change.
  Time m_PollDueAt{};    ///< Until when it should have an answer.

  Time m_LastStoreAnswerAt{};
  Time m_ConfirmedAt{}; ///< When the items were known to be the newest ones.
  bool m_WasFresh = true;
  /// Newest version that another VM has reported, where, and since when this VM
  /// has not had it.
  StoreVersion m_ReportedVersion;
  std::string m_ReportingPeer;
  Time m_BehindSince{};
  Time m_NextQuestionAt{};
  bool m_AsksStoreNext = false;
  Time m_LastReportAt{}; ///< Last report that confirmed the items.
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STOREWATCHER_H
