#include "peers/ThriftPeerNetwork.h"

#include "peers/PeerConnection.h"

#include <glog/logging.h>

#include <algorithm>

namespace parsleyring {

static constexpr std::chrono::milliseconds TableUpdateInterval(100);
// A digest contains only the accounts with the most outstanding requests, since
// these are the ones that can reach their limits.
static constexpr std::size_t MaxAccountsInDigest = 16;

ThriftPeerNetwork::ThriftPeerNetwork(const PeerInfo &Self,
                                     const std::vector<PeerInfo> &Seeds,
                                     std::function<Time()> Now,
                                     const PeerCallbacks &Callbacks)
    : m_Now(std::move(Now)), m_Callbacks(Callbacks), m_Self(Self),
      m_Service(Self.m_Address, Self.m_Identity, Callbacks,
                [this](const Digest &Received) { receive(Received); }),
      m_Table(m_Now(), Self) {
  for (const PeerInfo &Seed : Seeds)
    m_Table.add(Seed);
}

ThriftPeerNetwork::~ThriftPeerNetwork() { stop(); }

void ThriftPeerNetwork::start() {
  m_Service.start();
  m_IsStarted = true;
  m_TableThread = std::thread([this] { runTableUpdates(); });
}

void ThriftPeerNetwork::stop() {
  if (!m_IsStarted)
    return;
  m_IsStarted = false;
  std::vector<std::shared_ptr<HeartbeatSender>> Stopped;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsStopping = true;
  }
  m_Wakeup.notify_all();
  m_TableThread.join();
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    for (auto &[VM, Item] : m_Senders) {
      Item->m_IsStopping = true;
      Stopped.push_back(Item);
    }
    m_Senders.clear();
  }
  stopSenders(Stopped);
  m_Service.stop();
}

void ThriftPeerNetwork::stopSenders(
    std::vector<std::shared_ptr<HeartbeatSender>> &Stopped) {
  m_Wakeup.notify_all();
  for (auto &Item : Stopped)
    Item->m_Thread.join();
}

void ThriftPeerNetwork::updateVMs(const std::vector<PeerInfo> &Present,
                                  const std::vector<std::string> &Unlisted) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  for (const PeerInfo &Info : Present)
    m_Table.add(Info);
  for (const std::string &VM : Unlisted)
    m_Table.remove(VM);
}

void ThriftPeerNetwork::runTableUpdates() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_IsStopping) {
    Time Now = m_Now();
    m_Table.expire(Now);
    Lock.unlock();
    updateSenders(Now);
    postChanges(Now);
    Lock.lock();
    m_Wakeup.wait_for(Lock, TableUpdateInterval,
                      [this] { return m_IsStopping; });
  }
}

void ThriftPeerNetwork::updateSenders(Time Now) {
  std::vector<std::shared_ptr<HeartbeatSender>> Stopped;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    std::map<std::string, PeerInfo> Wanted;
    for (const PeerInfo &Target : m_Table.heartbeatTargets(Now))
      Wanted[Target.m_Identity.m_VM] = Target;
    for (auto Item = m_Senders.begin(); Item != m_Senders.end();) {
      auto Found = Wanted.find(Item->first);
      bool IsCurrent =
          Found != Wanted.end() &&
          Found->second.m_Address == Item->second->m_Target.m_Address;
      if (IsCurrent) {
        ++Item;
        continue;
      }
      Item->second->m_IsStopping = true;
      Stopped.push_back(Item->second);
      Item = m_Senders.erase(Item);
    }
    for (const auto &[VM, Target] : Wanted) {
      if (m_Senders.count(VM))
        continue;
      auto Added = std::make_shared<HeartbeatSender>();
      Added->m_Target = Target;
      Added->m_Thread = std::thread([this, Added] { sendHeartbeats(Added); });
      m_Senders[VM] = Added;
    }
  }
  stopSenders(Stopped);
}

static std::string summaryKey(const PeersChanged &Summary) {
  std::string Key = std::to_string(Summary.m_LivePeers);
  for (const auto &[Account, Count] : Summary.m_PeerOutstanding)
    Key += " " + Account + "=" + std::to_string(Count);
  for (const std::string &Domain : Summary.m_UnreachableDomains)
    Key += " -" + Domain;
  return Key;
}

void ThriftPeerNetwork::postChanges(Time Now) {
  PeersChanged Summary;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Summary = m_Table.summary(Now);
    std::string Key = summaryKey(Summary);
    if (Key == m_LastSummary)
      return;
    m_LastSummary = Key;
  }
  m_Callbacks.m_Post(Summary);
}

Digest ThriftPeerNetwork::currentDigest() const {
  std::map<std::string, std::uint32_t> Outstanding =
      m_Callbacks.m_Outstanding();
  std::vector<std::pair<std::uint32_t, std::string>> Largest;
  for (const auto &[Account, Count] : Outstanding)
    Largest.emplace_back(Count, Account);
  std::sort(Largest.rbegin(), Largest.rend());
  if (Largest.size() > MaxAccountsInDigest)
    Largest.resize(MaxAccountsInDigest);
  ConfigurationVersion Version = m_Callbacks.m_ConfigurationVersion();

  std::lock_guard<std::mutex> Lock(m_Mutex);
  Digest Result = m_Table.digest(m_Now());
  Result.m_IsDraining = m_IsDraining;
  Result.m_ConfigurationVersion = Version;
  for (const auto &[Count, Account] : Largest)
    Result.m_Outstanding[Account] = Count;
  return Result;
}

void ThriftPeerNetwork::sendHeartbeats(
    const std::shared_ptr<HeartbeatSender> &Self) {
  PeerConnection Connection(Self->m_Target.m_Address, m_Callbacks.m_CountBytes);
  bool WasAnswered = true;
  for (;;) {
    bool IsAnswered = true;
    try {
      Connection.heartbeat(currentDigest());
    } catch (const PeerError &Error) {
      IsAnswered = false;
      if (WasAnswered)
        LOG(WARNING) << "peer does not answer heartbeats: " << Error.what();
    }
    if (IsAnswered && !WasAnswered)
      LOG(INFO) << "heartbeats are answered again by VM "
                << Self->m_Target.m_Identity.m_VM;
    WasAnswered = IsAnswered;
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Wakeup.wait_for(Lock, HeartbeatInterval, [&] {
      return Self->m_IsStopping || Self->m_IsSendRequested;
    });
    if (Self->m_IsStopping)
      return;
    Self->m_IsSendRequested = false;
  }
}

void ThriftPeerNetwork::receive(const Digest &Received) {
  PeerTable::NewEntries NewEntries;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    NewEntries = m_Table.receive(m_Now(), Received);
    // Forwards leaving endpoints immediately: this VM may reach VMs that the
    // sender does not reach, and vice versa.
    if (!NewEntries.m_Leaving.empty())
      for (auto &[VM, Item] : m_Senders)
        Item->m_IsSendRequested = true;
  }
  if (!NewEntries.m_Leaving.empty())
    m_Wakeup.notify_all();
  for (const LeavingEndpoint &Entry : NewEntries.m_Leaving)
    m_Callbacks.m_Post(EndpointLeaving{Entry.m_Endpoint, Entry.m_Incarnation,
                                       LeavingSource::Peer});
  for (const LoadReported &Report : NewEntries.m_Load)
    m_Callbacks.m_Post(Report);
  if (Received.m_ConfigurationVersion > m_Callbacks.m_ConfigurationVersion())
    m_Callbacks.m_NewerConfiguration(Received.m_Sender.m_Identity.m_VM,
                                     Received.m_ConfigurationVersion);
}

void ThriftPeerNetwork::announceLeaving(const std::string &Endpoint,
                                        const std::string &Incarnation) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (!m_Table.addLeaving(m_Now(), {Endpoint, Incarnation}))
      return;
    for (auto &[VM, Item] : m_Senders)
      Item->m_IsSendRequested = true;
  }
  m_Wakeup.notify_all();
}

void ThriftPeerNetwork::noteLoad(const LoadReported &Report) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Table.addLoad(Report);
}

bool ThriftPeerNetwork::isPoller(const std::string &Endpoint,
                                 const std::string &FailureDomain) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Table.isPoller(m_Now(), Endpoint, FailureDomain);
}

void ThriftPeerNetwork::startDraining() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsDraining = true;
    for (auto &[VM, Item] : m_Senders)
      Item->m_IsSendRequested = true;
  }
  m_Wakeup.notify_all();
}

std::optional<std::string>
ThriftPeerNetwork::addressOf(const std::string &VM) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  for (const PeerInfo &Info : m_Table.knownPeers())
    if (Info.m_Identity.m_VM == VM && !Info.m_Address.empty())
      return Info.m_Address;
  return std::nullopt;
}

/// Runs one call on its own connection; empty if Address is empty or the call
/// fails.
template <typename Call>
static auto callPeer(const PeerCallbacks &Callbacks,
                     const std::optional<std::string> &Address, Call &&MakeCall)
    -> std::optional<decltype(MakeCall(std::declval<PeerConnection &>()))> {
  if (!Address)
    return std::nullopt;
  try {
    PeerConnection Connection(*Address, Callbacks.m_CountBytes);
    return MakeCall(Connection);
  } catch (const PeerError &Error) {
    VLOG(1) << Error.what();
    return std::nullopt;
  }
}

std::optional<RemoteAnswer>
ThriftPeerNetwork::requestState(const OwnedId &Request,
                                std::uint32_t FromPosition) {
  return callPeer(m_Callbacks, addressOf(Request.m_Owner.m_VM),
                  [&](PeerConnection &Peer) {
                    return Peer.requestState(Request, FromPosition);
                  });
}

std::optional<RemoteAnswer>
ThriftPeerNetwork::keyState(const Incarnation &Owner,
                            const std::string &Account,
                            const std::string &Key) {
  return callPeer(
      m_Callbacks, addressOf(Owner.m_VM),
      [&](PeerConnection &Peer) { return Peer.keyState(Owner, Account, Key); });
}

std::optional<ReservationTable::TakeResult>
ThriftPeerNetwork::takeReservation(const OwnedId &Key,
                                   const RequestClaim &Request) {
  return callPeer(
      m_Callbacks, addressOf(Key.m_Owner.m_VM), [&](PeerConnection &Peer) {
        return Peer.takeReservation(Key, Request, m_Self.m_Identity.m_VM);
      });
}

void ThriftPeerNetwork::endReservation(const OwnedId &Key,
                                       const std::string &Text,
                                       ClaimFinalState End) {
  callPeer(m_Callbacks, addressOf(Key.m_Owner.m_VM), [&](PeerConnection &Peer) {
    Peer.endReservation(Key, Text, End);
    return true;
  });
}

std::optional<std::string>
ThriftPeerNetwork::fetchHead(const std::string &PeerVM) {
  return callPeer(m_Callbacks, addressOf(PeerVM),
                  [](PeerConnection &Peer) { return Peer.fetchHead(); });
}

std::optional<std::string>
ThriftPeerNetwork::fetchChunk(const std::string &PeerVM,
                              const std::string &Sha256) {
  return callPeer(m_Callbacks, addressOf(PeerVM), [&](PeerConnection &Peer) {
    return Peer.fetchChunk(Sha256);
  });
}

std::vector<std::string> ThriftPeerNetwork::livePeers() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Table.livePeers(m_Now());
}

} // namespace parsleyring
