#include "admission/ServiceRoom.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleyring {

// A VM knows of the requests that another failure domain has begun after up to
// two digest intervals and their delay, 0.6 s in all. A correction within less
// than e times that overshoots.
static constexpr double CorrectionSeconds = 1.6;
// Requests that queue at the engines so that a slot that becomes free is used
// at once, in seconds of their ends.
static constexpr double EngineQueueSeconds = 0.1;
// Free slots that are not divided, in seconds of ends: arrivals at twice that
// rate do not fill them before the next digests.
static constexpr double AmpleSeconds = 0.5;
static constexpr Duration ScarceTime = std::chrono::seconds(1);
// Requests end after this time at the latest, so slots become free at this rate
// at least, even if no end has been seen yet.
static constexpr double MaxRequestSeconds = 20;
// Part of the rate of ends at which requests begin even if too many run.
static constexpr double MinRatePart = 0.2;
// An engine with less credit of this VM gets no more of its requests, except
// urgent ones that overdraw.
static constexpr double MinEngineCredit = 0;
static constexpr double MinOverdrawnEngineCredit = -0.5;
// Credit of an engine that is saved. With 1, 9 to 14 instead of 5 in 100
// requests began late in ServiceRoomTest, as VMs chose the same engine.
static constexpr double MaxEngineCredit = 0.5;
// The golden ratio spreads the phases of any number of engines evenly.
static constexpr double PhaseStep = 0.618;
// Part of the demand that is divided equally, as in LimitShare.
static constexpr double BaseFraction = 0.05;
static constexpr double MinBaseDemand = 0.01;
// A new VM does not know the demand of the others, nor they its own.
static constexpr Duration StartTime = std::chrono::seconds(1);
// Kinds and accounts without a request for this long do not press.
static constexpr Duration RecentTime = std::chrono::seconds(2);
// Part of the rate kept for the kinds between the most and the least urgent.
static constexpr double MiddlePart = 0.125;
// Lower kinds keep a quarter of the slots.
static constexpr double MaxReservedPart = 0.75;
// Fewer requests than this do not make an account exceed its share.
static constexpr double MinAccountRate = 1;

static double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

static Duration fromSeconds(double Seconds) {
  return Duration(static_cast<std::int64_t>(std::min(Seconds, 1e6) * 1e6));
}

FirstEngineLoad::FirstEngineLoad(const FleetEndpoint &Engine, double LoadFactor,
                                 Time Now)
    : m_Id(Engine.m_Entry.m_Id), m_Slots(Engine.m_Entry.m_Slots),
      m_Running((Engine.m_RunningAsFirst + Engine.m_PeerRunningAsFirst) *
                LoadFactor),
      m_EndsPerSecond((Engine.m_FirstEnds.rate(Now) + Engine.m_PeerFirstEnds) *
                      LoadFactor) {}

double FirstEngineLoad::endsPerSecond() const {
  return std::max(m_EndsPerSecond,
                  std::min(m_Running, m_Slots) / MaxRequestSeconds);
}

double FirstEngineLoad::waitSeconds() const {
  return hasFreeSlot() ? 0 : (m_Running + 1 - m_Slots) / endsPerSecond();
}

bool ServiceRoom::isRecent(Time At, Time Now) const {
  return Now - At < RecentTime;
}

void ServiceRoom::noteArrival(int Priority, const std::string &Account,
                              Time Now) {
  Kind &Own = m_Kinds[Priority];
  Own.m_Arrivals.note(Now);
  Own.m_SeenAt = Now;
  m_Accounts[Account].m_SeenAt = Now;
}

double ServiceRoom::share(const ServiceLoad &Load, Time Now) const {
  double VMs = static_cast<double>(std::max<std::size_t>(1, Load.m_VMs));
  double Base = std::max(Load.m_Demand * BaseFraction, MinBaseDemand) / VMs;
  double Total = std::max(Load.m_Demand, Load.m_OwnDemand) + Base * VMs;
  double Share = (Load.m_OwnDemand + Base) / Total;
  if (Now - m_StartedAt < StartTime)
    Share = std::max(Share, 1 / VMs);
  return std::min(1.0, Share);
}

double ServiceRoom::beginRate(double Ends, double FreeSlots) {
  double Correction =
      (FreeSlots + Ends * EngineQueueSeconds) / CorrectionSeconds;
  return std::max(Ends * MinRatePart, Ends + Correction);
}

void ServiceRoom::divide(const ServiceLoad &Load, double Share) {
  std::map<std::string, EngineCredit> Engines;
  double Phase = m_Random;
  for (const FirstEngineLoad &Engine : Load.m_Engines) {
    EngineCredit &Own = Engines[Engine.m_Id];
    auto Known = m_Engines.find(Engine.m_Id);
    // The VMs begin at different engines.
    Phase = std::fmod(Phase + PhaseStep, 1.0);
    Own.m_Credit =
        Known == m_Engines.end() ? Phase - 0.5 : Known->second.m_Credit;
    Own.m_Rate = Share * beginRate(Engine.endsPerSecond(),
                                   Engine.m_Slots - Engine.m_Running);
  }
  m_Engines = std::move(Engines);
}

void ServiceRoom::update(const ServiceLoad &Load, std::size_t Waiting,
                         Time Now) {
  if (m_StartedAt == Time{})
    m_StartedAt = m_UpdatedAt = Now;
  for (auto Each = m_Kinds.begin(); Each != m_Kinds.end();)
    Each = isRecent(Each->second.m_SeenAt, Now) ? std::next(Each)
                                                : m_Kinds.erase(Each);
  for (auto Each = m_Accounts.begin(); Each != m_Accounts.end();)
    Each = isRecent(Each->second.m_SeenAt, Now) ? std::next(Each)
                                                : m_Accounts.erase(Each);
  double Slots = 0;
  double Running = 0;
  double Ends = 0;
  m_ShortestEngineWait = std::numeric_limits<double>::max();
  for (const FirstEngineLoad &Engine : Load.m_Engines) {
    m_ShortestEngineWait = std::min(m_ShortestEngineWait, Engine.waitSeconds());
    Slots += Engine.m_Slots;
    Running += Engine.m_Running;
    Ends += Engine.endsPerSecond();
  }
  m_FreeSlots = Slots - Running;
  double Share = share(Load, Now);
  m_OwnSlots = Slots * Share;
  m_Rate = Share * beginRate(Ends, m_FreeSlots);
  divide(Load, Share);
  // Free slots of one engine do not count if others have too many requests:
  // all VMs would fill it at the same time.
  bool IsFull =
      !Load.m_Engines.empty() && (m_ShortestEngineWait > 0 || m_FreeSlots < 1);
  bool IsUnlimited = std::any_of(
      Load.m_Engines.begin(), Load.m_Engines.end(),
      [](const FirstEngineLoad &Engine) { return Engine.m_Slots == 0; });
  if (IsUnlimited) {
    m_IsScarce = false;
  } else if (IsFull) {
    m_FullAt = Now;
    if (!m_IsScarce) {
      m_Credit = m_Random;
      for (auto &[Priority, Each] : m_Kinds)
        Each.m_Credit = 0;
    }
    m_IsScarce = true;
  } else if (m_IsScarce) {
    double Ample = std::max(static_cast<double>(Load.m_VMs * (Waiting + 1)),
                            Ends * AmpleSeconds);
    bool IsOver = Waiting == 0 && Now - m_FullAt >= ScarceTime;
    m_IsScarce = !IsOver && m_FreeSlots < Ample;
  }
  double Seconds = seconds(Now - m_UpdatedAt);
  m_UpdatedAt = Now;
  if (m_IsScarce)
    accrue(std::clamp(Seconds, 0.0, 1.0));
}

double ServiceRoom::keptPart(int Priority) const {
  if (m_Kinds.size() < 2 || isMostUrgent(Priority) ||
      m_Kinds.count(Priority) == 0)
    return 0;
  if (Priority == m_Kinds.rbegin()->first)
    return LeastUrgentPart;
  return MiddlePart / static_cast<double>(m_Kinds.size() - 2);
}

void ServiceRoom::accrue(double Seconds) {
  double Credit = m_Rate * Seconds;
  double Saved = m_Rate * DigestSeconds;
  for (auto &[Id, Engine] : m_Engines)
    Engine.m_Credit = std::min(Engine.m_Credit + Engine.m_Rate * Seconds,
                               MaxEngineCredit + Engine.m_Rate * DigestSeconds);
  double Shared = Credit;
  for (auto &[Priority, Each] : m_Kinds) {
    double Kept = Credit * keptPart(Priority);
    double Room = std::max(0.0, 1 + Saved - Each.m_Credit);
    Each.m_Credit += std::min(Kept, Room);
    // What the kind does not use, others may.
    Shared -= std::min(Kept, Room);
  }
  m_Credit = std::min(m_Credit + Shared, 2 + Saved);
}

bool ServiceRoom::isMostUrgent(int Priority) const {
  return m_Kinds.empty() || Priority <= m_Kinds.begin()->first;
}

// An account that sends more than its part leaves one credit to the others.
bool ServiceRoom::isOverShare(const std::string &Name, Time Now) const {
  auto Found = m_Accounts.find(Name);
  if (m_Accounts.size() < 2 || Found == m_Accounts.end())
    return false;
  double Total = 0;
  for (const auto &[Other, Each] : m_Accounts)
    Total += Each.m_Sent.rate(Now);
  double Own = Found->second.m_Sent.rate(Now);
  return Own > MinAccountRate &&
         Own * static_cast<double>(m_Accounts.size()) > Total;
}

// While other kinds press, the most urgent one may overdraw by the number of
// its requests that arrive in a digest interval.
double ServiceRoom::neededCredit(int Priority, const std::string &Account,
                                 Time Now) const {
  double Needed = isOverShare(Account, Now) ? 2 : 1;
  if (!mayOverdraw(Priority))
    return Needed;
  double Reserve = std::max(1.0, m_Kinds.begin()->second.m_Arrivals.rate(Now) *
                                     DigestSeconds);
  return Needed -
         std::min(Reserve, std::max(1.0, MaxReservedPart * m_OwnSlots));
}

bool ServiceRoom::hasCredit(int Priority, const std::string &Account,
                            Time Now) const {
  if (!m_IsScarce || m_Credit >= neededCredit(Priority, Account, Now))
    return true;
  auto Own = m_Kinds.find(Priority);
  return Own != m_Kinds.end() && !isMostUrgent(Priority) &&
         Own->second.m_Credit >= (isOverShare(Account, Now) ? 2 : 1);
}

bool ServiceRoom::mayBegin(const FirstEngineLoad &Engine, int Priority,
                           const std::string &Account, Duration Remaining,
                           Time Now) const {
  if (Engine.m_Slots == 0)
    return true;
  if (!Engine.hasFreeSlot() && Engine.waitSeconds() >= seconds(Remaining))
    return false;
  if (!hasCredit(Priority, Account, Now))
    return false;
  auto Own = m_Engines.find(Engine.m_Id);
  return !m_IsScarce || Own == m_Engines.end() ||
         Own->second.m_Credit >= (mayOverdraw(Priority)
                                      ? MinOverdrawnEngineCredit
                                      : MinEngineCredit);
}

void ServiceRoom::noteSent(int Priority, const std::string &Account,
                           const std::string &Engine, Time Now) {
  auto Found = m_Accounts.find(Account);
  if (Found != m_Accounts.end())
    Found->second.m_Sent.note(Now);
  if (!m_IsScarce)
    return;
  auto Used = m_Engines.find(Engine);
  if (Used != m_Engines.end())
    Used->second.m_Credit =
        std::max(Used->second.m_Credit - 1, MinOverdrawnEngineCredit - 1);
  auto Own = m_Kinds.find(Priority);
  if (Own != m_Kinds.end() && !isMostUrgent(Priority) &&
      Own->second.m_Credit >= 1)
    Own->second.m_Credit -= 1;
  else
    m_Credit = std::max(m_Credit - 1, -2 - m_Rate);
}

double ServiceRoom::rate(int Priority, Time Now) const {
  double Kept = 0;
  double MoreUrgent = 0;
  for (const auto &[Other, Each] : m_Kinds) {
    if (Other != Priority)
      Kept += m_Rate * keptPart(Other);
    if (Other < Priority)
      MoreUrgent += Each.m_Arrivals.rate(Now);
  }
  double Own = m_Rate * keptPart(Priority);
  return std::max(Own, m_Rate - Kept - MoreUrgent);
}

Duration ServiceRoom::expectedWait(std::size_t Ahead, int Priority,
                                   const std::string &Account,
                                   Duration Remaining, Time Now) const {
  double Drained =
      std::max(0.0, m_ShortestEngineWait - std::max(0.0, seconds(Remaining)));
  double Missing = 0;
  if (m_IsScarce) {
    Missing = static_cast<double>(Ahead) +
              neededCredit(Priority, Account, Now) - m_Credit;
    auto Own = m_Kinds.find(Priority);
    if (Own != m_Kinds.end() && !isMostUrgent(Priority))
      Missing = std::min(Missing,
                         static_cast<double>(Ahead) + 1 - Own->second.m_Credit);
  }
  double Rate = rate(Priority, Now);
  double Credited = Missing <= 0 ? 0
                    : Rate > 0   ? Missing / Rate
                                 : std::numeric_limits<double>::max();
  return fromSeconds(std::max(Drained, Credited));
}

} // namespace parsleyring
