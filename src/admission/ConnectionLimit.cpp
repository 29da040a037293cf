#include "admission/ConnectionLimit.h"

#include <tuple>

namespace parsleyring {

ConnectionLimit::ConnectionLimit(std::size_t MaxConnections)
    : m_Limit(MaxConnections) {}

ConnectionNumber ConnectionLimit::add(const std::string &Address, Time Now) {
  ConnectionNumber Number = ++m_LastNumber;
  m_Connections[Number] = {Address, Activity::Idle, Now};
  ++m_CountByAddress[Address];
  return Number;
}

void ConnectionLimit::remove(ConnectionNumber Number) {
  auto Found = m_Connections.find(Number);
  if (Found == m_Connections.end())
    return;
  auto Count = m_CountByAddress.find(Found->second.m_Address);
  if (--Count->second == 0)
    m_CountByAddress.erase(Count);
  m_Connections.erase(Found);
}

void ConnectionLimit::setActivity(ConnectionNumber Number, Activity Value,
                                  Time Now) {
  auto Found = m_Connections.find(Number);
  if (Found == m_Connections.end())
    return;
  Found->second.m_Activity = Value;
  Found->second.m_ActiveAt = Now;
}

std::optional<ConnectionNumber> ConnectionLimit::excess() const {
  if (m_Connections.size() <= m_Limit)
    return std::nullopt;
  // Many connections of the address, then idle ones, then a long inactivity.
  using Preference = std::tuple<std::size_t, bool, Duration>;
  std::optional<ConnectionNumber> Chosen;
  Preference Best;
  ConnectionNumber Newest = m_Connections.rbegin()->first;
  for (const auto &[Number, Connection] : m_Connections) {
    // The newest one has had no time to send anything. It counts as idle, so
    // it would go before one of its address that has stalled in a request.
    if (Number == Newest || Connection.m_Activity == Activity::Serving)
      continue;
    Preference Own{m_CountByAddress.at(Connection.m_Address),
                   Connection.m_Activity == Activity::Idle,
                   -Connection.m_ActiveAt.time_since_epoch()};
    if (!Chosen || Own > Best) {
      Chosen = Number;
      Best = Own;
    }
  }
  return Chosen ? Chosen : Newest;
}

} // namespace parsleyring
