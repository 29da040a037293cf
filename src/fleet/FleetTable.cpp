#include "fleet/FleetTable.h"

#include "core/NameTable.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

// Weight of the newest result in the moving averages.
static constexpr double NewestResultWeight = 0.2;
// A failure domain is taken to be cut off if this many of its endpoints did not
// answer within this time; single engines fail one at a time.
static constexpr int MinSilentEndpoints = 3;
static constexpr Duration SilenceTime = std::chrono::seconds(1);
// Half-life of the failure rate, so that a recovered endpoint is tried again
// without probes.
static constexpr double FailureHalfLifeSeconds = 3;
// An endpoint whose answer took 80 times as long as those of the others (400 ms
// and 5 ms) costs about the same again after six half-lives.
static constexpr double LatencyHalfLifeSeconds = 2;
// Longer than a copy from which the list is restored can be old.
static constexpr Duration LeftMemory = std::chrono::minutes(5);

static constexpr NameTable<EndpointAvailability, 5> EndpointAvailabilityNames{
    {"available", "removed", "leaving", "resting", "suspect"}};

std::string_view name(EndpointAvailability Value) {
  return EndpointAvailabilityNames.name(Value);
}

EndpointAvailability FleetEndpoint::availability(Time Now) const {
  if (m_IsRemoved)
    return EndpointAvailability::Removed;
  if (isLeaving())
    return EndpointAvailability::Leaving;
  if (m_Rest.isResting(Now))
    return EndpointAvailability::Resting;
  if (m_SuspectUntil > Now)
    return EndpointAvailability::Suspect;
  return EndpointAvailability::Available;
}

double FleetEndpoint::failureRate(Time Now) const {
  double Seconds =
      std::chrono::duration<double>(Now - m_FailureRateUpdatedAt).count();
  return m_FailureRate *
         std::exp2(-std::max(0.0, Seconds) / FailureHalfLifeSeconds);
}

bool FleetEndpoint::isWithinLimit(LimitUsers Users, double Random, Time Now) {
  std::optional<double> Limit = m_Limit.rate();
  if (!Limit) {
    m_LimitShare.stop();
    return true;
  }
  Users.m_ReportedDemand = m_PeerDemand;
  Users.m_LimitAge = Now - m_Limit.knownSince();
  m_LimitShare.update(*Limit, Users, Random, Now);
  return m_LimitShare.hasCredit();
}

void FleetEndpoint::noteResult(bool IsSuccess, Duration Latency, Time Now) {
  m_FailureRate = failureRate(Now) * (1 - NewestResultWeight) +
                  (IsSuccess ? 0 : NewestResultWeight);
  m_FailureRateUpdatedAt = Now;
  double Milliseconds =
      std::chrono::duration<double, std::milli>(Latency).count();
  double OldWeight =
      m_LatencyMs == 0 ? 0 : (1 - NewestResultWeight) * latencyWeight(Now);
  m_LatencyMs = m_LatencyMs * OldWeight + Milliseconds * (1 - OldWeight);
  m_LatencyNotedAt = Now;
}

double FleetEndpoint::latencyWeight(Time Now) const {
  double Seconds =
      std::chrono::duration<double>(Now - m_LatencyNotedAt).count();
  return std::exp2(-std::max(0.0, Seconds) / LatencyHalfLifeSeconds);
}

double FleetEndpoint::expectedLatencyMs(double LowestMs, Time Now) const {
  if (m_LatencyMs <= LowestMs)
    return m_LatencyMs;
  return LowestMs + (m_LatencyMs - LowestMs) * latencyWeight(Now);
}

// A full endpoint has capacity again soon. An endpoint that is cut off or lacks
// its layers keeps rejecting, and each attempt would use up a retry.
void FleetEndpoint::noteRejection(bool IsInOwnDomain, Time Now) {
  int Doublings = std::min(m_ConsecutiveRejections, MaxRejectionDoublings);
  // Rejections of requests that were sent at the same time count once.
  if (m_SuspectUntil <= Now)
    ++m_ConsecutiveRejections;
  if (m_RejectingSince == Time{})
    m_RejectingSince = Now;
  Duration OwnDomainPause = Now - m_RejectingSince < MaxFullTime
                                ? FullEndpointPause
                                : LeavingEndpointPause;
  Duration Pause =
      IsInOwnDomain ? OwnDomainPause : RejectionPause * (1 << Doublings);
  m_SuspectUntil = std::max(m_SuspectUntil, Now + Pause);
}

// A copy of the list may be older than the state of an endpoint that is known.
bool FleetTable::deferOutdated(const EndpointEntry &Entry, Time Now) {
  Handle Current = find(Entry.m_Id);
  if (Current && Current->m_Entry.m_StartTimeMs == Entry.m_StartTimeMs)
    return Current->m_Entry.m_State == EndpointState::Draining;
  auto Left = m_Left.find(Entry.m_Id);
  if (Left == m_Left.end() || Left->second.m_StartTimeMs != Entry.m_StartTimeMs)
    return false;
  m_Deferred[Entry.m_Id] = {Entry, Now + RestorationGracePeriod};
  return true;
}

void FleetTable::list(const EndpointEntry &Entry, Time Now) {
  if (m_IsRestoring && deferOutdated(Entry, Now))
    return;
  m_Deferred.erase(Entry.m_Id);
  Handle &Current = m_Endpoints[Entry.m_Id];
  ++m_Generation;
  if (Current && Current->m_Entry.m_StartTimeMs == Entry.m_StartTimeMs &&
      Current->m_Entry.m_Address == Entry.m_Address) {
    Current->m_Entry = Entry;
    Current->m_OutageGraceStartedAt = Time{};
    return;
  }
  if (Current)
    Current->m_IsRemoved = true;
  Current = std::make_shared<FleetEndpoint>();
  Current->m_Entry = Entry;
  Current->m_ListedAt = Now;
  auto Left = m_Left.find(Entry.m_Id);
  if (Left != m_Left.end() && Left->second.m_StartTimeMs == Entry.m_StartTimeMs)
    Current->m_Rest = Left->second.m_Rest;
  Current->m_HasStatedLeaving = hasStatedLeaving(Entry);
}

void FleetTable::remove(const std::string &Id, Time Now) {
  auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return;
  ++m_Generation;
  Found->second->m_IsRemoved = true;
  m_Left[Id] = {Found->second->m_Entry.m_StartTimeMs, Now,
                Found->second->m_Rest};
  if (Found->second->m_HasStatedLeaving)
    m_StatedLeaving[Id].m_At = Now;
  m_Endpoints.erase(Found);
}

void FleetTable::unlist(const std::string &Id, Time Now) {
  m_Deferred.erase(Id);
  auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return;
  FleetEndpoint &Endpoint = *Found->second;
  bool IsAfterOutage = Now - m_OutageEndedAt < OutageGracePeriod;
  if (IsAfterOutage && !Endpoint.isLeaving()) {
    if (Endpoint.m_OutageGraceStartedAt == Time{})
      Endpoint.m_OutageGraceStartedAt = m_OutageEndedAt;
    return;
  }
  remove(Id, Now);
}

void FleetTable::unlistAllExcept(const std::vector<std::string> &Ids,
                                 Time Now) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (std::find(Ids.begin(), Ids.end(), Id) == Ids.end())
      Missing.push_back(Id);
  for (const auto &[Id, Deferred] : m_Deferred)
    if (std::find(Ids.begin(), Ids.end(), Id) == Ids.end())
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    unlist(Id, Now);
}

void FleetTable::expire(Time Now) {
  std::vector<std::string> Expired;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint->m_OutageGraceStartedAt != Time{} &&
        Now - Endpoint->m_OutageGraceStartedAt >= OutageGracePeriod)
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    remove(Id, Now);
  std::vector<EndpointEntry> Due;
  for (const auto &[Id, Deferred] : m_Deferred)
    if (Now >= Deferred.m_DueAt)
      Due.push_back(Deferred.m_Entry);
  for (const EndpointEntry &Entry : Due)
    list(Entry, Now);
  for (auto Left = m_Left.begin(); Left != m_Left.end();)
    Left = Now - Left->second.m_At >= LeftMemory ? m_Left.erase(Left)
                                                 : std::next(Left);
  for (auto Stated = m_StatedLeaving.begin();
       Stated != m_StatedLeaving.end();) {
    Handle Listed = find(Stated->first);
    bool IsOver = !(Listed && Listed->m_HasStatedLeaving) &&
                  Now - Stated->second.m_At >= LeftMemory;
    Stated = IsOver ? m_StatedLeaving.erase(Stated) : std::next(Stated);
  }
}

bool FleetTable::hasStatedLeaving(const EndpointEntry &Entry) const {
  auto Stated = m_StatedLeaving.find(Entry.m_Id);
  return Stated != m_StatedLeaving.end() &&
         Stated->second.covers(Entry.m_StartTimeMs);
}

bool FleetTable::noteLeaving(const EndpointIncarnation &Endpoint, bool IsOwn,
                             Time Now) {
  auto [Position, IsNew] = m_StatedLeaving.try_emplace(Endpoint.m_Id);
  StatedLeaving &Known = Position->second;
  if (!IsNew && Endpoint.m_StartTimeMs < Known.m_StartTimeMs)
    return false;
  IsNew = IsNew || Endpoint.m_StartTimeMs > Known.m_StartTimeMs;
  if (IsNew)
    Known = {Endpoint.m_StartTimeMs, false, Now};
  Known.m_IsOwn = Known.m_IsOwn || IsOwn;
  Handle Listed = find(Endpoint.m_Id);
  if (!IsNew || !Listed || !Known.covers(Listed->m_Entry.m_StartTimeMs))
    return IsNew;
  bool WasLeaving = Listed->isLeaving();
  Listed->m_HasStatedLeaving = true;
  // Its layers have to be placed elsewhere.
  ++m_Generation;
  return !WasLeaving;
}

std::vector<EndpointIncarnation> FleetTable::statedLeaving() const {
  std::vector<EndpointIncarnation> Result;
  for (const auto &[Id, Stated] : m_StatedLeaving)
    Result.push_back({Id, Stated.m_StartTimeMs});
  return Result;
}

std::vector<EndpointIncarnation>
FleetTable::listedLeaving(bool IsOwnOnly, std::size_t MaxCount) const {
  std::vector<std::pair<Time, EndpointIncarnation>> Found;
  for (const auto &[Id, Stated] : m_StatedLeaving) {
    Handle Listed = find(Id);
    if (Listed && Listed->m_HasStatedLeaving && (Stated.m_IsOwn || !IsOwnOnly))
      Found.push_back({Stated.m_At, {Id, Stated.m_StartTimeMs}});
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  Found.resize(std::min(Found.size(), MaxCount));
  std::vector<EndpointIncarnation> Result;
  for (auto &[StatedAt, Endpoint] : Found)
    Result.push_back(std::move(Endpoint));
  return Result;
}

std::vector<EndpointIncarnation> FleetTable::leavingIncarnations() const {
  std::vector<EndpointIncarnation> Result;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint->isLeaving())
      Result.push_back({Id, Endpoint->m_Entry.m_StartTimeMs});
  for (const auto &[Id, Left] : m_Left)
    if (m_Endpoints.count(Id) == 0)
      Result.push_back({Id, Left.m_StartTimeMs});
  return Result;
}

void FleetTable::applyLeaving(const std::vector<EndpointIncarnation> &Leaving,
                              Time Now) {
  for (const EndpointIncarnation &Left : Leaving) {
    Handle Listed = find(Left.m_Id);
    if (!Listed || Listed->m_Entry.m_StartTimeMs != Left.m_StartTimeMs ||
        Listed->isLeaving())
      continue;
    EndpointEntry Entry = Listed->m_Entry;
    remove(Left.m_Id, Now);
    m_Deferred[Left.m_Id] = {Entry, Now + RestorationGracePeriod};
  }
}

FleetTable::Handle FleetTable::find(const std::string &Id) const {
  auto Found = m_Endpoints.find(Id);
  return Found == m_Endpoints.end() ? nullptr : Found->second;
}

FleetTable::Handle FleetTable::findByAddress(std::string_view Address) const {
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint->m_Entry.m_Address == Address)
      return Endpoint;
  return nullptr;
}

bool FleetTable::isDomainSilent(const std::string &Domain, Time Now) const {
  int Silent = 0;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint->m_Entry.m_FailureDomain == Domain &&
        Endpoint->m_SilentAt != Time{} &&
        Now - Endpoint->m_SilentAt < SilenceTime)
      ++Silent;
  return Silent >= MinSilentEndpoints;
}

std::vector<FleetTable::Handle> FleetTable::takeEndedRests(Time Now) {
  std::vector<Handle> Result;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint->m_Rest.takeEnd(Now))
      Result.push_back(Endpoint);
  return Result;
}

std::size_t FleetTable::restingEndpoints(Time Now) const {
  return std::count_if(m_Endpoints.begin(), m_Endpoints.end(),
                       [Now](const auto &Listed) {
                         return Listed.second->m_Rest.isResting(Now);
                       });
}

std::size_t FleetTable::limitedEndpoints() const {
  return std::count_if(m_Endpoints.begin(), m_Endpoints.end(),
                       [](const auto &Listed) {
                         return Listed.second->m_Limit.rate().has_value();
                       });
}

std::size_t FleetTable::leavingEndpoints() const {
  return std::count_if(
      m_Endpoints.begin(), m_Endpoints.end(),
      [](const auto &Listed) { return Listed.second->isLeaving(); });
}

std::vector<FleetTable::Handle>
FleetTable::endpointsOfService(std::string_view Service) const {
  std::vector<Handle> Result;
  for (const auto &[Id, Endpoint] : m_Endpoints)
    if (Endpoint->m_Entry.m_Service == Service)
      Result.push_back(Endpoint);
  return Result;
}

std::optional<Time>
firstRestEnd(const std::vector<FleetTable::Handle> &Endpoints, Time Now) {
  FleetTable::Handle First;
  for (const FleetTable::Handle &Endpoint : Endpoints) {
    switch (Endpoint->availability(Now)) {
    case EndpointAvailability::Available:
      return std::nullopt;
    case EndpointAvailability::Removed:
    case EndpointAvailability::Leaving:
      break;
    case EndpointAvailability::Resting:
    case EndpointAvailability::Suspect:
      if (!First || Endpoint->availableAt() < First->availableAt())
        First = Endpoint;
      break;
    }
  }
  if (!First || !First->m_Rest.isResting(Now))
    return std::nullopt;
  return First->availableAt();
}

} // namespace parsleyring
