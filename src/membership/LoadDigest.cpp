#include "membership/LoadDigest.h"

#include "core/Cbor.h"
#include "membership/IncarnationList.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

using nlohmann::json;

// A smaller demand (requests per second) at a limited endpoint is not reported.
static constexpr double MinReportedDemand = 0.001;
// A smaller demand (kbit/s) for a link is not reported.
static constexpr std::int64_t MinReportedKilobits = 10;
// Digests are sent several times per second, and some are lost.
static constexpr Duration DigestLifetime = std::chrono::milliseconds(1500);
// Caps the suspicion taken from a digest, since the delay of the digest extends
// the suspicion beyond that of the sender.
static constexpr std::int64_t MaxSuspectMs = 5000;

// Bounds of numbers in digests of other VMs.
static constexpr double MaxEncodedRate = 1e9;
static constexpr double MaxLimitAgeMs = 24 * 3600 * 1000;

namespace {

/// How a digest encodes whether the sender got a limit from the endpoint.
enum class LimitState : std::uint8_t { Unknown, InForce, Ended };

} // namespace

// Appends the state of the limit, its rate in thousandths, its age in
// milliseconds and the demand in thousandths.
static void appendLimit(json &Fields, const LoadDigest::Load &Entry) {
  auto Thousandths = [](double Rate) {
    return std::llround(std::min(Rate, MaxEncodedRate) * 1000);
  };
  LimitState State = LimitState::Unknown;
  double Rate = 0;
  std::int64_t AgeMs = 0;
  if (Entry.m_Limit) {
    State = Entry.m_Limit->m_Rate ? LimitState::InForce : LimitState::Ended;
    Rate = Entry.m_Limit->m_Rate.value_or(0);
    AgeMs = Entry.m_Limit->m_Age / std::chrono::milliseconds(1);
  }
  Fields.push_back(static_cast<std::uint8_t>(State));
  Fields.push_back(Thousandths(Rate));
  Fields.push_back(AgeMs);
  Fields.push_back(Thousandths(Entry.m_Demand));
}

// Digests of earlier versions have no limits.
static void readLimit(const json &Fields, LoadDigest::Load &Entry) {
  static constexpr std::size_t Offset = 6;
  if (Fields.size() < Offset + 4)
    return;
  auto Number = [&](std::size_t Index) {
    return Fields[Offset + Index].get<double>();
  };
  auto State = static_cast<LimitState>(Fields[Offset].get<std::uint8_t>());
  // Bounded, since the time at which the limit was stated is computed from it.
  Duration Age = std::chrono::milliseconds(
      std::llround(std::min(Number(2), MaxLimitAgeMs)));
  if (State == LimitState::InForce)
    Entry.m_Limit = LimitReport{Number(1) / 1000, Age};
  else if (State == LimitState::Ended)
    Entry.m_Limit = LimitReport{std::nullopt, Age};
  Entry.m_Demand = std::min(Number(3) / 1000, MaxEncodedRate);
}

static json encodeLinks(const std::vector<LoadDigest::LinkDemand> &Links) {
  json Rows = json::array();
  for (const LoadDigest::LinkDemand &Row : Links)
    Rows.push_back(
        {Row.m_Link.m_First, Row.m_Link.m_Second, Row.m_KilobitsPerSecond});
  return Rows;
}

// Returns nothing if a row is malformed.
static std::optional<std::vector<LoadDigest::LinkDemand>>
decodeLinks(const json &Rows) {
  if (!Rows.is_array() || Rows.size() > LoadDigest::MaxLinks)
    return std::nullopt;
  std::vector<LoadDigest::LinkDemand> Links;
  for (const json &Row : Rows) {
    if (!Row.is_array() || Row.size() < 3 || !Row[0].is_string() ||
        !Row[1].is_string() || !Row[2].is_number_unsigned() || Row[0] == Row[1])
      return std::nullopt;
    double Demand = std::min(Row[2].get<double>(), MaxEncodedRate);
    Links.push_back(
        {DomainLink(Row[0].get<std::string>(), Row[1].get<std::string>()),
         static_cast<std::int64_t>(Demand)});
  }
  return Links;
}

// The largest demand first, at most MaxLinks rows.
static std::vector<LoadDigest::LinkDemand>
linkRows(const std::map<DomainLink, std::int64_t> &Demand) {
  std::vector<LoadDigest::LinkDemand> Rows;
  for (const auto &[Link, KilobitsPerSecond] : Demand)
    if (KilobitsPerSecond >= MinReportedKilobits)
      Rows.push_back({Link, KilobitsPerSecond});
  std::stable_sort(
      Rows.begin(), Rows.end(), [](const auto &Left, const auto &Right) {
        return Left.m_KilobitsPerSecond > Right.m_KilobitsPerSecond;
      });
  Rows.resize(std::min(Rows.size(), LoadDigest::MaxLinks));
  return Rows;
}

std::string LoadDigest::encode() const {
  json Loads = json::array();
  // Integers take fewer bytes than floating-point numbers in CBOR.
  for (const Load &Entry : m_Loads) {
    json Fields = {Entry.m_Endpoint,  std::llround(Entry.m_Tokens),
                   Entry.m_Running,   std::llround(Entry.m_Pace * 100),
                   Entry.m_SuspectMs, Entry.m_RunningAsFirst};
    if (Entry.m_Limit || Entry.m_Demand > 0)
      appendLimit(Fields, Entry);
    Loads.push_back(std::move(Fields));
  }
  std::int64_t AgeMs = m_StoreAnswerAge / std::chrono::milliseconds(1);
  json Root = json{{"from", m_Sender},
                   {"sum", m_IsDomainSum},
                   {"n", m_Number},
                   {"at", m_StoreVersion.m_Revision},
                   {"era", m_StoreVersion.m_Era},
                   {"age", AgeMs},
                   {"configuration", m_ConfigurationVersion},
                   {"leaving", encodeIncarnations(m_Leaving)},
                   {"loads", Loads}};
  if (!m_Links.empty())
    Root["links"] = encodeLinks(m_Links);
  std::vector<std::uint8_t> Bytes = json::to_cbor(Root);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<LoadDigest> LoadDigest::decode(const std::string &Bytes) {
  json Root = parseCbor(Bytes);
  auto Has = [&](const char *Name, bool (json::*IsType)() const) {
    return Root.contains(Name) && (Root[Name].*IsType)();
  };
  if (!Root.is_object() || !Has("from", &json::is_string) ||
      !Has("sum", &json::is_boolean) || !Has("n", &json::is_number_unsigned) ||
      !Has("loads", &json::is_array))
    return std::nullopt;
  LoadDigest Digest;
  Digest.m_Sender = Root["from"].get<std::string>();
  Digest.m_IsDomainSum = Root["sum"].get<bool>();
  Digest.m_Number = Root["n"].get<std::uint64_t>();
  // Digests of earlier versions have no revision, era or configuration.
  if (Has("at", &json::is_number_unsigned) &&
      Has("age", &json::is_number_unsigned)) {
    Digest.m_StoreVersion.m_Revision = Root["at"].get<std::uint64_t>();
    if (Has("era", &json::is_number_unsigned))
      Digest.m_StoreVersion.m_Era = Root["era"].get<std::uint64_t>();
    Digest.m_StoreAnswerAge =
        std::chrono::milliseconds(Root["age"].get<std::int64_t>());
  }
  if (Has("configuration", &json::is_number_unsigned))
    Digest.m_ConfigurationVersion =
        Root["configuration"].get<ConfigurationVersion>();
  // Digests of earlier versions do not tell which endpoints are leaving.
  if (Root.contains("leaving")) {
    auto Leaving = decodeIncarnations(Root["leaving"]);
    if (!Leaving)
      return std::nullopt;
    Digest.m_Leaving = std::move(*Leaving);
  }
  // Digests of earlier versions, and of VMs that use no link, have no links.
  if (Root.contains("links")) {
    auto Links = decodeLinks(Root["links"]);
    if (!Links)
      return std::nullopt;
    Digest.m_Links = std::move(*Links);
  }
  for (const json &Entry : Root["loads"]) {
    if (!Entry.is_array() || Entry.size() < 5 || !Entry[0].is_string())
      return std::nullopt;
    for (std::size_t Index = 1; Index < Entry.size(); ++Index)
      if (!Entry[Index].is_number_unsigned())
        return std::nullopt;
    Digest.m_Loads.push_back(
        {Entry[0].get<std::string>(), Entry[1].get<double>(),
         Entry[2].get<std::uint32_t>(), Entry[3].get<double>() / 100,
         Entry[4].get<std::int64_t>(),
         Entry.size() > 5 ? Entry[5].get<std::uint32_t>() : 0});
    readLimit(Entry, Digest.m_Loads.back());
  }
  return Digest;
}

void LoadDigestTable::resolve(Entry &Known, const FleetTable &Fleet) {
  Known.m_Endpoints.clear();
  for (const LoadDigest::Load &Load : Known.m_Digest.m_Loads)
    Known.m_Endpoints.push_back(Fleet.find(Load.m_Endpoint));
}

void LoadDigestTable::count(const Entry &Known, int Sign) {
  for (std::size_t Index = 0; Index < Known.m_Endpoints.size(); ++Index) {
    const FleetTable::Handle &Endpoint = Known.m_Endpoints[Index];
    if (!Endpoint)
      continue;
    const LoadDigest::Load &Load = Known.m_Digest.m_Loads[Index];
    Endpoint->m_PeerTokens += Sign * Load.m_Tokens;
    Endpoint->m_PeerRunning += Sign * Load.m_Running;
    Endpoint->m_PeerRunningAsFirst += Sign * Load.m_RunningAsFirst;
    Endpoint->m_PeerDemand += Sign * Load.m_Demand;
  }
}

void LoadDigestTable::countLinks(const Entry &Known, int Sign) {
  for (const LoadDigest::LinkDemand &Row : Known.m_Digest.m_Links) {
    std::int64_t &Sum = m_PeerLinks[Row.m_Link];
    Sum += Sign * Row.m_KilobitsPerSecond;
    if (Sum == 0)
      m_PeerLinks.erase(Row.m_Link);
  }
}

void LoadDigestTable::setLinkDemand(
    const std::map<DomainLink, double> &Demand) {
  std::map<DomainLink, std::int64_t> Kilobits;
  for (const auto &[Link, MegabitsPerSecond] : Demand)
    Kilobits[Link] =
        std::llround(std::min(MegabitsPerSecond * 1000, MaxEncodedRate));
  m_OwnLinks = linkRows(Kilobits);
}

double LoadDigestTable::peerLinkDemand(const DomainLink &Link) const {
  auto Found = m_PeerLinks.find(Link);
  return Found == m_PeerLinks.end() ? 0
                                    : static_cast<double>(Found->second) / 1000;
}

DigestChanges LoadDigestTable::apply(const LoadDigest &Digest,
                                     FleetTable &Fleet, Time Now) {
  Entry &Known = m_Entries[Digest.m_Sender];
  // The sums of a failure domain come from several VMs, so their numbers are
  // not ordered.
  bool IsOutdated = !Digest.m_IsDomainSum &&
                    Digest.m_Number <= Known.m_Digest.m_Number &&
                    Now - Known.m_ReceivedAt < DigestLifetime;
  if (IsOutdated)
    return {};
  count(Known, -1);
  countLinks(Known, -1);
  Known.m_Digest = Digest;
  Known.m_ReceivedAt = Now;
  resolve(Known, Fleet);
  count(Known, 1);
  countLinks(Known, 1);
  DigestChanges Changes;
  for (const EndpointIncarnation &Leaving : Digest.m_Leaving)
    if (Fleet.noteLeaving(Leaving, false, Now))
      Changes.m_NewLeaving.push_back(Leaving);
  for (std::size_t Index = 0; Index < Digest.m_Loads.size(); ++Index) {
    const LoadDigest::Load &Load = Digest.m_Loads[Index];
    const FleetTable::Handle &Endpoint = Known.m_Endpoints[Index];
    if (!Endpoint)
      continue;
    if (Load.m_Pace > 0 &&
        !(Endpoint->m_IsOwnPace && Endpoint->isPaceRecent(Now)))
      Endpoint->notePace(Load.m_Pace, false, Now);
    if (Load.m_Limit && Endpoint->m_Limit.apply(*Load.m_Limit, Now))
      Changes.m_NewLimits.push_back(Endpoint);
    if (Load.m_SuspectMs <= 0)
      continue;
    if (Endpoint->m_SuspectUntil <= Now)
      Changes.m_NewSuspects.push_back(Endpoint);
    Time Until = Now + std::chrono::milliseconds(
                           std::min(Load.m_SuspectMs, MaxSuspectMs));
    Endpoint->m_SuspectUntil = std::max(Endpoint->m_SuspectUntil, Until);
  }
  return Changes;
}

void LoadDigestTable::refresh(FleetTable &Fleet, Time Now) {
  for (auto Known = m_Entries.begin(); Known != m_Entries.end();) {
    bool IsSilent = Now - Known->second.m_ReceivedAt >= DigestLifetime;
    if (IsSilent) {
      count(Known->second, -1);
      countLinks(Known->second, -1);
    }
    Known = IsSilent ? m_Entries.erase(Known) : std::next(Known);
  }
  // An endpoint that is listed anew has another object, without the loads.
  if (Fleet.generation() == m_CountedGeneration)
    return;
  m_CountedGeneration = Fleet.generation();
  for (const auto &[Id, Endpoint] : Fleet.endpoints()) {
    Endpoint->m_PeerTokens = 0;
    Endpoint->m_PeerRunning = 0;
    Endpoint->m_PeerRunningAsFirst = 0;
    Endpoint->m_PeerDemand = 0;
  }
  for (auto &[VM, Known] : m_Entries) {
    resolve(Known, Fleet);
    count(Known, 1);
  }
}

std::size_t LoadDigestTable::recentVMCount() const {
  return std::count_if(
      m_Entries.begin(), m_Entries.end(),
      [](const auto &Known) { return !Known.second.m_Digest.m_IsDomainSum; });
}

LoadDigest LoadDigestTable::digestOfVM(const std::string &VM,
                                       const FleetTable &Fleet, Time Now) {
  LoadDigest Digest;
  Digest.m_Sender = VM;
  Digest.m_Number = ++m_LastSentNumber;
  Digest.m_Links = m_OwnLinks;
  Digest.m_Leaving = Fleet.listedLeaving(true, LoadDigest::MaxLeaving);
  for (const auto &[Id, Endpoint] : Fleet.endpoints()) {
    std::int64_t SuspectMs = 0;
    // Only suspicions of this VM are sent; passing on those of other VMs would
    // keep a suspicion alive for ever.
    if (Endpoint->m_OwnSuspectUntil > Now)
      SuspectMs = (Endpoint->m_OwnSuspectUntil - Now).count() / 1000;
    bool IsOwnPaceRecent = Endpoint->m_IsOwnPace && Endpoint->isPaceRecent(Now);
    double Pace = IsOwnPaceRecent ? Endpoint->m_Pace : 0;
    std::optional<LimitReport> Limit = Endpoint->m_Limit.ownReport(Now);
    double Demand =
        Endpoint->m_Limit.rate() ? Endpoint->m_LimitShare.demand(Now) : 0;
    if (Endpoint->m_Running == 0 && SuspectMs == 0 && Pace == 0 && !Limit &&
        Demand < MinReportedDemand)
      continue;
    Digest.m_Loads.push_back({Id, Endpoint->m_Tokens, Endpoint->m_Running, Pace,
                              SuspectMs, Endpoint->m_RunningAsFirst, Limit,
                              Demand});
  }
  return Digest;
}

static bool isNewer(const std::optional<LimitReport> &Left,
                    const std::optional<LimitReport> &Right) {
  return Left && (!Right || Left->m_Age < Right->m_Age);
}

LoadDigest LoadDigestTable::digestOfDomain(const std::string &Domain,
                                           const FleetTable &Fleet, Time Now) {
  LoadDigest Sum = digestOfVM(Domain, Fleet, Now);
  Sum.m_IsDomainSum = true;
  Sum.m_Leaving = Fleet.listedLeaving(false, LoadDigest::MaxLeaving);
  std::map<std::string, std::size_t> IndexByEndpoint;
  for (std::size_t Index = 0; Index < Sum.m_Loads.size(); ++Index)
    IndexByEndpoint[Sum.m_Loads[Index].m_Endpoint] = Index;
  std::map<DomainLink, std::int64_t> LinkSums;
  for (const LoadDigest::LinkDemand &Row : Sum.m_Links)
    LinkSums[Row.m_Link] += Row.m_KilobitsPerSecond;
  for (const auto &[Sender, Known] : m_Entries) {
    if (Known.m_Digest.m_IsDomainSum)
      continue;
    for (const LoadDigest::LinkDemand &Row : Known.m_Digest.m_Links)
      LinkSums[Row.m_Link] += Row.m_KilobitsPerSecond;
    for (LoadDigest::Load Load : Known.m_Digest.m_Loads) {
      if (Load.m_Limit)
        Load.m_Limit->m_Age += Now - Known.m_ReceivedAt;
      auto [Position, IsNew] =
          IndexByEndpoint.emplace(Load.m_Endpoint, Sum.m_Loads.size());
      if (IsNew) {
        Sum.m_Loads.push_back(Load);
        continue;
      }
      LoadDigest::Load &Target = Sum.m_Loads[Position->second];
      Target.m_Tokens += Load.m_Tokens;
      Target.m_Running += Load.m_Running;
      Target.m_RunningAsFirst += Load.m_RunningAsFirst;
      Target.m_Pace = std::max(Target.m_Pace, Load.m_Pace);
      Target.m_Demand += Load.m_Demand;
      if (isNewer(Load.m_Limit, Target.m_Limit))
        Target.m_Limit = Load.m_Limit;
    }
  }
  Sum.m_Links = linkRows(LinkSums);
  return Sum;
}

} // namespace parsleyring
