#include "requests/RouterFixture.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static FinishRequest onlyFinish(const Actions &From) {
  auto Found = actionsOf<FinishRequest>(From);
  LONGS_EQUAL(1, Found.size());
  return Found.at(0);
}

static StartServiceCall onlyStart(const Actions &From) {
  auto Found = actionsOf<StartServiceCall>(From);
  LONGS_EQUAL(1, Found.size());
  return Found.at(0);
}

TEST_GROUP(ServiceCall){};

// Guards against repeating a non-idempotent call that may have run, against not
// repeating one that provably did not run, and against wrong outcomes.
TEST(ServiceCall, NonIdempotentCallRunsAtMostOnce) {
  struct Case {
    AttemptResult m_Result;
    bool m_IsRepeated;
    Outcome m_Outcome;
    int m_Status;
  };
  const Case Cases[] = {
      {AttemptResult::Finished, false, Outcome::Completed, 418},
      {AttemptResult::ConnectFailed, true, Outcome::NotRun, 503},
      {AttemptResult::RefusedNotRun, true, Outcome::NotRun, 503},
      {AttemptResult::RefusedLeaving, true, Outcome::NotRun, 503},
      {AttemptResult::Rejected, false, Outcome::Unknown, 502},
      {AttemptResult::ConnectionLost, false, Outcome::Unknown, 504},
      {AttemptResult::TimedOut, false, Outcome::Unknown, 504},
      {AttemptResult::Malformed, false, Outcome::Unknown, 504},
      {AttemptResult::Cancelled, false, Outcome::Unknown, 504},
  };
  for (const char *Key : {"", "k1"})
    for (const Case &Each : Cases) {
      RouterFixture Fixture;
      Actions Decided = Fixture.sendServiceCall(1, "/pay", Key);
      if (*Key)
        Decided = Fixture.handle(ClaimSettled{1, ClaimResult::Granted, ""});
      std::size_t Dispatches = 0;
      while (actionsOf<FinishRequest>(Decided).empty()) {
        auto Started = actionsOf<StartServiceCall>(Decided);
        if (Started.empty()) {
          Decided = Fixture.runTicks(10ms);
          continue;
        }
        ++Dispatches;
        CHECK(Started[0].m_UseFreshConnection);
        Decided = Fixture.endAttempt(Started[0].m_Attempt, Each.m_Result, 418);
      }
      CHECK(Each.m_IsRepeated ? Dispatches > 1 : Dispatches == 1);
      FinishRequest Finish = onlyFinish(Decided);
      CHECK(Finish.m_Outcome == Each.m_Outcome);
      LONGS_EQUAL(Each.m_Status, Finish.m_Status);
      bool IsEndKnown = Each.m_Outcome != Outcome::Unknown;
      auto Ends = actionsOf<EndClaim>(Decided);
      LONGS_EQUAL(*Key && IsEndKnown ? 1 : 0, Ends.size());
      for (const EndClaim &End : Ends)
        CHECK((End.m_End == ClaimFinalState::Released) ==
              (Each.m_Outcome == Outcome::NotRun));
    }
}

// Guards against a dispatch without a granted claim, and against outcomes that
// contradict the result of the claim.
TEST(ServiceCall, ClaimResults) {
  struct Case {
    ClaimResult m_Result;
    Outcome m_Outcome;
    int m_Status;
  };
  const Case Cases[] = {
      {ClaimResult::InProgress, Outcome::Unknown, 409},
      {ClaimResult::Completed, Outcome::Completed, 409},
      {ClaimResult::AnswerKept, Outcome::Completed, 200},
      {ClaimResult::BodyDiffers, Outcome::NotRun, 422},
      {ClaimResult::Unavailable, Outcome::NotRun, 503},
      {ClaimResult::KeyRejected, Outcome::NotRun, 400},
  };
  for (const Case &Each : Cases) {
    RouterFixture Fixture;
    Actions Decided = Fixture.sendServiceCall(1, "/pay", "k1");
    CHECK(actionsOf<StartServiceCall>(Decided).empty());
    RequestClaim Claim = actionsOf<RequestClaim>(Decided).at(0);
    STRCMP_EQUAL("acct", Claim.m_Account.c_str());
    CHECK(Claim.m_Deadline == Fixture.m_Now + 2s);
    Decided = Fixture.handle(ClaimSettled{1, Each.m_Result, ""});
    CHECK(actionsOf<StartServiceCall>(Decided).empty());
    CHECK(actionsOf<EndClaim>(Decided).empty());
    FinishRequest Finish = onlyFinish(Decided);
    CHECK(Finish.m_Outcome == Each.m_Outcome);
    LONGS_EQUAL(Each.m_Status, Finish.m_Status);
  }
}

// Guards against dispatching a call whose claim is granted after the call ended
// as not run, after its caller disconnected or after its deadline, and against
// not releasing that claim.
TEST(ServiceCall, LateClaimIsReleasedAndNotDispatched) {
  RouterFixture Expired;
  Expired.sendServiceCall(1, "/pay", "k1");
  CHECK(onlyFinish(Expired.runTicks(2600ms)).m_Outcome == Outcome::NotRun);
  RouterFixture Disconnected;
  Disconnected.sendServiceCall(1, "/pay", "k1");
  CHECK(actionsOf<FinishRequest>(Disconnected.handle(CallerDisconnected{1}))
            .empty());
  RouterFixture Paused;
  Paused.sendServiceCall(1, "/pay", "k1");
  Paused.m_Now += 31s;
  for (RouterFixture *Fixture : {&Expired, &Disconnected, &Paused}) {
    Actions Decided =
        Fixture->handle(ClaimSettled{1, ClaimResult::Granted, ""});
    CHECK(actionsOf<StartServiceCall>(Decided).empty());
    LONGS_EQUAL(1, actionsOf<EndClaim>(Decided).size());
    CHECK(actionsOf<EndClaim>(Decided)[0].m_End == ClaimFinalState::Released);
    CHECK_FALSE(Fixture->m_Router.hasRequestsInProgress());
    // A repeated ClaimSettled must not release the claim again: another call
    // may hold the claim meanwhile.
    CHECK(actionsOf<EndClaim>(
              Fixture->handle(ClaimSettled{1, ClaimResult::Granted, ""}))
              .empty());
  }
}

// Guards against a repeated ClaimSettled that releases the claim of a call that
// ran.
TEST(ServiceCall, RepeatedSettlementDoesNotReleaseACallThatRan) {
  RouterFixture Fixture;
  Fixture.sendServiceCall(1, "/pay", "k1");
  auto Start =
      onlyStart(Fixture.handle(ClaimSettled{1, ClaimResult::Granted, ""}));
  CHECK(Fixture.handle(ClaimSettled{1, ClaimResult::Granted, ""}).empty());
  Fixture.endAttempt(Start.m_Attempt, AttemptResult::Finished, 200);
  CHECK(Fixture.handle(ClaimSettled{1, ClaimResult::Granted, ""}).empty());
}

// Guards against cancelling a dispatched non-idempotent call because its caller
// disconnected, and against dispatching that call again.
TEST(ServiceCall, DispatchedCallRunsOnWithoutItsCaller) {
  for (auto Result : {AttemptResult::Finished, AttemptResult::ConnectFailed}) {
    RouterFixture Fixture;
    Fixture.sendServiceCall(1, "/pay", "k1");
    auto Start =
        onlyStart(Fixture.handle(ClaimSettled{1, ClaimResult::Granted, ""}));
    CHECK(Fixture.handle(CallerDisconnected{1}).empty());
    Actions Decided = Fixture.endAttempt(Start.m_Attempt, Result, 200);
    CHECK(actionsOf<StartServiceCall>(Decided).empty());
    bool HasRun = Result == AttemptResult::Finished;
    CHECK(onlyFinish(Decided).m_Outcome ==
          (HasRun ? Outcome::Completed : Outcome::NotRun));
    CHECK(actionsOf<EndClaim>(Decided).at(0).m_End ==
          (HasRun ? ClaimFinalState::Completed : ClaimFinalState::Released));
  }
}

// Guards against requesting claims for idempotent calls, which would fail while
// the platform is down.
TEST(ServiceCall, IdempotentCallNeedsNoClaim) {
  RouterFixture Fixture;
  Actions Decided = Fixture.sendServiceCall(1, "/read", "k1");
  CHECK(actionsOf<RequestClaim>(Decided).empty());
  CHECK_FALSE(onlyStart(Decided).m_UseFreshConnection);
  Decided = Fixture.endAttempt(onlyStart(Decided).m_Attempt,
                               AttemptResult::ConnectionLost);
  auto Retry = onlyStart(Decided);
  CHECK(Retry.m_UseFreshConnection);
  Decided = Fixture.endAttempt(Retry.m_Attempt, AttemptResult::Finished, 500);
  LONGS_EQUAL(Retry.m_Attempt,
              actionsOf<DeliverServiceAnswer>(Decided).at(0).m_Attempt);
  LONGS_EQUAL(500, onlyFinish(Decided).m_Status);
}

// Guards against retries that exceed the retry budget and multiply the load of
// a failing pool.
TEST(ServiceCall, RetriesAreBoundedByTheBudget) {
  RouterFixture Fixture;
  int Retries = 0, Refused = 0;
  for (RequestNumber Number = 1; Number <= 45; ++Number) {
    Actions Decided = Fixture.sendServiceCall(Number, "/read");
    for (auto Started = actionsOf<StartServiceCall>(Decided); !Started.empty();
         Started = actionsOf<StartServiceCall>(Decided)) {
      Decided =
          Fixture.endAttempt(Started[0].m_Attempt, AttemptResult::TimedOut);
      Retries += static_cast<int>(actionsOf<StartServiceCall>(Decided).size());
    }
    CHECK(onlyFinish(Decided).m_Outcome == Outcome::Unknown);
    Refused += onlyFinish(Decided).m_Code == "retry-budget";
  }
  // The floor of the budget is 3; a tenth of 45 requests adds 4.
  LONGS_EQUAL(7, Retries);
  CHECK(Refused > 30);
}

// Guards against a connection without an answer that uses up the time limit of
// an idempotent call, and against cancelling a call that must not be repeated.
TEST(ServiceCall, SlowIdempotentCallIsStartedOnceMore) {
  RouterFixture Fixture;
  auto First = onlyStart(Fixture.sendServiceCall(1, "/read"));
  Actions Decided = Fixture.runTicks(5s);
  LONGS_EQUAL(First.m_Attempt,
              actionsOf<CancelAttempt>(Decided).at(0).m_Attempt);
  auto Second = onlyStart(Decided);
  CHECK(Second.m_Endpoint != First.m_Endpoint);
  Fixture.endAttempt(First.m_Attempt, AttemptResult::Cancelled);
  CHECK(Fixture.runTicks(20s).empty());
  CHECK(onlyFinish(
            Fixture.endAttempt(Second.m_Attempt, AttemptResult::Finished, 200))
            .m_Outcome == Outcome::Completed);
  RouterFixture Once;
  onlyStart(Once.sendServiceCall(1, "/pay"));
  CHECK(Once.runTicks(30s).empty());
  FinishRequest Finish = onlyFinish(Once.runTicks(1100ms));
  CHECK(Finish.m_Outcome == Outcome::Unknown);
  LONGS_EQUAL(504, Finish.m_Status);
}

// Guards against idempotency keys and query strings in audit records.
TEST(ServiceCall, RecordsHoldNoKey) {
  RouterFixture Fixture;
  Actions Decided = Fixture.sendServiceCall(1, "/pay?card=4711", "secret-key");
  Actions More = Fixture.handle(ClaimSettled{1, ClaimResult::Unavailable, ""});
  Decided.insert(Decided.end(), More.begin(), More.end());
  int Hashes = 0;
  for (const WriteAudit &Record : actionsOf<WriteAudit>(Decided)) {
    CHECK(Record.m_FieldsJson.find("secret-key") == std::string::npos);
    CHECK(Record.m_FieldsJson.find("4711") == std::string::npos);
    Hashes +=
        Record.m_FieldsJson.find(sha256Hex("secret-key")) != std::string::npos;
  }
  LONGS_EQUAL(3, Hashes);
}

PARSLEYRING_TEST_MAIN
