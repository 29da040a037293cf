#include "admission/LinkRoom.h"

#include <algorithm>

namespace parsleyring {

// The least demand that is divided equally, in Mbit/s.
static constexpr double MinBaseDemand = 0.01;
// Credit that a VM saves, in seconds of its share; at least one request.
static constexpr double MaxCreditSeconds = 1;
// Credit for a link that was idle, of all VMs together and for either kind of
// stream, in seconds of the link's usable rate. If each VM had saved one
// request, the VMs of a large deployment would fill the link for seconds as
// soon as no chain is whole.
static constexpr double IdleCreditSeconds = 0.5;
// A link is idle after this many times the usual interval between the requests
// for which a VM gets credit, but not within MinIdleSeconds.
static constexpr double IdleIntervals = 2;
static constexpr double MinIdleSeconds = 3;
// By how many usual requests a stream that has begun may overdraw the share: a
// pause breaks it off, and its caller has already waited.
static constexpr double MaxOverdrawnRequests = 2;

static Duration toDuration(double Seconds) {
  double Longest = std::chrono::duration<double>(LinkRoom::MaxDelay).count();
  return Duration(static_cast<std::int64_t>(std::min(Seconds, Longest) * 1e6));
}

double LinkRoom::megabits(const EngineModel &Model, double Tokens) {
  return Tokens * Model.m_ActivationBytesPerToken * 8 / 1e6;
}

void LinkRoom::configure(const EngineModel &Model) {
  m_RateMegabits = Model.m_PipeMegabitsPerSecond;
  m_UsualMegabits =
      megabits(Model, std::max(1.0, Model.m_UsualPromptTokens +
                                        Model.m_UsualAnswerTokens));
}

static double vmCount(const LinkUsers &Users) {
  return static_cast<double>(std::max<std::size_t>(1, Users.m_VMs));
}

Duration LinkRoom::idleTime(double VMs) const {
  double Interval = m_UsualMegabits * VMs / usableRate();
  return toDuration(std::max(MinIdleSeconds, IdleIntervals * Interval));
}

void LinkRoom::divide(Share &Link, const LinkUsers &Users, double Demand,
                      Time Now) const {
  double VMs = vmCount(Users);
  double Total = (Demand + Users.m_ReportedDemand) * Users.m_LoadFactor;
  // What makes requests cross the link is seen by all VMs at the same time.
  // Until they report, the others are assumed to need as much as this one.
  bool HaveReported = Users.m_HasReports && !Link.m_IsIdle &&
                      Now - Link.m_DemandBeganAt >= DemandShare::ReportDelay;
  if (!HaveReported)
    Total = std::max(Total, Demand * VMs);
  Link.m_Demand.divide(usableRate(), Total, MinBaseDemand, VMs, Now);
}

// Credit that one kind of stream does not need goes to the other one.
void LinkRoom::earn(Share &Link, const LinkUsers &Users, Time Now) const {
  // The demand of a VM with few requests has fallen since its last one.
  divide(Link, Users, Link.m_Demand.averageDemand(Now), Now);
  double Earned = Link.m_Demand.takeEarned(Now);
  divide(Link, Users, Link.m_Demand.demand(Now), Now);
  Link.m_MaxCredit =
      std::max(m_UsualMegabits, Link.m_Demand.rate() * MaxCreditSeconds);
  Link.m_OrdinaryCredit += Earned * OrdinaryFraction;
  Link.m_UrgentCredit += Earned * (1 - OrdinaryFraction);
  double Excess = std::max(0.0, Link.m_UrgentCredit - Link.m_MaxCredit);
  Link.m_UrgentCredit -= Excess;
  Link.m_OrdinaryCredit += Excess;
  Excess = std::max(0.0, Link.m_OrdinaryCredit - Link.m_MaxCredit);
  Link.m_OrdinaryCredit -= Excess;
  Link.m_UrgentCredit =
      std::min(Link.m_UrgentCredit + Excess, Link.m_MaxCredit);
}

// So many VMs keep the credit for a usual request that all of them together
// have IdleCreditSeconds of the link.
void LinkRoom::becomeIdle(Share &Link, double VMs, double Random) const {
  double Requests = IdleCreditSeconds * usableRate() / (m_UsualMegabits * VMs);
  // The others have different parts of it, so that they do not have enough at
  // the same time.
  double Kept = m_UsualMegabits *
                (Random < Requests ? 1 : (Random - Requests) / (1 - Requests));
  Link.m_UrgentCredit = std::min(Link.m_UrgentCredit, Kept);
  Link.m_OrdinaryCredit = std::min(Link.m_OrdinaryCredit, Kept);
}

void LinkRoom::update(const DomainLink &Link, const LinkUsers &Users,
                      double Random, Time Now) {
  if (!isLimited())
    return;
  Share &Updated = m_Shares[Link];
  double VMs = vmCount(Users);
  if (!Updated.m_IsStarted) {
    Updated.m_IsStarted = true;
    Updated.m_Demand.startEarning(Now);
    earn(Updated, Users, Now);
    Updated.m_UrgentCredit = Updated.m_OrdinaryCredit = m_UsualMegabits;
    becomeIdle(Updated, VMs, Random);
    return;
  }
  double Urgent = Updated.m_UrgentCredit;
  double Ordinary = Updated.m_OrdinaryCredit;
  earn(Updated, Users, Now);
  if (Updated.m_IsIdle) {
    // Only a debt is repaid.
    Updated.m_UrgentCredit =
        std::min(Updated.m_UrgentCredit, std::max(0.0, Urgent));
    Updated.m_OrdinaryCredit =
        std::min(Updated.m_OrdinaryCredit, std::max(0.0, Ordinary));
  } else if (Now - Updated.m_LastDemandAt >= idleTime(VMs)) {
    Updated.m_IsIdle = true;
    becomeIdle(Updated, VMs, Random);
  }
}

void LinkRoom::noteDemand(const DomainLink &Link, double Megabits, Time Now) {
  if (!isLimited())
    return;
  Share &Noted = m_Shares[Link];
  Noted.m_Demand.note(Megabits, Now);
  Noted.m_LastDemandAt = Now;
  if (Noted.m_IsIdle)
    Noted.m_DemandBeganAt = Now;
  Noted.m_IsIdle = false;
}

// Each crossing needs the credit of a usual request, whatever its size: if
// small ones needed less, they would take all credit before there is enough for
// a large one. The rest of a large one is repaid by later requests.
double LinkRoom::missingCredit(const Share &Link, LinkUse Use) const {
  if (Use == LinkUse::Ordinary)
    return m_UsualMegabits - Link.m_OrdinaryCredit;
  double Needed = Use == LinkUse::Begun ? 1 - MaxOverdrawnRequests : 1;
  return Needed * m_UsualMegabits - Link.m_UrgentCredit;
}

bool LinkRoom::mayCross(const DomainLink &Link, LinkUse Use) const {
  auto Found = m_Shares.find(Link);
  return !isLimited() ||
         (Found != m_Shares.end() && missingCredit(Found->second, Use) <= 0);
}

bool LinkRoom::isReserveEarned(const DomainLink &Link, LinkUse Use) const {
  auto Found = m_Shares.find(Link);
  return !isLimited() || (Found != m_Shares.end() &&
                          missingCredit(Found->second, Use) <= m_UsualMegabits);
}

void LinkRoom::take(const DomainLink &Link, LinkUse Use, double Megabits) {
  if (isLimited())
    m_Shares[Link].credit(Use) -= Megabits;
}

void LinkRoom::giveBack(const DomainLink &Link, LinkUse Use, double Megabits) {
  take(Link, Use, -Megabits);
}

static double partOf(LinkUse Use) {
  return Use == LinkUse::Ordinary ? LinkRoom::OrdinaryFraction
                                  : 1 - LinkRoom::OrdinaryFraction;
}

double LinkRoom::requestsPerSecond(const DomainLink &Link, LinkUse Use) const {
  auto Found = m_Shares.find(Link);
  if (!isLimited() || Found == m_Shares.end())
    return 0;
  const Share &Known = Found->second;
  bool IsOtherFull = Known.otherCredit(Use) >= Known.m_MaxCredit;
  return Known.m_Demand.rate() * (IsOtherFull ? 1 : partOf(Use)) /
         m_UsualMegabits;
}

Duration LinkRoom::delay(const DomainLink &Link, LinkUse Use) const {
  if (mayCross(Link, Use))
    return Duration::zero();
  auto Found = m_Shares.find(Link);
  if (Found == m_Shares.end() || Found->second.m_Demand.rate() <= 0)
    return MaxDelay;
  const Share &Known = Found->second;
  double Rate = Known.m_Demand.rate();
  double Missing = missingCredit(Known, Use);
  // The other kind of stream leaves its part once it has saved enough.
  double SecondsUntilAll =
      std::max(0.0, Known.m_MaxCredit - Known.otherCredit(Use)) /
      (Rate * (1 - partOf(Use)));
  double Seconds = Missing / (Rate * partOf(Use));
  if (Seconds > SecondsUntilAll)
    Seconds = SecondsUntilAll + Missing / Rate - SecondsUntilAll * partOf(Use);
  return toDuration(Seconds);
}

void LinkRoom::noteLimited(const DomainLink &Link, Time Now) {
  m_Shares[Link].m_LimitedAt = Now;
}

std::vector<LinkChange> LinkRoom::takeChanges(Time Now) {
  std::vector<LinkChange> Changes;
  for (auto &[Link, Each] : m_Shares) {
    bool IsLimited =
        Each.m_LimitedAt != Time{} && Now - Each.m_LimitedAt < LimitedTime;
    if (IsLimited != Each.m_IsLimited)
      Changes.push_back({Link, IsLimited});
    Each.m_IsLimited = IsLimited;
  }
  return Changes;
}

double LinkRoom::demand(const DomainLink &Link, Time Now) const {
  auto Found = m_Shares.find(Link);
  return Found == m_Shares.end() ? 0 : Found->second.m_Demand.demand(Now);
}

std::map<DomainLink, double> LinkRoom::demands(Time Now) const {
  std::map<DomainLink, double> Demands;
  for (const auto &[Link, Each] : m_Shares)
    Demands[Link] = Each.m_Demand.demand(Now);
  return Demands;
}

} // namespace parsleyring
