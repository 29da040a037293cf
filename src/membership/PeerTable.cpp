#include "membership/PeerTable.h"

#include <xxhash.h>

#include <algorithm>

namespace parsleyring {

static constexpr std::size_t TargetsInDomain = 8;
static constexpr std::size_t TargetsPerOtherDomain = 2;
// Heartbeats repeat the notice of a leaving endpoint for this long, for peers
// that missed the first one.
static constexpr Duration LeavingRepeatTime = std::chrono::seconds(60);
static constexpr std::size_t MaxKnownLeaving = 10000;
// Older reports are less accurate than the VM's own counts.
static constexpr Duration MaxLoadReportAge = std::chrono::seconds(5);
static constexpr std::size_t MaxLoadEntries = 64;
static constexpr std::size_t MaxPeerEntries = 16;
// With a single poller, the leaving notice of an endpoint would go unnoticed
// while that VM is paused, or is cut off from the endpoint but not from its
// peers. Detecting this first would take longer than the 3 s allowed.
static constexpr std::size_t PollersPerEndpoint = 2;
// Silent VMs are removed, since VMs are replaced all the time; a partition
// between regions lasts only minutes.
static constexpr Duration SilentPeerLifetime = std::chrono::hours(1);
// Without a full mesh, information about a peer is forwarded by other peers.
static constexpr Duration ForwardedPeerTimeout = std::chrono::seconds(10);

static std::uint64_t rendezvousWeight(const std::string &First,
                                      const std::string &Second) {
  std::string Joined = First + '\0' + Second;
  return XXH64(Joined.data(), Joined.size(), 0);
}

PeerTable::PeerTable(Time Now, const PeerInfo &Self)
    : m_StartedAt(Now), m_Self(Self) {}

void PeerTable::add(const PeerInfo &Info) {
  if (Info.m_Identity.m_VM == m_Self.m_Identity.m_VM || Info.m_Address.empty())
    return;
  Peer &Known = m_Peers[Info.m_Identity.m_VM];
  Known.m_IsListed = true;
  // An address that came from the running peer itself takes precedence.
  if (Known.m_Info.m_Identity.m_Number == 0)
    Known.m_Info = Info;
}

void PeerTable::remove(const std::string &VM) { m_Peers.erase(VM); }

void PeerTable::expire(Time Now) {
  for (auto Item = m_Peers.begin(); Item != m_Peers.end();) {
    const Peer &Candidate = Item->second;
    bool IsExpired = !Candidate.m_IsListed &&
                     Now - Candidate.m_LastHeardAt > SilentPeerLifetime;
    Item = IsExpired ? m_Peers.erase(Item) : std::next(Item);
  }
}

PeerTable::NewEntries PeerTable::receive(Time Now, const Digest &Received) {
  NewEntries Unseen;
  const std::string &VM = Received.m_Sender.m_Identity.m_VM;
  if (VM == m_Self.m_Identity.m_VM)
    return Unseen;
  Peer &Sender = m_Peers[VM];
  // Ignores a delayed digest of an earlier incarnation.
  if (Received.m_Sender.m_Identity.m_Number < Sender.m_Info.m_Identity.m_Number)
    return Unseen;
  Sender.m_Info = Received.m_Sender;
  Sender.m_LastHeardAt = Now;
  Sender.m_IsDraining = Received.m_IsDraining;
  Sender.m_Outstanding = Received.m_Outstanding;
  for (const PeerInfo &Info : Received.m_Peers)
    noteForwardedPeer(Now, Info);
  for (const LeavingEndpoint &Entry : Received.m_Leaving)
    if (addLeaving(Now, Entry))
      Unseen.m_Leaving.push_back(Entry);
  for (const LoadReported &Report : Received.m_Load) {
    auto Known = m_Load.find(Report.m_Endpoint);
    if (Known != m_Load.end() &&
        Known->second.m_Report.m_ReportedAt >= Report.m_ReportedAt)
      continue;
    m_Load[Report.m_Endpoint] = {Report, false};
    Unseen.m_Load.push_back(Report);
  }
  return Unseen;
}

void PeerTable::noteForwardedPeer(Time Now, const PeerInfo &Info) {
  if (Info.m_Identity.m_VM == m_Self.m_Identity.m_VM)
    return;
  Peer &Known = m_Peers[Info.m_Identity.m_VM];
  if (Info.m_Identity.m_Number < Known.m_Info.m_Identity.m_Number)
    return;
  bool IsNewIncarnation =
      Info.m_Identity.m_Number > Known.m_Info.m_Identity.m_Number;
  Known.m_Info = Info;
  if (IsNewIncarnation || Now - Info.m_Age > Known.m_LastHeardAt)
    Known.m_LastHeardAt = Now - Info.m_Age;
}

bool PeerTable::addLeaving(Time Now, const LeavingEndpoint &Entry) {
  if (!m_KnownLeaving.insert(Entry).second)
    return false;
  m_RecentLeaving.push_back({Entry, Now});
  // Bounds the memory, since endpoints come and go as long as the process runs.
  if (m_RecentLeaving.size() > MaxKnownLeaving) {
    m_KnownLeaving.erase(m_RecentLeaving.front().m_Entry);
    m_RecentLeaving.pop_front();
  }
  return true;
}

void PeerTable::addLoad(const LoadReported &Report) {
  LoadRecord &Known = m_Load[Report.m_Endpoint];
  if (Known.m_Report.m_ReportedAt <= Report.m_ReportedAt)
    Known = {Report, true};
  Known.m_Report.m_CachedPrefixes.clear();
}

Digest PeerTable::digest(Time Now) const {
  Digest Result;
  Result.m_Sender = m_Self;
  for (auto Item = m_RecentLeaving.rbegin();
       Item != m_RecentLeaving.rend() &&
       Now - Item->m_LearnedAt < LeavingRepeatTime;
       ++Item)
    Result.m_Leaving.push_back(Item->m_Entry);
  // In a full mesh each peer hears the others directly; forwarding their
  // reports would multiply the traffic by the number of VMs.
  bool IsFullMesh = m_Peers.size() <= MaxFullMeshPeers;
  for (const auto &[Endpoint, Record] : m_Load)
    if (Now - Record.m_Report.m_ReportedAt < MaxLoadReportAge &&
        (Record.m_IsOwn || !IsFullMesh) &&
        Result.m_Load.size() < MaxLoadEntries)
      Result.m_Load.push_back(Record.m_Report);
  if (IsFullMesh)
    return Result;
  // Each digest carries a different part of the table, so that all of it is
  // spread.
  std::size_t Offset = static_cast<std::size_t>(
      Now.time_since_epoch() / HeartbeatInterval * MaxPeerEntries);
  std::vector<std::string> Live = livePeers(Now);
  for (std::size_t Index = 0; Index < std::min(MaxPeerEntries, Live.size());
       ++Index) {
    const Peer &Chosen = m_Peers.at(Live[(Offset + Index) % Live.size()]);
    PeerInfo Info = Chosen.m_Info;
    Info.m_Age = Now - Chosen.m_LastHeardAt;
    Result.m_Peers.push_back(std::move(Info));
  }
  return Result;
}

std::vector<PeerInfo> PeerTable::highestRanked(std::vector<PeerInfo> Candidates,
                                               std::size_t Count) const {
  const std::string &Own = m_Self.m_Identity.m_VM;
  std::sort(Candidates.begin(), Candidates.end(),
            [&Own](const PeerInfo &Left, const PeerInfo &Right) {
              return rendezvousWeight(Own, Left.m_Identity.m_VM) >
                     rendezvousWeight(Own, Right.m_Identity.m_VM);
            });
  if (Candidates.size() > Count)
    Candidates.resize(Count);
  return Candidates;
}

std::vector<PeerInfo> PeerTable::heartbeatTargets(Time Now) const {
  if (m_Peers.size() <= MaxFullMeshPeers)
    return knownPeers();
  std::map<std::string, std::vector<PeerInfo>> Live, Silent;
  for (const auto &[VM, Candidate] : m_Peers) {
    auto &Domains = isLive(Now, Candidate) ? Live : Silent;
    Domains[Candidate.m_Info.m_FailureDomain].push_back(Candidate.m_Info);
  }
  std::vector<PeerInfo> Result;
  auto Append = [&](std::vector<PeerInfo> Chosen) {
    Result.insert(Result.end(), Chosen.begin(), Chosen.end());
  };
  for (const auto &[Domain, Candidates] : Live)
    Append(highestRanked(Candidates, Domain == m_Self.m_FailureDomain
                                         ? TargetsInDomain
                                         : TargetsPerOtherDomain));
  // One silent VM per domain is contacted, so that the domain is found again
  // after a partition.
  for (const auto &[Domain, Candidates] : Silent)
    Append(highestRanked(Candidates, 1));
  return Result;
}

std::vector<PeerInfo> PeerTable::knownPeers() const {
  std::vector<PeerInfo> Result;
  for (const auto &[VM, Candidate] : m_Peers)
    Result.push_back(Candidate.m_Info);
  return Result;
}

bool PeerTable::isLive(Time Now, const Peer &Candidate) const {
  Duration Limit =
      m_Peers.size() <= MaxFullMeshPeers ? PeerTimeout : ForwardedPeerTimeout;
  return Candidate.m_LastHeardAt != Time() &&
         Now - Candidate.m_LastHeardAt < Limit;
}

bool PeerTable::isAlive(Time Now, const std::string &VM) const {
  auto Found = m_Peers.find(VM);
  return Found != m_Peers.end() && isLive(Now, Found->second);
}

std::vector<std::string> PeerTable::livePeers(Time Now) const {
  std::vector<std::string> Result;
  for (const auto &[VM, Candidate] : m_Peers)
    if (isLive(Now, Candidate))
      Result.push_back(VM);
  return Result;
}

PeersChanged PeerTable::summary(Time Now) const {
  PeersChanged Result;
  std::map<std::string, bool> HasLivePeer;
  for (const auto &[VM, Candidate] : m_Peers) {
    bool IsLivePeer = isLive(Now, Candidate);
    HasLivePeer[Candidate.m_Info.m_FailureDomain] |= IsLivePeer;
    if (!IsLivePeer)
      continue;
    if (!Candidate.m_IsDraining)
      ++Result.m_LivePeers;
    for (const auto &[Account, Count] : Candidate.m_Outstanding)
      Result.m_PeerOutstanding[Account] += Count;
  }
  // Right after the start no peer has been heard from yet, which does not mean
  // that domains are unreachable.
  if (Now - m_StartedAt < PeerTimeout)
    return Result;
  for (const auto &[Domain, IsReachable] : HasLivePeer)
    if (!IsReachable && Domain != m_Self.m_FailureDomain)
      Result.m_UnreachableDomains.push_back(Domain);
  return Result;
}

bool PeerTable::isPoller(Time Now, const std::string &Endpoint,
                         const std::string &FailureDomain) const {
  std::uint64_t Own = rendezvousWeight(m_Self.m_Identity.m_VM, Endpoint);
  std::size_t InDomain = m_Self.m_FailureDomain == FailureDomain ? 1 : 0;
  // Number of live VMs that rank before this VM, by failure domain of the VM.
  std::size_t AheadInDomain = 0, AheadInOwnDomain = 0, AheadElsewhere = 0;
  for (const auto &[VM, Other] : m_Peers) {
    if (Other.m_IsDraining || !isLive(Now, Other))
      continue;
    const std::string &Domain = Other.m_Info.m_FailureDomain;
    bool IsAhead = rendezvousWeight(VM, Endpoint) > Own;
    InDomain += Domain == FailureDomain;
    (Domain == FailureDomain            ? AheadInDomain
     : Domain == m_Self.m_FailureDomain ? AheadInOwnDomain
                                        : AheadElsewhere) += IsAhead;
  }
  if (m_Self.m_FailureDomain == FailureDomain)
    return AheadInDomain < PollersPerEndpoint;
  if (InDomain == 0)
    return AheadInOwnDomain == 0;
  return AheadInOwnDomain + AheadElsewhere + InDomain < PollersPerEndpoint;
}

} // namespace parsleyring
