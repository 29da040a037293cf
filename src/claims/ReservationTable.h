#ifndef PARSLEYRING_CLAIMS_RESERVATIONTABLE_H
#define PARSLEYRING_CLAIMS_RESERVATIONTABLE_H

#include "parsleyring/Types.h"

#include <deque>
#include <map>
#include <string>

namespace parsleyring {

/// Prefix of the keys that this table issues.
inline constexpr std::string_view ReservationPrefix = "rsv";
inline constexpr Duration UnusedReservationLifetime = std::chrono::hours(1);
inline constexpr Duration UsedReservationLifetime = std::chrono::hours(24);
inline constexpr std::size_t MostReservations = 100000;

enum class ReservationState {
  Absent, ///< Never issued by this incarnation, or expired.
  Unused,
  Taken, ///< Its call may run, is running, or its end is not known.
  Completed,
};

/// Keys issued by this incarnation of a VM. The right to run a call under such
/// a key is given out once, without the key-value service: nobody else can
/// give it out, and it ends with the process.
class ReservationTable {
public:
  explicit ReservationTable(const Incarnation &Owner);

  /// Empty if the table is full.
  std::optional<std::string> issue(Time Now, const std::string &Account);

  /// State before the call. An unused key becomes Taken and the caller of this
  /// function holds the right to run it.
  struct TakeResult {
    ReservationState m_Before = ReservationState::Absent;
    bool m_HasOtherBody = false;
    std::string m_Holder; ///< VM that took it before.
  };
  TakeResult take(Time Now, const std::string &Account, const std::string &Key,
                  const std::string &BodySha256, const std::string &Holder);

  /// The call under a taken key provably did not run: it may be taken again.
  void release(const std::string &Key);
  void complete(const std::string &Key);

  void removeExpired(Time Now);
  std::size_t size() const { return m_Entries.size(); }

private:
  struct Entry {
    std::string m_Account;
    std::string m_BodySha256;
    std::string m_Holder;
    ReservationState m_State = ReservationState::Unused;
    Time m_ExpiresAt;
  };

  Incarnation m_Owner;
  std::uint64_t m_LastNumber = 0;
  std::map<std::string, Entry> m_Entries;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_RESERVATIONTABLE_H
