#include "gateway/EngineWatchPolicy.h"

#include <algorithm>

namespace parsleyring {

// An engine that can crash: it has layers and does not end as planned.
static bool isWatchable(const FleetEndpoint &Engine) {
  const LayerRange &Layers = Engine.m_Entry.m_Layers;
  return Layers.m_End > Layers.m_First && !Engine.m_IsRemoved &&
         !Engine.isLeaving();
}

EngineWatchPolicy::Engines EngineWatchPolicy::update(const Engines &Endpoints,
                                                     const std::string &Domain,
                                                     bool IsOn, Time Now) {
  std::map<const FleetEndpoint *, WatchedEngine> Watched;
  for (const auto &[Key, Entry] : m_Watched)
    if (!Entry.m_IsWatched)
      Watched[Key] = Entry;
  if (IsOn)
    for (const FleetTable::Handle &Endpoint : Endpoints) {
      if (Endpoint->m_Entry.m_FailureDomain != Domain ||
          !isWatchable(*Endpoint))
        continue;
      auto Known = m_Watched.find(Endpoint.get());
      WatchedEngine &Entry = Watched[Endpoint.get()];
      if (Known != m_Watched.end()) {
        Entry = Known->second;
        Entry.m_IsWatched = true;
        continue;
      }
      Entry.m_Engine = Endpoint;
      Entry.m_DueAt = Now;
    }
  Engines Ended;
  for (const auto &[Key, Entry] : m_Watched)
    if (!Watched.count(Key))
      Ended.push_back(Entry.m_Engine);
  m_Watched = std::move(Watched);
  return Ended;
}

void EngineWatchPolicy::check(const FleetTable::Handle &Engine, Time Now) {
  if (!isWatchable(*Engine) || find(*Engine))
    return;
  WatchedEngine &Entry = m_Watched[Engine.get()];
  Entry.m_Engine = Engine;
  Entry.m_DueAt = Now;
  Entry.m_IsChecking = true;
  Entry.m_IsWatched = false;
}

double EngineWatchPolicy::connects(Time Now) const {
  double Seconds =
      std::chrono::duration<double>(Now - m_ConnectsNotedAt).count();
  return std::min(MaxConnectBurst, m_Connects + Seconds * ConnectsPerSecond);
}

Time EngineWatchPolicy::connectsAt(double Count, Time Now) const {
  double Missing = Count - connects(Now);
  if (Missing <= 0)
    return Now;
  // Rounded up, so that they are available then.
  return Now + Duration(1 + static_cast<std::int64_t>(Missing /
                                                      ConnectsPerSecond * 1e6));
}

EngineWatchPolicy::Engines EngineWatchPolicy::takeDue(Time Now, bool MayOpen) {
  std::vector<WatchedEngine *> Due;
  for (auto &[Key, Entry] : m_Watched)
    if (Entry.m_State == State::Waiting && Entry.m_DueAt <= Now &&
        (Entry.m_IsChecking || MayOpen))
      Due.push_back(&Entry);
  std::sort(Due.begin(), Due.end(),
            [](const WatchedEngine *Left, const WatchedEngine *Right) {
              if (Left->m_IsChecking != Right->m_IsChecking)
                return Left->m_IsChecking;
              return Left->m_DueAt < Right->m_DueAt;
            });
  m_Connects = connects(Now);
  m_ConnectsNotedAt = Now;
  Engines Result;
  for (WatchedEngine *Entry : Due) {
    if (m_Connects < 1 + (Entry->m_IsChecking ? 0 : ConnectsForChecks))
      break;
    --m_Connects;
    Entry->m_State = State::Connecting;
    Entry->m_ConnectedAt = Now;
    Result.push_back(Entry->m_Engine);
  }
  return Result;
}

Time EngineWatchPolicy::nextDueAt(Time Now, bool MayOpen) const {
  Time Next = Time::max();
  for (const auto &[Key, Entry] : m_Watched) {
    if (Entry.m_State != State::Waiting || (!Entry.m_IsChecking && !MayOpen))
      continue;
    double Count = 1 + (Entry.m_IsChecking ? 0 : ConnectsForChecks);
    Next = std::min(Next, std::max(Entry.m_DueAt, connectsAt(Count, Now)));
  }
  return Next;
}

EngineWatchPolicy::WatchedEngine *
EngineWatchPolicy::find(const FleetEndpoint &Engine) {
  auto Found = m_Watched.find(&Engine);
  return Found == m_Watched.end() ? nullptr : &Found->second;
}

void EngineWatchPolicy::waitForReconnect(WatchedEngine &Watched, Time Now) {
  if (!Watched.m_IsWatched) {
    m_Watched.erase(Watched.m_Engine.get());
    return;
  }
  Watched.m_State = State::Waiting;
  Watched.m_IsChecking = false;
  Watched.m_Refusals = 0;
  Watched.m_DueAt = std::max(Now, Watched.m_ConnectedAt + Watched.m_Interval);
  Watched.m_Interval =
      std::min<Duration>(2 * Watched.m_Interval, MaxReconnectInterval);
}

bool EngineWatchPolicy::noteAccepted(const FleetEndpoint &Engine, Time Now) {
  WatchedEngine *Watched = find(Engine);
  if (!Watched)
    return false;
  if (!Watched->m_IsWatched) {
    m_Watched.erase(&Engine);
    return false;
  }
  Watched->m_State = State::Open;
  Watched->m_ConnectedAt = Now;
  Watched->m_IsChecking = false;
  Watched->m_Refusals = 0;
  return true;
}

bool EngineWatchPolicy::noteRefused(const FleetEndpoint &Engine, Time Now) {
  WatchedEngine *Watched = find(Engine);
  if (!Watched)
    return false;
  // One that starts is refused before it listens, but its connection was never
  // open.
  if (Watched->m_IsChecking && ++Watched->m_Refusals < MinRefusals) {
    Watched->m_State = State::Waiting;
    Watched->m_DueAt = Now + ProbeInterval;
    return false;
  }
  bool HasCrashed = Watched->m_IsChecking && isWatchable(Engine);
  waitForReconnect(*Watched, Now);
  return HasCrashed;
}

void EngineWatchPolicy::noteUnanswered(const FleetEndpoint &Engine, Time Now) {
  if (WatchedEngine *Watched = find(Engine))
    waitForReconnect(*Watched, Now);
}

void EngineWatchPolicy::noteClosed(const FleetEndpoint &Engine, Time Now) {
  WatchedEngine *Watched = find(Engine);
  if (!Watched || Watched->m_State != State::Open)
    return;
  if (Now - Watched->m_ConnectedAt < MinOpenTime) {
    waitForReconnect(*Watched, Now);
    return;
  }
  Watched->m_State = State::Waiting;
  Watched->m_IsChecking = true;
  Watched->m_Refusals = 0;
  Watched->m_DueAt = Now + ProbeDelay;
  Watched->m_Interval = MinReconnectInterval;
}

void EngineWatchPolicy::noteGivenUp(const FleetEndpoint &Engine, Time Now) {
  WatchedEngine *Watched = find(Engine);
  if (!Watched || Watched->m_State != State::Open)
    return;
  if (Now - Watched->m_ConnectedAt >= MinOpenTime)
    Watched->m_Interval = MinReconnectInterval;
  Watched->m_ConnectedAt = Now;
  waitForReconnect(*Watched, Now);
}

std::size_t EngineWatchPolicy::size() const {
  return std::count_if(
      m_Watched.begin(), m_Watched.end(),
      [](const auto &Entry) { return Entry.second.m_State == State::Open; });
}

} // namespace parsleyring
