#ifndef PARSLEYRING_CLAIMS_RESERVATIONTABLE_H
#define PARSLEYRING_CLAIMS_RESERVATIONTABLE_H

#include "parsleyring/Types.h"

#include <deque>
#include <map>
#include <string>

namespace parsleyring {

/// Prefix of the idempotency keys that this table issues.
inline constexpr std::string_view ReservationPrefix = "rsv";
inline constexpr Duration UnusedReservationLifetime = std::chrono::hours(1);
inline constexpr Duration UsedReservationLifetime = std::chrono::hours(24);
inline constexpr std::size_t MaxReservations = 100000;

enum class ReservationState {
  Absent, ///< Not issued by this incarnation, or expired.
  Unused,
  Taken, ///< The call may start, is running, or has an unknown outcome.
  Completed,
};

/// Idempotency keys issued by this incarnation of a VM. The right to run the
/// call under such a key is granted once and without the key-value service:
/// only this process can grant the right, and the right ends with the process.
class ReservationTable {
public:
  explicit ReservationTable(const Incarnation &Owner);

  /// Returns an empty result if the table is full.
  std::optional<std::string> issue(Time Now, const std::string &Account);

  /// Result of take(). If m_PreviousState is Unused, the key is now Taken and
  /// the caller of take() has the right to run the call.
  struct TakeResult {
    ReservationState m_PreviousState = ReservationState::Absent;
    bool m_BodyDiffers = false;
    std::string m_Holder; ///< VM that took the key earlier.
  };
  TakeResult take(Time Now, const std::string &Account, const std::string &Key,
                  const std::string &BodySha256, const std::string &Holder);

  /// Makes a taken key Unused again, after its call provably did not run.
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
