#include "store/StoreFollower.h"

namespace parsleyring {

// A watch whose connection has gone silent is noticed after the wait and this
// slack.
static constexpr Duration WatchWait = std::chrono::seconds(4);
static constexpr Duration WatchSlack = std::chrono::milliseconds(900);
// Changes come in groups, and each answer wakes every VM, so the next poll
// waits for more of them. Far below the time in which a change must apply.
static constexpr Duration GroupingDelay = std::chrono::milliseconds(150);
static constexpr Duration CallLimit = std::chrono::milliseconds(1500);
// Refused calls count towards the rates of the store, so retries slow down.
static constexpr Duration FirstRetryDelay = std::chrono::milliseconds(120);
static constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);
static constexpr Duration PeerInterval = std::chrono::milliseconds(400);
static constexpr Duration PeerLimit = std::chrono::milliseconds(600);

const std::string StoreFollower::PeerPath = "/peer/items-after/";

StoreFollower::StoreFollower(boost::asio::io_context &Loop, StoreClient &Client,
                             const StoreProtocol &Protocol,
                             StoreObserver &Observer, std::function<Time()> Now,
                             std::string StoreAddress)
    : m_Loop(Loop), m_Client(Client), m_Protocol(Protocol),
      m_Observer(Observer), m_Now(std::move(Now)),
      m_StoreAddress(std::move(StoreAddress)), m_RetryTimer(Loop),
      m_PeerTimer(Loop), m_Random(std::random_device{}()) {}

void StoreFollower::load(const std::string &After) {
  if (After.empty()) {
    m_Loading.clear();
    m_LoadingRevision = 0;
  }
  m_Client.call(m_StoreAddress, m_Protocol.rangeCall("", After), CallLimit,
                [this](const StoreReply &Reply) { handlePage(Reply); });
}

void StoreFollower::handlePage(const StoreReply &Reply) {
  std::optional<StorePage> Page;
  if (Reply.isOk())
    Page = m_Protocol.parsePage(Reply.m_Body);
  if (!Page) {
    handleFailure();
    return;
  }
  noteAvailable();
  // Pages are no snapshot: the changes since the first one are watched.
  if (m_LoadingRevision == 0)
    m_LoadingRevision = Page->m_Revision;
  std::string Last;
  for (StoreItem &Item : Page->m_Items) {
    Last = Item.m_Key;
    m_Loading[Item.m_Key] = std::move(Item);
  }
  if (Page->m_HasMore && !Last.empty()) {
    load(Last);
    return;
  }
  m_MustReload = false;
  m_Items = std::move(m_Loading);
  m_Loading.clear();
  m_Revision = m_LoadingRevision;
  m_Observer.reloaded(m_Items);
  watch();
}

void StoreFollower::watch() {
  std::uint64_t Watched = m_Revision;
  m_Client.call(m_StoreAddress, m_Protocol.watchCall("", Watched, WatchWait),
                WatchWait + WatchSlack,
                [this, Watched](const StoreReply &Reply) {
                  handleChanges(Reply, Watched);
                });
}

void StoreFollower::handleChanges(const StoreReply &Reply,
                                  std::uint64_t Watched) {
  if (Reply.m_Status == 410) {
    m_MustReload = true;
    noteAvailable();
    load("");
    return;
  }
  std::optional<StorePage> Changes;
  if (Reply.isOk())
    Changes = m_Protocol.parseChanges(Reply.m_Body);
  if (!Changes) {
    handleFailure();
    return;
  }
  noteAvailable();
  // A snapshot of a peer may have overtaken this watch.
  if (Watched < m_Revision) {
    watch();
    return;
  }
  for (const StoreItem &Item : Changes->m_Items) {
    auto Known = m_Items.find(Item.m_Key);
    if (Known != m_Items.end() && Known->second.m_Revision >= Item.m_Revision)
      continue;
    if (Item.m_IsDeleted) {
      m_Items.erase(Item.m_Key);
      m_Observer.itemDeleted(Item.m_Key);
    } else {
      m_Items[Item.m_Key] = Item;
      m_Observer.itemChanged(Item);
    }
  }
  m_Revision = std::max(m_Revision, Changes->m_Revision);
  if (Changes->m_Items.empty()) {
    watch();
    return;
  }
  m_RetryTimer.expires_after(GroupingDelay);
  m_RetryTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      watch();
  });
}

void StoreFollower::noteAvailable() {
  m_Failures = 0;
  if (m_IsAvailable)
    return;
  m_IsAvailable = true;
  m_IsAskingPeers = false;
  m_PeerTimer.cancel();
  Duration Outage = m_LostAt == Time{} ? Duration::zero() : m_Now() - m_LostAt;
  m_Observer.availabilityChanged(true, Outage);
}

void StoreFollower::handleFailure() {
  ++m_Failures;
  if (m_IsAvailable && m_Failures >= 2) {
    m_IsAvailable = false;
    m_LostAt = m_Now();
    m_Observer.availabilityChanged(false, Duration::zero());
  }
  if (!m_IsAvailable && !m_IsAskingPeers) {
    m_IsAskingPeers = true;
    askPeer();
  }
  retryLater();
}

void StoreFollower::retryLater() {
  Duration Delay = std::min(MaxRetryDelay, FirstRetryDelay * m_Failures);
  Delay += Duration(m_Random() % Delay.count() / 2);
  m_RetryTimer.expires_after(Delay);
  m_RetryTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    // After a failure, a poll that would wait cannot tell whether the store
    // answers, so all is read again.
    if (m_MustReload || m_Failures > 1)
      load("");
    else
      watch();
  });
}

void StoreFollower::askPeer() {
  if (m_IsAvailable || !m_IsAskingPeers)
    return;
  std::vector<std::string> Peers = m_Observer.peerAddresses();
  if (!Peers.empty()) {
    const std::string &Peer = Peers[m_NextPeer++ % Peers.size()];
    StoreCall Call{"GET", PeerPath + std::to_string(m_Revision), ""};
    m_Client.call(Peer, Call, PeerLimit, [this](const StoreReply &Reply) {
      if (m_IsAvailable || !Reply.isOk())
        return;
      std::optional<StorePage> Page = m_Protocol.parsePage(Reply.m_Body);
      if (Page)
        takeSnapshot(std::move(*Page));
    });
  }
  m_PeerTimer.expires_after(PeerInterval);
  m_PeerTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      askPeer();
  });
}

void StoreFollower::takeSnapshot(StorePage Page) {
  if (Page.m_Revision <= m_Revision || Page.m_Items.empty())
    return;
  m_Items.clear();
  for (StoreItem &Item : Page.m_Items) {
    std::string Key = Item.m_Key;
    m_Items[Key] = std::move(Item);
  }
  m_Revision = Page.m_Revision;
  m_MustReload = false;
  m_Observer.reloaded(m_Items);
}

StorePage StoreFollower::newerThan(std::uint64_t Revision) const {
  StorePage Page;
  Page.m_Revision = m_Revision;
  if (m_Revision <= Revision)
    return Page;
  for (const auto &[Key, Item] : m_Items)
    Page.m_Items.push_back(Item);
  return Page;
}

} // namespace parsleyring
