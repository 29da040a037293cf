#include "claims/PlatformClaimService.h"

#include "support/Eventually.h"
#include "support/FakePlatform.h"
#include "support/TestMain.h"

#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

/// Platform whose reads block until m_IsReleased is set.
class BlockingPlatform : public FakePlatform {
public:
  std::optional<PlatformValue> read(const std::string &Key) override {
    ++m_WaitingReads;
    while (!m_IsReleased)
      std::this_thread::yield();
    return FakePlatform::read(Key);
  }

  std::atomic<unsigned> m_WaitingReads{0};
  std::atomic<bool> m_IsReleased{false};
};

TEST_GROUP(PlatformClaimService) {
  const Incarnation m_Self{"vm-1", 5};
  BlockingPlatform m_Platform;
  std::atomic<bool> m_IsPeerBlocked{false};
  std::atomic<unsigned> m_Settled{0};
  std::atomic<ClaimResult> m_Last{ClaimResult::Unavailable};
  std::unique_ptr<PlatformClaimService> m_Claims;

  void setup() override {
    ClaimCallbacks Callbacks;
    Callbacks.m_Now = [] { return Time(std::chrono::hours(400000)); };
    Callbacks.m_KeyState = [this](const Incarnation &, const std::string &,
                                  const std::string &) {
      while (m_IsPeerBlocked)
        std::this_thread::yield();
      RemoteAnswer Kept;
      Kept.m_State = RemoteAnswer::State::Ended;
      Kept.m_Outcome = Outcome::Completed;
      return std::make_optional(Kept);
    };
    Callbacks.m_OnKeptAnswer = [](RequestNumber, const RemoteAnswer &) {};
    Callbacks.m_TakeRemoteReservation = [this](const OwnedId &,
                                               const RequestClaim &) {
      while (m_IsPeerBlocked)
        std::this_thread::yield();
      return std::optional<ReservationTable::TakeResult>();
    };
    Callbacks.m_EndRemoteReservation = [](const OwnedId &, const std::string &,
                                          ClaimFinalState) {};
    m_Claims = std::make_unique<PlatformClaimService>(m_Self, 1, m_Platform,
                                                      Callbacks);
  }

  void teardown() override {
    m_Platform.m_IsReleased = true;
    m_IsPeerBlocked = false;
    m_Claims.reset();
  }

  void claim(RequestNumber Number, const std::string &Key) {
    RequestClaim Request{Number, "account", Key, "body",
                         Time(std::chrono::hours(400001))};
    m_Claims->claim(Request, [this](const ClaimSettled &Settled) {
      m_Last = Settled.m_Result;
      ++m_Settled;
    });
  }
};

// Guards against claims of reserved keys being blocked by an unresponsive
// platform.
TEST(PlatformClaimService, ReservationsAreNotBlockedByThePlatform) {
  for (RequestNumber Number = 1; Number <= 40; ++Number)
    claim(Number, "key-" + std::to_string(Number));
  CHECK(eventually([this] { return m_Platform.m_WaitingReads >= 4; }));
  claim(41, *m_Claims->issueReservation("account"));
  CHECK(eventually([this] { return m_Settled == 1; }));
  CHECK(m_Last == ClaimResult::Granted);
  claim(42, "rsv-vm-2-7-1");
  CHECK(eventually([this] { return m_Settled == 2; }));
  CHECK(m_Last == ClaimResult::InProgress);
}

// Guards against claims and reservations of this VM being blocked by an
// unresponsive peer.
TEST(PlatformClaimService, ClaimsAreNotBlockedByPeers) {
  m_Platform.m_IsReleased = true;
  m_IsPeerBlocked = true;
  for (RequestNumber Number = 1; Number <= 40; ++Number)
    claim(Number, "rsv-vm-2-7-1");
  claim(41, "key");
  CHECK(eventually([this] { return m_Settled == 1; }));
  CHECK(m_Last == ClaimResult::Granted);
  claim(42, *m_Claims->issueReservation("account"));
  CHECK(eventually([this] { return m_Settled == 2; }));
  CHECK(m_Last == ClaimResult::Granted);
}

// Guards against a repeated request with a reserved key that, sent to another
// VM, does not get the answer kept by the VM that issued the key and ran the
// call.
TEST(PlatformClaimService, RepeatAtAnotherVMGetsTheAnswerOfTheIssuer) {
  ClaimCallbacks Callbacks;
  Callbacks.m_Now = [] { return Time(std::chrono::hours(400000)); };
  std::atomic<unsigned> Kept{0};
  Callbacks.m_KeyState = [](const Incarnation &Holder, const std::string &,
                            const std::string &) {
    RemoteAnswer Answer;
    Answer.m_State = RemoteAnswer::State::Ended;
    Answer.m_Outcome = Outcome::Completed;
    return Holder.m_VM == "vm-1" && Holder.m_Number == 5
               ? std::make_optional(Answer)
               : std::nullopt;
  };
  Callbacks.m_OnKeptAnswer = [&](RequestNumber, const RemoteAnswer &) {
    ++Kept;
  };
  Callbacks.m_TakeRemoteReservation = [this](const OwnedId &,
                                             const RequestClaim &Call) {
    return std::make_optional(m_Claims->takeReservation(
        Call.m_Account, Call.m_IdempotencyKey, Call.m_BodySha256, "vm-2"));
  };
  PlatformClaimService Other({"vm-2", 9}, 1, m_Platform, Callbacks);
  std::string Key = *m_Claims->issueReservation("account");
  claim(1, Key);
  Other.claim({2, "account", Key, "body", Time(std::chrono::hours(400001))},
              [this](const ClaimSettled &Settled) {
                m_Last = Settled.m_Result;
                ++m_Settled;
              });
  CHECK(eventually([this] { return m_Settled == 2; }));
  CHECK(m_Last == ClaimResult::AnswerKept);
  LONGS_EQUAL(1, Kept);
}

PARSLEYRING_TEST_MAIN
