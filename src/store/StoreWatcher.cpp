#include "store/StoreWatcher.h"

namespace parsleyring {

// A watch call times out after its wait time plus this margin, which detects a
// dead connection.
static constexpr Duration WatchWait = std::chrono::seconds(4);
static constexpr Duration WatchTimeoutMargin = std::chrono::milliseconds(900);
// Fractions of the time within which a change must apply. RelayWaitFraction
// limits the wait of a relay's watch call and of a poll of a relay, so that a
// relay gets an answer from the store at least that often. MaxAgeFraction is
// the maximum age of a relay's items on which other VMs rely.
static constexpr double RelayWaitFraction = 0.35;
static constexpr double MaxAgeFraction = 0.6;
// After all relays have failed, the store is watched directly for this long.
static constexpr Duration RelayRetryDelay = std::chrono::seconds(10);
static constexpr Duration RelayTimeoutMargin = std::chrono::milliseconds(400);
// Delay before the next poll after a change. Changes come in groups, and each
// answer causes work on every VM, so one answer should contain several changes.
// Far below the time within which a change must apply.
static constexpr Duration BatchingDelay = std::chrono::milliseconds(150);
static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
// The store also counts refused calls against its rate limits, so the retry
// delay grows.
static constexpr Duration FirstRetryDelay = std::chrono::milliseconds(120);
static constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);
// VMs with relays retry the store less often and leave it to the relays.
static constexpr Duration MaxRelayedRetryDelay = std::chrono::seconds(2);
static constexpr Duration PeerInterval = std::chrono::milliseconds(400);
static constexpr Duration PeerTimeout = std::chrono::milliseconds(600);
// Changes kept for peers; a peer that is further behind gets all items.
static constexpr std::size_t MaxChanges = 512;

StoreWatcher::StoreWatcher(boost::asio::io_context &Loop, StoreClient &Client,
                           const StoreProtocol &Protocol,
                           StoreObserver &Observer, std::function<Time()> Now,
                           std::string StoreAddress, Duration MaxApplyDelay)
    : m_Client(Client), m_Protocol(Protocol), m_Observer(Observer),
      m_Now(std::move(Now)), m_StoreAddress(std::move(StoreAddress)),
      m_MaxApplyDelay(MaxApplyDelay), m_RetryTimer(Loop), m_PeerTimer(Loop),
      m_Random(std::random_device{}()) {}

static Duration fractionOf(Duration Whole, double Fraction) {
  return Duration(static_cast<std::int64_t>(Whole.count() * Fraction));
}

// Reading the store

void StoreWatcher::loadPage(const std::string &After) {
  if (After.empty()) {
    m_Loading.clear();
    m_LoadingRevision = 0;
  }
  m_Client.call(m_StoreAddress, m_Protocol.rangeCall("", After), CallTimeout,
                [this](const CallReply &Reply) { handlePage(Reply); });
}

void StoreWatcher::handlePage(const CallReply &Reply) {
  std::optional<StorePage> Page;
  if (Reply.isOk())
    Page = m_Protocol.parsePage(Reply.m_Body);
  if (!Page) {
    handleFailure();
    return;
  }
  markAvailable();
  // The pages are not one snapshot, so the watch starts at the revision of the
  // first page.
  if (m_LoadingRevision == 0)
    m_LoadingRevision = Page->m_Revision;
  std::string Last;
  for (StoreItem &Item : Page->m_Items) {
    Last = Item.m_Key;
    m_Loading[Item.m_Key] = std::move(Item);
  }
  if (Page->m_HasMore && !Last.empty()) {
    loadPage(Last);
    return;
  }
  replaceAll(std::move(m_Loading), m_LoadingRevision);
  m_Loading.clear();
  pollNext();
}

void StoreWatcher::pollNext() {
  if (m_MustReload)
    loadPage("");
  else if (m_Now() >= m_WatchDirectlyUntil &&
           !m_Observer.relayAddresses().empty())
    pollRelay();
  else
    watch();
}

void StoreWatcher::schedulePoll(Duration Delay) {
  m_RetryTimer.expires_after(Delay);
  m_RetryTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      pollNext();
  });
}

void StoreWatcher::watch() {
  std::uint64_t WatchedRevision = m_Revision;
  Duration Wait = m_Observer.isRelay()
                      ? fractionOf(m_MaxApplyDelay, RelayWaitFraction)
                      : WatchWait;
  m_Client.call(m_StoreAddress, m_Protocol.watchCall("", WatchedRevision, Wait),
                Wait + WatchTimeoutMargin,
                [this, WatchedRevision](const CallReply &Reply) {
                  handleChanges(Reply, WatchedRevision);
                });
}

void StoreWatcher::handleChanges(const CallReply &Reply,
                                 std::uint64_t WatchedRevision) {
  if (Reply.m_Status == 410) {
    m_MustReload = true;
    markAvailable();
    pollNext();
    return;
  }
  std::optional<StorePage> Changes;
  if (Reply.isOk())
    Changes = m_Protocol.parseChanges(Reply.m_Body);
  if (!Changes) {
    handleFailure();
    return;
  }
  markAvailable();
  // Items from a peer may already be newer than this reply.
  bool IsSuperseded = WatchedRevision < m_Revision;
  if (!IsSuperseded && applyChanges(Changes->m_Items, Changes->m_Revision))
    schedulePoll(BatchingDelay);
  else
    pollNext();
}

// Records that the store answered Age ago.
void StoreWatcher::markAvailable(Duration Age) {
  m_Failures = 0;
  m_LastStoreAnswerAt = std::max(m_LastStoreAnswerAt, m_Now() - Age);
  if (m_IsAvailable)
    return;
  m_IsAvailable = true;
  m_IsPollingPeers = false;
  m_PeerTimer.cancel();
  Duration Outage = m_UnavailableSince == Time{} ? Duration::zero()
                                                 : m_Now() - m_UnavailableSince;
  m_Observer.availabilityChanged(true, Outage);
}

void StoreWatcher::handleFailure() {
  ++m_Failures;
  // Reload instead of a long poll, which would not show soon whether the store
  // answers again.
  if (m_Failures > 1)
    m_MustReload = true;
  if (m_IsAvailable && m_Failures >= 2) {
    m_IsAvailable = false;
    m_UnavailableSince = m_Now();
    m_Observer.availabilityChanged(false, Duration::zero());
  }
  if (!m_IsAvailable && !m_IsPollingPeers) {
    m_IsPollingPeers = true;
    pollPeer();
  }
  Duration MaxDelay = m_Observer.relayAddresses().empty()
                          ? MaxRetryDelay
                          : MaxRelayedRetryDelay;
  Duration Delay =
      std::min(MaxDelay, FirstRetryDelay * m_Failures * m_Failures);
  schedulePoll(Delay + Duration(m_Random() % Delay.count() / 2));
}

// Polling other VMs

void StoreWatcher::pollRelay() {
  std::vector<std::string> Relays = m_Observer.relayAddresses();
  const std::string &Relay = Relays[m_NextRelay % Relays.size()];
  // The wait ends before the known items exceed their maximum age, since the
  // relay may not answer at all.
  Duration MaxAge = fractionOf(m_MaxApplyDelay, MaxAgeFraction);
  Duration Remaining =
      std::max(Duration::zero(), MaxAge - (m_Now() - m_LastStoreAnswerAt));
  PeerItemsCall Call{
      m_Revision,
      std::min(fractionOf(m_MaxApplyDelay, RelayWaitFraction), Remaining)};
  m_Client.call(Relay, Call.call(), Call.m_Wait + RelayTimeoutMargin,
                [this](const CallReply &Reply) { handleRelayReply(Reply); });
}

void StoreWatcher::handleRelayReply(const CallReply &Reply) {
  std::optional<PeerItems> Items;
  if (Reply.isOk())
    Items = PeerItems::decode(Reply.m_Body);
  bool IsFresh =
      Items && Items->m_Age <= fractionOf(m_MaxApplyDelay, MaxAgeFraction);
  Duration Age = Items ? Items->m_Age : Duration::zero();
  bool HasChanges = Items && applyPeerItems(std::move(*Items));
  if (IsFresh) {
    m_RelayFailures = 0;
    markAvailable(Age);
    if (HasChanges)
      schedulePoll(BatchingDelay);
    else
      pollNext();
    return;
  }
  ++m_NextRelay;
  ++m_RelayFailures;
  // Tries the next relay; if all have failed, the store itself.
  if (m_RelayFailures < m_Observer.relayAddresses().size()) {
    pollNext();
    return;
  }
  m_RelayFailures = 0;
  m_WatchDirectlyUntil = m_Now() + RelayRetryDelay;
  loadPage("");
}

void StoreWatcher::pollPeer() {
  if (m_IsAvailable || !m_IsPollingPeers)
    return;
  std::vector<std::string> Peers = m_Observer.peerAddresses();
  if (!Peers.empty()) {
    const std::string &Peer = Peers[m_NextPeer++ % Peers.size()];
    m_Client.call(Peer, PeerItemsCall{m_Revision, Duration::zero()}.call(),
                  PeerTimeout, [this](const CallReply &Reply) {
                    if (m_IsAvailable || !Reply.isOk())
                      return;
                    if (auto Items = PeerItems::decode(Reply.m_Body))
                      applyPeerItems(std::move(*Items));
                  });
  }
  m_PeerTimer.expires_after(PeerInterval);
  m_PeerTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      pollPeer();
  });
}

// Returns true if the items were newer than the known ones.
bool StoreWatcher::applyPeerItems(PeerItems Items) {
  if (Items.m_Revision <= m_Revision)
    return false;
  if (!Items.m_IsComplete)
    return applyChanges(Items.m_Items, Items.m_Revision);
  std::map<std::string, StoreItem> All;
  for (StoreItem &Item : Items.m_Items) {
    std::string Key = Item.m_Key;
    All[Key] = std::move(Item);
  }
  replaceAll(std::move(All), Items.m_Revision);
  return true;
}

// Items

void StoreWatcher::replaceAll(std::map<std::string, StoreItem> Items,
                              std::uint64_t Revision) {
  m_MustReload = false;
  // A peer may have sent a later revision while the pages were read.
  if (Revision < m_Revision)
    return;
  m_Items = std::move(Items);
  m_Revision = Revision;
  m_Changes.clear();
  m_ChangesBaseRevision = Revision;
  m_Observer.itemsReloaded(m_Items);
  m_Observer.revisionChanged();
}

bool StoreWatcher::applyChanges(const std::vector<StoreItem> &Changes,
                                std::uint64_t Revision) {
  for (const StoreItem &Item : Changes) {
    auto Known = m_Items.find(Item.m_Key);
    if (Known != m_Items.end() && Known->second.m_Revision >= Item.m_Revision)
      continue;
    m_Changes.push_back({Item.m_Revision, Item.m_Key});
    if (Item.m_IsDeleted) {
      m_Items.erase(Item.m_Key);
      m_Observer.itemDeleted(Item.m_Key);
    } else {
      m_Items[Item.m_Key] = Item;
      m_Observer.itemChanged(Item);
    }
  }
  while (m_Changes.size() > MaxChanges) {
    m_ChangesBaseRevision =
        std::max(m_ChangesBaseRevision, m_Changes.front().m_Revision);
    m_Changes.pop_front();
  }
  m_Revision = std::max(m_Revision, Revision);
  if (!Changes.empty())
    m_Observer.revisionChanged();
  return !Changes.empty();
}

bool StoreWatcher::isFresh() const {
  return m_Now() - m_LastStoreAnswerAt <=
         fractionOf(m_MaxApplyDelay, MaxAgeFraction);
}

PeerItems StoreWatcher::itemsSince(std::uint64_t Revision) const {
  PeerItems Result;
  Result.m_Revision = m_Revision;
  Result.m_Age = m_Now() - m_LastStoreAnswerAt;
  if (m_Revision <= Revision)
    return Result;
  Result.m_IsComplete = Revision < m_ChangesBaseRevision;
  if (Result.m_IsComplete) {
    for (const auto &[Key, Item] : m_Items)
      Result.m_Items.push_back(Item);
    return Result;
  }
  for (const Change &Entry : m_Changes) {
    if (Entry.m_Revision <= Revision)
      continue;
    auto Found = m_Items.find(Entry.m_Key);
    if (Found == m_Items.end())
      Result.m_Items.push_back({Entry.m_Key, "", Entry.m_Revision, true});
    else if (Found->second.m_Revision == Entry.m_Revision)
      Result.m_Items.push_back(Found->second);
  }
  return Result;
}

} // namespace parsleyring
