#include "store/StoreWatcher.h"

#include <charconv>

namespace parsleyring {

// Longest wait of a poll while the reports of other VMs confirm the items.
static constexpr Duration ConfirmedWait = std::chrono::seconds(4);
// The following fractions of the time within which a change must apply leave
// time for two answers in a row to be lost.
static constexpr double WaitFraction = 0.3;
static constexpr double AnswerFraction = 0.25;
static constexpr double MaxAgeFraction = 0.6;
// A VM that other VMs are ahead of waits this fraction for its own poll, since
// a change does not reach all VMs at the same moment.
static constexpr double BehindFraction = 0.15;
static constexpr double QuestionFraction = 0.1;
// The store also counts refused calls against its rate limits, so the retry
// delay grows. VMs on which no other one relies retry less often.
static constexpr double FirstRetryFraction = 0.06;
static constexpr double MaxPrimaryRetryFraction = 0.2;
static constexpr double MaxRetryFraction = 0.35;
// A poll that is not answered in time may still get a late answer.
static constexpr Duration LateAnswerTime = std::chrono::milliseconds(1500);
// After all relays have failed, the store is watched directly for this long.
static constexpr Duration RelayRetryDelay = std::chrono::seconds(10);
// Delay before the next poll after a change. Changes come in groups, and each
// answer causes work on every VM, so one answer should contain several changes.
static constexpr double BatchingFraction = 0.075;
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

// Polls

std::uint64_t StoreWatcher::beginPoll(Duration Wait) {
  m_IsPolling = true;
  m_IsPollingRelay = false;
  m_PollWait = Wait;
  m_PollDueAt = m_Now() + Wait + fractionOf(m_MaxApplyDelay, AnswerFraction);
  return ++m_NewestPoll;
}

// Ends a poll that got an answer, and all others. Returns false if another one
// was answered before, so that this one must not go on.
bool StoreWatcher::endPoll(std::uint64_t Poll) {
  if (Poll < m_OldestPoll)
    return false;
  m_OldestPoll = ++m_NewestPoll;
  m_IsPolling = false;
  m_RetryTimer.cancel();
  return true;
}

// 0 if the answer does not tell.
std::uint64_t StoreWatcher::eraOf(const CallReply &Reply) const {
  std::string Text = Reply.m_Head.field(m_Protocol.eraHeader());
  std::uint64_t Era = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Era);
  bool IsNumber = Error == std::errc() && End == Text.data() + Text.size();
  return IsNumber ? Era : 0;
}

// Ends a poll that the store itself has answered. An answer of an older era,
// which was sent before the restoration, does not end it.
bool StoreWatcher::acceptStoreAnswer(std::uint64_t Poll,
                                     const CallReply &Reply) {
  std::uint64_t Era = eraOf(Reply);
  if (Era < m_NewestEra) {
    failPoll(Poll);
    return false;
  }
  if (!endPoll(Poll))
    return false;
  m_NewestEra = Era;
  m_LastStoreAnswerAt = m_Now();
  markAvailable();
  return true;
}

// The failure of an older poll tells nothing about the newest one.
void StoreWatcher::failPoll(std::uint64_t Poll) {
  if (Poll == m_NewestPoll && m_IsPolling)
    handleFailure();
}

void StoreWatcher::tick() {
  updateFreshness();
  if (m_IsPolling && m_Now() >= m_PollDueAt) {
    if (m_IsPollingRelay)
      handleRelayFailure();
    else
      handleFailure();
  } else if (m_IsPolling && m_PollWait > Duration::zero() && !isFresh()) {
    // The poll waits for a change, but nothing shows that it would hear of one.
    pollNext();
  }
  askNewerPeer();
}

void StoreWatcher::pollNext() {
  if (m_MustReload)
    loadPage(std::make_shared<Reload>(), "");
  else if (isFresh() && m_Now() >= m_WatchDirectlyUntil &&
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

// Without recent confirmation the answer should come at once, since it also
// shows whether the store answers again.
Duration StoreWatcher::pollWait() const {
  if (m_Failures > 0 || !isFresh())
    return Duration::zero();
  bool IsConfirmedByOthers =
      m_Now() - m_LastReportAt < fractionOf(m_MaxApplyDelay, WaitFraction);
  if (IsConfirmedByOthers && !m_Observer.isPrimaryWatcher())
    return ConfirmedWait;
  return fractionOf(m_MaxApplyDelay, WaitFraction);
}

void StoreWatcher::handleFailure() {
  m_IsPolling = false;
  ++m_Failures;
  // After an outage the changes since then may be many times as large as the
  // items themselves.
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
  Duration MaxDelay = fractionOf(m_MaxApplyDelay, m_Observer.isPrimaryWatcher()
                                                      ? MaxPrimaryRetryFraction
                                                      : MaxRetryFraction);
  Duration Delay =
      std::min(MaxDelay, fractionOf(m_MaxApplyDelay, FirstRetryFraction) *
                             m_Failures * m_Failures);
  schedulePoll(Delay + Duration(m_Random() % Delay.count() / 2));
}

// Reading the store

void StoreWatcher::loadPage(const std::shared_ptr<Reload> &Pages,
                            const std::string &After) {
  std::uint64_t Poll = beginPoll(Duration::zero());
  m_Client.call(m_StoreAddress, m_Protocol.rangeCall("", After), LateAnswerTime,
                [this, Pages, Poll](const CallReply &Reply) {
                  handlePage(Pages, Reply, Poll);
                });
}

void StoreWatcher::handlePage(const std::shared_ptr<Reload> &Pages,
                              const CallReply &Reply, std::uint64_t Poll) {
  std::optional<StorePage> Page;
  if (Reply.isOk())
    Page = m_Protocol.parsePage(Reply.m_Body);
  if (!Page) {
    failPoll(Poll);
    return;
  }
  if (!acceptStoreAnswer(Poll, Reply))
    return;
  StoreVersion Version{eraOf(Reply), Page->m_Revision};
  // The pages are not one snapshot, so the watch starts at the revision of the
  // first page. Pages of an older era are of no use.
  if (Pages->m_Version.m_Era != Version.m_Era && !Pages->m_Items.empty()) {
    pollNext();
    return;
  }
  if (Pages->m_Version == StoreVersion())
    Pages->m_Version = Version;
  std::string Last;
  for (StoreItem &Item : Page->m_Items) {
    Last = Item.m_Key;
    Pages->m_Items[Item.m_Key] = std::move(Item);
  }
  if (Page->m_HasMore && !Last.empty()) {
    loadPage(Pages, Last);
    return;
  }
  bool IsSuperseded = Pages->m_Version < m_Version;
  replaceAll(std::move(Pages->m_Items), Pages->m_Version);
  confirm(Version, m_Now());
  // Without the delay, a store that goes back without a new era would be asked
  // again and again.
  if (IsSuperseded)
    schedulePoll(fractionOf(m_MaxApplyDelay, BatchingFraction));
  else
    pollNext();
}

void StoreWatcher::watch() {
  Duration Wait = pollWait();
  StoreVersion Watched = m_Version;
  std::uint64_t Poll = beginPoll(Wait);
  m_Client.call(
      m_StoreAddress, m_Protocol.watchCall("", Watched.m_Revision, Wait),
      Wait + LateAnswerTime, [this, Watched, Poll](const CallReply &Reply) {
        handleChanges(Reply, Watched, Poll);
      });
}

void StoreWatcher::handleChanges(const CallReply &Reply,
                                 const StoreVersion &Watched,
                                 std::uint64_t Poll) {
  std::optional<StorePage> Changes;
  if (Reply.isOk())
    Changes = m_Protocol.parseChanges(Reply.m_Body);
  if (!Changes && Reply.m_Status != 410) {
    failPoll(Poll);
    return;
  }
  if (!acceptStoreAnswer(Poll, Reply))
    return;
  // In a new era, the changes since the known revision are not those that this
  // VM lacks.
  if (!Changes || m_NewestEra != Watched.m_Era) {
    m_MustReload = true;
    pollNext();
    return;
  }
  // Items from a peer may already be newer than this reply.
  StoreVersion Version{m_NewestEra, Changes->m_Revision};
  bool IsSuperseded = Watched < m_Version;
  bool HasChanges =
      !IsSuperseded && applyChanges(Changes->m_Items, Changes->m_Revision);
  confirm(Version, m_Now());
  if (HasChanges)
    schedulePoll(fractionOf(m_MaxApplyDelay, BatchingFraction));
  else
    pollNext();
}

void StoreWatcher::markAvailable() {
  m_Failures = 0;
  if (m_IsAvailable)
    return;
  m_IsAvailable = true;
  m_IsPollingPeers = false;
  m_PeerTimer.cancel();
  Duration Outage = m_UnavailableSince == Time{} ? Duration::zero()
                                                 : m_Now() - m_UnavailableSince;
  m_Observer.availabilityChanged(true, Outage);
}

// Freshness

bool StoreWatcher::isFresh() const {
  return confirmationAge() <= fractionOf(m_MaxApplyDelay, MaxAgeFraction);
}

// Version was the newest one at the time At. That says nothing about the known
// items if they are older, or about a newer era.
void StoreWatcher::confirm(const StoreVersion &Version, Time At) {
  if (Version.m_Era == m_NewestEra && Version <= m_Version)
    m_ConfirmedAt = std::max(m_ConfirmedAt, At);
  updateFreshness();
}

bool StoreWatcher::isBehindPeer() const {
  return m_Version < m_ReportedVersion &&
         m_Now() - m_BehindSince >= fractionOf(m_MaxApplyDelay, BehindFraction);
}

void StoreWatcher::updateFreshness() {
  bool IsFresh = isFresh() && !isBehindPeer();
  if (IsFresh == m_WasFresh || m_Version == StoreVersion())
    return;
  m_WasFresh = IsFresh;
  m_Observer.freshnessChanged(IsFresh, confirmationAge(),
                              std::max(m_Version, m_ReportedVersion));
}

void StoreWatcher::noteReport(const StoreVersion &Version, Duration Age,
                              const std::string &PeerAddress) {
  Time Now = m_Now();
  if (Version.m_Era < m_NewestEra)
    return;
  if (Version <= m_Version) {
    Time ConfirmedAt = Now - Age;
    m_LastReportAt = std::max(m_LastReportAt, ConfirmedAt);
    confirm(Version, ConfirmedAt);
    return;
  }
  if (m_ReportedVersion <= m_Version)
    m_BehindSince = Now;
  m_ReportedVersion = std::max(m_ReportedVersion, Version);
  m_ReportingPeer = PeerAddress;
}

// Asks the VM that is ahead, and the store in turn with it: the own poll should
// have brought the change, so its answer was probably lost.
void StoreWatcher::askNewerPeer() {
  Time Now = m_Now();
  if (!isBehindPeer() || Now < m_NextQuestionAt)
    return;
  m_NextQuestionAt = Now + fractionOf(m_MaxApplyDelay, QuestionFraction);
  bool AsksStore = m_AsksStoreNext;
  m_AsksStoreNext = !m_AsksStoreNext;
  if (!AsksStore)
    askPeer(m_ReportingPeer);
  else if (m_IsPolling && m_PollWait > Duration::zero())
    watch();
}

// Polling other VMs

void StoreWatcher::pollRelay() {
  std::vector<std::string> Relays = m_Observer.relayAddresses();
  const std::string &Relay = Relays[m_NextRelay % Relays.size()];
  PeerItemsCall Call{m_Version, pollWait()};
  std::uint64_t Poll = beginPoll(Call.m_Wait);
  m_IsPollingRelay = true;
  m_Client.call(
      Relay, Call.call(), Call.m_Wait + LateAnswerTime,
      [this, Poll](const CallReply &Reply) { handleRelayReply(Reply, Poll); });
}

void StoreWatcher::handleRelayReply(const CallReply &Reply,
                                    std::uint64_t Poll) {
  std::optional<PeerItems> Items;
  if (Reply.isOk())
    Items = PeerItems::decode(Reply.m_Body);
  bool IsFreshRelay =
      Items && Items->m_Age <= fractionOf(m_MaxApplyDelay, MaxAgeFraction);
  if (!IsFreshRelay) {
    if (Items)
      applyPeerItems(std::move(*Items));
    if (Poll == m_NewestPoll && m_IsPolling)
      handleRelayFailure();
    return;
  }
  if (!endPoll(Poll))
    return;
  m_RelayFailures = 0;
  markAvailable();
  StoreVersion Version = Items->m_Version;
  Time ConfirmedAt = m_Now() - Items->m_Age;
  bool HasChanges = applyPeerItems(std::move(*Items));
  confirm(Version, ConfirmedAt);
  if (HasChanges)
    schedulePoll(fractionOf(m_MaxApplyDelay, BatchingFraction));
  else
    pollNext();
}

// Tries the next relay; if all have failed, the store itself.
void StoreWatcher::handleRelayFailure() {
  ++m_NextRelay;
  if (++m_RelayFailures >= m_Observer.relayAddresses().size()) {
    m_RelayFailures = 0;
    m_WatchDirectlyUntil = m_Now() + RelayRetryDelay;
  }
  pollNext();
}

void StoreWatcher::askPeer(const std::string &Address) {
  m_Client.call(Address, PeerItemsCall{m_Version, Duration::zero()}.call(),
                PeerTimeout, [this](const CallReply &Reply) {
                  std::optional<PeerItems> Items;
                  if (Reply.isOk())
                    Items = PeerItems::decode(Reply.m_Body);
                  if (!Items)
                    return;
                  StoreVersion Version = Items->m_Version;
                  Time ConfirmedAt = m_Now() - Items->m_Age;
                  applyPeerItems(std::move(*Items));
                  confirm(Version, ConfirmedAt);
                });
}

// Asks any VM while the store is unavailable, unless other VMs report which
// revision they know.
void StoreWatcher::pollPeer() {
  if (m_IsAvailable || !m_IsPollingPeers)
    return;
  std::vector<std::string> Peers = m_Observer.peerAddresses();
  bool HasReports = m_Now() - m_LastReportAt < PeerInterval;
  if (!Peers.empty() && !HasReports)
    askPeer(Peers[m_NextPeer++ % Peers.size()]);
  m_PeerTimer.expires_after(PeerInterval);
  m_PeerTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      pollPeer();
  });
}

// Returns true if the items were newer than the known ones.
bool StoreWatcher::applyPeerItems(PeerItems Items) {
  const StoreVersion &Version = Items.m_Version;
  if (Version <= m_Version || Version.m_Era < m_NewestEra)
    return false;
  if (!Items.m_IsComplete)
    return Version.m_Era == m_Version.m_Era &&
           applyChanges(Items.m_Items, Version.m_Revision);
  m_NewestEra = Version.m_Era;
  std::map<std::string, StoreItem> All;
  for (StoreItem &Item : Items.m_Items) {
    std::string Key = Item.m_Key;
    All[Key] = std::move(Item);
  }
  replaceAll(std::move(All), Version);
  return true;
}

// Items

void StoreWatcher::replaceAll(std::map<std::string, StoreItem> Items,
                              const StoreVersion &Version) {
  m_MustReload = false;
  // A peer may have sent a later version while the pages were read.
  if (Version < m_Version)
    return;
  bool IsRestored = m_Version.m_Era != 0 && m_Version.m_Era != Version.m_Era;
  if (IsRestored)
    m_Observer.storeRestored(Version);
  m_Items = std::move(Items);
  m_Version = Version;
  m_Changes.clear();
  m_ChangesBaseRevision = Version.m_Revision;
  m_Observer.itemsReloaded(m_Items, IsRestored);
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
  m_Version.m_Revision = std::max(m_Version.m_Revision, Revision);
  if (!Changes.empty())
    m_Observer.revisionChanged();
  return !Changes.empty();
}

// A VM of an earlier version tells no era. It knows the items of this era
// unless the store has been restored since.
StoreVersion StoreWatcher::withEra(StoreVersion Known) const {
  if (Known.m_Era == 0)
    Known.m_Era = m_Version.m_Era;
  return Known;
}

PeerItems StoreWatcher::itemsSince(const StoreVersion &Version) const {
  PeerItems Result;
  Result.m_Version = m_Version;
  Result.m_Age = confirmationAge();
  if (!hasNewerThan(Version))
    return Result;
  StoreVersion Known = withEra(Version);
  Result.m_IsComplete = Known.m_Era != m_Version.m_Era ||
                        Known.m_Revision < m_ChangesBaseRevision;
  if (Result.m_IsComplete) {
    for (const auto &[Key, Item] : m_Items)
      Result.m_Items.push_back(Item);
    return Result;
  }
  for (const Change &Entry : m_Changes) {
    if (Entry.m_Revision <= Known.m_Revision)
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
