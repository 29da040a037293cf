#include "claims/ReservationTable.h"

namespace parsleyring {

ReservationTable::ReservationTable(const Incarnation &Owner) : m_Owner(Owner) {}

std::optional<std::string> ReservationTable::issue(Time Now,
                                                   const std::string &Account) {
  if (m_Entries.size() >= MaxReservations)
    removeExpired(Now);
  if (m_Entries.size() >= MaxReservations)
    return std::nullopt;
  std::string Key = std::string(ReservationPrefix) + "-" + m_Owner.m_VM + "-" +
                    std::to_string(m_Owner.m_Number) + "-" +
                    std::to_string(++m_LastNumber);
  Entry Added;
  Added.m_Account = Account;
  Added.m_ExpiresAt = Now + UnusedReservationLifetime;
  m_Entries.emplace(Key, std::move(Added));
  return Key;
}

ReservationTable::TakeResult
ReservationTable::take(Time Now, const std::string &Account,
                       const std::string &Key, const std::string &BodySha256,
                       const std::string &Holder) {
  TakeResult Result;
  auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end() || Found->second.m_Account != Account ||
      Found->second.m_ExpiresAt < Now)
    return Result;
  Entry &Reservation = Found->second;
  Result.m_PreviousState = Reservation.m_State;
  Result.m_Holder = Reservation.m_Holder;
  if (Reservation.m_State != ReservationState::Unused) {
    Result.m_BodyDiffers = Reservation.m_BodySha256 != BodySha256;
    return Result;
  }
  Reservation.m_State = ReservationState::Taken;
  Reservation.m_BodySha256 = BodySha256;
  Reservation.m_Holder = Holder;
  Reservation.m_ExpiresAt = Now + UsedReservationLifetime;
  return Result;
}

void ReservationTable::release(const std::string &Key) {
  auto Found = m_Entries.find(Key);
  if (Found != m_Entries.end() &&
      Found->second.m_State == ReservationState::Taken)
    Found->second.m_State = ReservationState::Unused;
}

void ReservationTable::complete(const std::string &Key) {
  auto Found = m_Entries.find(Key);
  if (Found != m_Entries.end() &&
      Found->second.m_State == ReservationState::Taken)
    Found->second.m_State = ReservationState::Completed;
}

void ReservationTable::removeExpired(Time Now) {
  for (auto Item = m_Entries.begin(); Item != m_Entries.end();)
    Item = Item->second.m_ExpiresAt < Now ? m_Entries.erase(Item)
                                          : std::next(Item);
}

} // namespace parsleyring
