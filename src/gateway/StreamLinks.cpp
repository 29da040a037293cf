#include "gateway/StreamLinks.h"

#include "admission/LimitedWait.h"

#include <algorithm>

namespace parsleyring {

static bool contains(const std::vector<LinkCrossing> &Crossings,
                     const DomainLink &Link) {
  return std::any_of(
      Crossings.begin(), Crossings.end(),
      [&](const LinkCrossing &Each) { return Each.m_Link == Link; });
}

LinkRoom &StreamLinks::room() const {
  LinkRoom &Room = m_Context.linkRoom(m_Service.m_Name);
  Room.configure(*m_Service.m_Engine);
  return Room;
}

bool StreamLinks::isOpen(const LinkCrossing &Crossing) {
  Time Now = m_Context.now();
  LinkRoom &Room = room();
  Room.update(Crossing.m_Link,
              m_Context.linkUsers(Crossing.m_Link, m_Service.m_Name),
              m_Context.random(), Now);
  if (!contains(m_Reserved, Crossing.m_Link))
    return Room.mayCross(Crossing.m_Link, Crossing.m_Use);
  // The credit has been taken already. It may be there earlier than expected.
  return Now >= m_PromisedAt ||
         Room.isReserveEarned(Crossing.m_Link, Crossing.m_Use);
}

std::vector<LinkCrossing> StreamLinks::crossingsOf(const LayerPath &Path,
                                                   const PathQuery &Query,
                                                   LinkUse Use,
                                                   double Tokens) const {
  std::vector<LinkCrossing> Crossings;
  if (Path.empty())
    return Crossings;
  bool IsSection = Query.m_Layers.m_First > 0;
  double Megabits = LinkRoom::megabits(*m_Service.m_Engine, Tokens);
  for (DomainLink &Link :
       linkCrossings(Path, IsSection ? Query.m_FailureDomain : std::string(),
                     Query.m_NextEndpoint))
    Crossings.push_back({std::move(Link), Use, Megabits});
  return Crossings;
}

// Only the links of the path that would be used without limits need credit, and
// after that those of the paths that are left.
LayerPath StreamLinks::plan(PathQuery Query, LinkUse Use, double Tokens) {
  m_IsLimited = false;
  std::vector<LinkCrossing> Preferred;
  while (true) {
    LayerPath Path = LayerPathPlanner::plan(
        *m_Service.m_Engine,
        m_Context.fleet().endpointsOfService(m_Service.m_Name), Query,
        m_Context.now());
    m_Crossings = crossingsOf(Path, Query, Use, Tokens);
    if (Query.m_ClosedLinks.empty())
      Preferred = m_Crossings;
    std::size_t Closed = Query.m_ClosedLinks.size();
    for (const LinkCrossing &Each : m_Crossings)
      if (!isOpen(Each))
        Query.m_ClosedLinks.push_back(Each.m_Link);
    // A path never crosses a link that was closed before.
    if (Query.m_ClosedLinks.size() > Closed)
      continue;
    if (Path.empty() && Closed > 0) {
      m_IsLimited = true;
      m_Crossings = std::move(Preferred);
      for (const DomainLink &Link : Query.m_ClosedLinks)
        room().noteLimited(Link, m_Context.now());
    }
    noteDemand();
    return Path;
  }
}

// A waiting request is planned again and again.
void StreamLinks::noteDemand() {
  if (m_Crossings.empty() || m_IsDemandCounted)
    return;
  m_IsDemandCounted = true;
  for (const LinkCrossing &Each : m_Crossings)
    room().noteDemand(Each.m_Link, Each.m_Megabits, m_Context.now());
}

void StreamLinks::take(const std::vector<LinkCrossing> &Crossings) {
  endWait();
  m_IsDemandCounted = false;
  for (const LinkCrossing &Each : Crossings) {
    room().take(Each.m_Link, Each.m_Use, Each.m_Megabits);
    m_Context.metrics().countLinkCrossing();
  }
}

void StreamLinks::giveBack(std::vector<LinkCrossing> &Crossings) {
  for (const LinkCrossing &Each : Crossings)
    room().giveBack(Each.m_Link, Each.m_Use, Each.m_Megabits);
  Crossings.clear();
}

LimitedCapacity StreamLinks::capacity() const {
  LimitedCapacity Capacity;
  bool IsFirst = true;
  for (const LinkCrossing &Each : m_Crossings) {
    Capacity.m_Delay =
        std::max(Capacity.m_Delay, room().delay(Each.m_Link, Each.m_Use));
    double Rate = room().requestsPerSecond(Each.m_Link, Each.m_Use);
    Capacity.m_RequestsPerSecond =
        IsFirst ? Rate : std::min(Capacity.m_RequestsPerSecond, Rate);
    IsFirst = false;
  }
  return Capacity;
}

bool StreamLinks::beginWait(Time Until) {
  endWait();
  Time Now = m_Context.now();
  for (const LinkCrossing &Each : m_Crossings)
    room().update(Each.m_Link,
                  m_Context.linkUsers(Each.m_Link, m_Service.m_Name),
                  m_Context.random(), Now);
  Duration Delay = capacity().m_Delay;
  if (Now + Delay + LimitedWait::MaxQueueDelay > Until)
    return false;
  for (const LinkCrossing &Each : m_Crossings) {
    room().take(Each.m_Link, Each.m_Use, Each.m_Megabits);
    m_Reserved.push_back(Each);
  }
  m_PromisedAt = Now + Delay;
  return true;
}

} // namespace parsleyring
