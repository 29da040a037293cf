#include "claims/ReservationTable.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static constexpr Time Start = Time(std::chrono::hours(400000));

TEST_GROUP(ReservationTable) {
  ReservationTable m_Table{{"vm-1", 5}};
  std::string m_Key = *m_Table.issue(Start, "account");

  ReservationState take(Time Now, const char *Account = "account",
                        const char *Body = "body") {
    return m_Table.take(Now, Account, m_Key, Body, "vm-2").m_PreviousState;
  }
};

// Guards against granting the right to run a call twice.
TEST(ReservationTable, IsTakenOnce) {
  CHECK(take(Start) == ReservationState::Unused);
  CHECK(take(Start) == ReservationState::Taken);
  CHECK(m_Table.take(Start, "account", m_Key, "other", "vm-3").m_BodyDiffers);
  m_Table.complete(m_Key);
  m_Table.release(m_Key);
  CHECK(take(Start) == ReservationState::Completed);
}

// Guards against a key that cannot be taken again although its call provably
// did not run.
TEST(ReservationTable, ReleasedKeyCanBeTakenAgain) {
  take(Start);
  m_Table.release(m_Key);
  CHECK(take(Start) == ReservationState::Unused);
}

// Guards against use of a key by another account or after expiry.
TEST(ReservationTable, KeysOfOtherAccountsAndExpiredKeysAreAbsent) {
  CHECK(take(Start, "other") == ReservationState::Absent);
  CHECK(take(Start + UnusedReservationLifetime + Duration(1)) ==
        ReservationState::Absent);
  m_Table.removeExpired(Start + UnusedReservationLifetime + Duration(1));
  LONGS_EQUAL(0, m_Table.size());
}

// Guards against unbounded memory growth.
TEST(ReservationTable, IsBounded) {
  while (m_Table.size() < MaxReservations)
    CHECK(m_Table.issue(Start, "account").has_value());
  CHECK_FALSE(m_Table.issue(Start, "account").has_value());
}

PARSLEYRING_TEST_MAIN
