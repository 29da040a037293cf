#include "admission/ConnectionLimit.h"

namespace parsleyring {

ConnectionLimit::ConnectionLimit(std::size_t MaxConnections)
    : m_Limit(MaxConnections) {}

ConnectionLimit::Order *ConnectionLimit::orderOf(Group &Members,
                                                 Activity Value) {
  switch (Value) {
  case Activity::Idle:
    return &Members.m_Idle;
  case Activity::Receiving:
    return &Members.m_Receiving;
  case Activity::Serving:
    break;
  }
  return nullptr;
}

std::optional<ConnectionLimit::Rank>
ConnectionLimit::rank(const Group &Members, ConnectionNumber Excluded) {
  for (const Order *Candidates : {&Members.m_Idle, &Members.m_Receiving}) {
    auto First = Candidates->begin();
    if (First != Candidates->end() && First->second == Excluded)
      ++First;
    if (First != Candidates->end())
      return Rank{Members.m_Count, Candidates == &Members.m_Idle,
                  -First->first.time_since_epoch(), ~First->second};
  }
  return std::nullopt;
}

void ConnectionLimit::updateRank(Group &Members) {
  std::optional<Rank> Current = rank(Members, 0);
  if (Current == Members.m_Rank)
    return;
  if (Members.m_Rank)
    m_Ranks.erase(*Members.m_Rank);
  if (Current)
    m_Ranks.insert(*Current);
  Members.m_Rank = Current;
}

ConnectionNumber ConnectionLimit::add(const std::string &Address, Time Now) {
  ConnectionNumber Number = ++m_LastNumber;
  auto Found = m_Groups.try_emplace(Address).first;
  m_Connections[Number] = {Found, {Activity::Idle, Now}};
  Group &Members = Found->second;
  ++Members.m_Count;
  Members.m_Idle.insert({Now, Number});
  updateRank(Members);
  return Number;
}

void ConnectionLimit::remove(ConnectionNumber Number) {
  auto Found = m_Connections.find(Number);
  if (Found == m_Connections.end())
    return;
  const Entry Removed = Found->second;
  m_Connections.erase(Found);
  Group &Members = Removed.m_Group->second;
  if (Order *Listed = orderOf(Members, Removed.m_State.m_Activity))
    Listed->erase({Removed.m_State.m_ActiveAt, Number});
  --Members.m_Count;
  updateRank(Members);
  if (Members.m_Count == 0)
    m_Groups.erase(Removed.m_Group);
}

void ConnectionLimit::setActivity(ConnectionNumber Number, Activity Value,
                                  Time Now) {
  auto Found = m_Connections.find(Number);
  if (Found == m_Connections.end())
    return;
  State &Known = Found->second.m_State;
  if (Known.m_Activity == Value && Known.m_ActiveAt == Now)
    return;
  Group &Members = Found->second.m_Group->second;
  if (Order *Before = orderOf(Members, Known.m_Activity))
    Before->erase({Known.m_ActiveAt, Number});
  Known = {Value, Now};
  if (Order *After = orderOf(Members, Value))
    After->insert({Now, Number});
  updateRank(Members);
}

std::optional<ConnectionNumber> ConnectionLimit::excess() const {
  if (m_Connections.size() <= m_Limit)
    return std::nullopt;
  // The newest one has had no time to send anything. It counts as idle, so it
  // would go before one of its address that has stalled in a request.
  const auto &[Newest, NewestEntry] = *m_Connections.rbegin();
  const Group &NewestGroup = NewestEntry.m_Group->second;
  std::optional<Rank> Best = rank(NewestGroup, Newest);
  auto Other = m_Ranks.rbegin();
  if (Other != m_Ranks.rend() && NewestGroup.m_Rank == *Other)
    ++Other;
  if (Other != m_Ranks.rend() && (!Best || *Other > *Best))
    Best = *Other;
  return Best ? ~std::get<3>(*Best) : Newest;
}

std::optional<ConnectionNumber> ConnectionLimit::confirmedExcess(
    const std::function<State(ConnectionNumber)> &CurrentState) {
  for (;;) {
    std::optional<ConnectionNumber> Chosen = excess();
    if (!Chosen || *Chosen == m_Connections.rbegin()->first)
      return Chosen;
    State Current = CurrentState(*Chosen);
    const State &Known = m_Connections.at(*Chosen).m_State;
    if (Current.m_Activity == Known.m_Activity &&
        Current.m_ActiveAt == Known.m_ActiveAt)
      return Chosen;
    setActivity(*Chosen, Current.m_Activity, Current.m_ActiveAt);
  }
}

} // namespace parsleyring
