#include "requests/RouterFixture.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

namespace {

/// A Router with one completion whose first attempt was started.
struct StartedCompletion : RouterFixture {
  explicit StartedCompletion(std::uint32_t MaxTokens = 8) {
    m_Start = actionsOf<StartCompletion>(sendCompletion(1, MaxTokens)).at(0);
  }

  void deliver(std::uint32_t Count) {
    for (std::uint32_t Position = 0; Position < Count; ++Position)
      LONGS_EQUAL(1,
                  actionsOf<DeliverToken>(sendToken(m_Start, Position)).size());
  }

  StartCompletion m_Start;
};

bool usesEndpoint(const std::vector<Stage> &Route,
                  const std::string &Endpoint) {
  for (const Stage &RouteStage : Route)
    if (RouteStage.m_Hop.m_Endpoint == Endpoint)
      return true;
  return false;
}

std::string auditText(const Actions &From, AuditKind Kind) {
  std::string Result;
  for (const WriteAudit &Record : actionsOf<WriteAudit>(From))
    if (Record.m_Kind == Kind)
      Result += Record.m_FieldsJson;
  return Result;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

FinishRequest onlyFinish(const Actions &From) {
  auto Found = actionsOf<FinishRequest>(From);
  LONGS_EQUAL(1, Found.size());
  return Found.at(0);
}

} // namespace

TEST_GROUP(Completion){};

// Guards against retries that all fail at the same dead later stage, because
// the first stage that reported the failure was avoided instead of the dead
// one.
TEST(Completion, DeadLaterStageIsAvoided) {
  for (AttemptResult Result :
       {AttemptResult::ConnectFailed, AttemptResult::RefusedNotRun}) {
    StartedCompletion Test;
    std::string First = Test.m_Start.m_Route.at(0).m_Hop.m_Endpoint;
    std::string DeadStage = Test.m_Start.m_Route.at(1).m_Hop.m_Endpoint;
    Actions Next = Test.handle(
        AttemptEnded{Test.m_Start.m_Attempt, Result, 503, "", DeadStage});
    for (const Action &Later : Test.runTicks(100ms))
      Next.push_back(Later);
    CHECK(!usesEndpoint(actionsOf<StartCompletion>(Next).at(0).m_Route,
                        DeadStage));
    // Only the dead stage is avoided; the first stage still gets requests.
    bool IsFirstUsed = false;
    for (RequestNumber Number = 2; Number < 12; ++Number)
      for (const auto &Started :
           actionsOf<StartCompletion>(Test.sendCompletion(Number)))
        IsFirstUsed |= usesEndpoint(Started.m_Route, First);
    CHECK(IsFirstUsed);
  }
}

// Guards against delivering tokens that skipped, repeated or reordered layers,
// and against quarantining a healthy endpoint for them.
TEST(Completion, WrongHopsQuarantineAndResume) {
  // How the hops of the route are changed, and which stage is at fault.
  struct Case {
    const char *m_Name;
    std::vector<Hop> (*m_Change)(std::vector<Hop>);
    std::size_t m_FaultyStage;
  };
  const Case Cases[] = {
      {"first range skipped",
       [](std::vector<Hop> Hops) { return std::vector<Hop>{Hops[1]}; }, 0},
      {"last range skipped",
       [](std::vector<Hop> Hops) { return std::vector<Hop>{Hops[0]}; }, 1},
      {"first range repeated",
       [](std::vector<Hop> Hops) {
         return std::vector<Hop>{Hops[0], Hops[0], Hops[1]};
       },
       0},
      {"last range repeated",
       [](std::vector<Hop> Hops) {
         return std::vector<Hop>{Hops[0], Hops[1], Hops[1]};
       },
       1},
      {"order exchanged",
       [](std::vector<Hop> Hops) {
         return std::vector<Hop>{Hops[1], Hops[0]};
       },
       0},
      {"layer repeated at a boundary",
       [](std::vector<Hop> Hops) {
         Hops[1].m_Layers.m_First = 3;
         return Hops;
       },
       1},
      {"foreign endpoint",
       [](std::vector<Hop> Hops) {
         Hops[1].m_Endpoint = "c9";
         return Hops;
       },
       1},
      {"no hops", [](std::vector<Hop>) { return std::vector<Hop>(); }, 0},
  };
  for (const Case &Each : Cases) {
    StartedCompletion Fixture;
    Fixture.deliver(3);
    const std::string &FaultyEndpoint =
        Fixture.m_Start.m_Route[Each.m_FaultyStage].m_Hop.m_Endpoint;
    Actions Decided = Fixture.handle(
        TokenArrived{Fixture.m_Start.m_Attempt, 3,
                     Each.m_Change(hopsOf(Fixture.m_Start.m_Route))});
    CHECK_TEXT(actionsOf<DeliverToken>(Decided).empty(), Each.m_Name);
    LONGS_EQUAL_TEXT(1, actionsOf<CancelAttempt>(Decided).size(), Each.m_Name);
    std::string Endpoints = auditText(Decided, AuditKind::Endpoint);
    CHECK_TEXT(contains(Endpoints, "\"" + FaultyEndpoint + "\""), Each.m_Name);
    CHECK_TEXT(contains(Endpoints, "wrong-hop"), Each.m_Name);
    auto Resumed = actionsOf<StartCompletion>(Decided).at(0);
    LONGS_EQUAL_TEXT(3, Resumed.m_StartPosition, Each.m_Name);
    LONGS_EQUAL_TEXT(Fixture.m_Start.m_Epoch + 1, Resumed.m_Epoch, Each.m_Name);
    CHECK_FALSE_TEXT(usesEndpoint(Resumed.m_Route, FaultyEndpoint),
                     Each.m_Name);
  }
}

// Guards against delivering a token twice, out of order or beyond max_tokens.
TEST(Completion, WrongPositionIsRefused) {
  for (std::uint32_t Position : {0U, 1U, 3U, 1000U}) {
    StartedCompletion Fixture;
    Fixture.deliver(2);
    Actions Decided = Fixture.sendToken(Fixture.m_Start, Position);
    CHECK(actionsOf<DeliverToken>(Decided).empty());
    LONGS_EQUAL(2, actionsOf<StartCompletion>(Decided).at(0).m_StartPosition);
    CHECK(contains(auditText(Decided, AuditKind::Retry), "wrong-position"));
  }
}

// Guards against acting on a late token or the end of a replaced attempt.
TEST(Completion, StaleEpochDeliversNothing) {
  StartedCompletion Fixture;
  Fixture.deliver(2);
  StartCompletion Resumed =
      actionsOf<StartCompletion>(Fixture.sendToken(Fixture.m_Start, 9)).at(0);
  CHECK(actionsOf<DeliverToken>(Fixture.sendToken(Fixture.m_Start, 2)).empty());
  LONGS_EQUAL(1, actionsOf<DeliverToken>(Fixture.sendToken(Resumed, 2)).size());
  CHECK(actionsOf<FinishRequest>(Fixture.endAttempt(Fixture.m_Start.m_Attempt,
                                                    AttemptResult::Finished))
            .empty());
  LONGS_EQUAL(
      1, Fixture.m_Router.counters().m_Totals.at("tokens_dropped_stale_epoch"));
  FinishRequest Finish = onlyFinish(
      Fixture.endAttempt(Resumed.m_Attempt, AttemptResult::Finished));
  CHECK(Finish.m_Outcome == Outcome::Completed);
}

// Guards against requests that never end or get a wrong outcome when all their
// attempts end with the same result, before or after the first token.
TEST(Completion, OutcomeOfRepeatedFailures) {
  struct Case {
    AttemptResult m_Result;
    std::uint32_t m_Tokens;
    Outcome m_Outcome;
  };
  const Case Cases[] = {
      {AttemptResult::ConnectFailed, 0, Outcome::NotRun},
      {AttemptResult::RefusedNotRun, 0, Outcome::NotRun},
      {AttemptResult::RefusedLeaving, 0, Outcome::NotRun},
      {AttemptResult::Rejected, 0, Outcome::Failed},
      {AttemptResult::ConnectionLost, 0, Outcome::Failed},
      {AttemptResult::TimedOut, 0, Outcome::Failed},
      {AttemptResult::Malformed, 0, Outcome::Failed},
      {AttemptResult::Cancelled, 0, Outcome::Failed},
      {AttemptResult::ConnectFailed, 2, Outcome::Failed},
      {AttemptResult::RefusedNotRun, 2, Outcome::Failed},
      {AttemptResult::RefusedLeaving, 2, Outcome::Failed},
      {AttemptResult::ConnectionLost, 2, Outcome::Failed},
  };
  for (const Case &Each : Cases) {
    StartedCompletion Fixture;
    Fixture.deliver(Each.m_Tokens);
    Actions Decided =
        Fixture.endAttempt(Fixture.m_Start.m_Attempt, Each.m_Result, 400);
    if (Each.m_Tokens > 0)
      LONGS_EQUAL(1, actionsOf<StartCompletion>(Decided).size());
    for (int Round = 0; actionsOf<FinishRequest>(Decided).empty(); ++Round) {
      CHECK(Round < 4000);
      auto Next = actionsOf<StartCompletion>(Decided);
      Decided = Next.empty()
                    ? Fixture.runTicks(10ms)
                    : Fixture.endAttempt(Next[0].m_Attempt, Each.m_Result, 400);
    }
    CHECK(onlyFinish(Decided).m_Outcome == Each.m_Outcome);
    CHECK_FALSE(Fixture.m_Router.hasRequestsInProgress());
  }
}

// Guards against a stream that fails long before its time limit because all
// remaining engines are full, or cannot be reached, for some seconds.
TEST(Completion, AttemptsThatDidNotRunAreNotCounted) {
  for (AttemptResult Refusal :
       {AttemptResult::RefusedNotRun, AttemptResult::ConnectFailed}) {
    StartedCompletion Fixture;
    Fixture.deliver(2);
    Actions Decided = Fixture.endAttempt(Fixture.m_Start.m_Attempt,
                                         AttemptResult::ConnectionLost);
    Time FreeAgain = Fixture.m_Now + 5s;
    int Sends = 0;
    while (Fixture.m_Now < FreeAgain) {
      CHECK(actionsOf<FinishRequest>(Decided).empty());
      auto Next = actionsOf<StartCompletion>(Decided);
      Sends += static_cast<int>(Next.size());
      Decided = Next.empty() ? Fixture.runTicks(10ms)
                             : Fixture.endAttempt(Next[0].m_Attempt, Refusal);
    }
    // The delay between attempts grows, so a full engine gets few of them.
    CHECK(Sends <= 15);
    while (actionsOf<StartCompletion>(Decided).empty())
      Decided = Fixture.runTicks(10ms);
    auto Resumed = actionsOf<StartCompletion>(Decided).at(0);
    LONGS_EQUAL(2, Resumed.m_StartPosition);
    for (std::uint32_t Position = 2; Position < 8; ++Position)
      LONGS_EQUAL(
          1,
          actionsOf<DeliverToken>(Fixture.sendToken(Resumed, Position)).size());
    CHECK(onlyFinish(
              Fixture.endAttempt(Resumed.m_Attempt, AttemptResult::Finished))
              .m_Outcome == Outcome::Completed);
  }
}

// Guards against retrying a request that an engine rejected with a 4xx.
TEST(Completion, RejectionReachesTheCaller) {
  StartedCompletion Fixture;
  Actions Decided = Fixture.endAttempt(Fixture.m_Start.m_Attempt,
                                       AttemptResult::Rejected, 400);
  CHECK(actionsOf<StartCompletion>(Decided).empty());
  LONGS_EQUAL(400, onlyFinish(Decided).m_Status);
}

// Guards against a stream without tokens that keeps its caller waiting, and
// against taking a pause of this VM for a stall of the endpoints.
TEST(Completion, StallResumesElsewhereButPauseDoesNot) {
  StartedCompletion Fixture;
  Fixture.deliver(2);
  Fixture.m_Now += 20s;
  CHECK(actionsOf<CancelAttempt>(Fixture.handle(Tick())).empty());
  LONGS_EQUAL(
      1, actionsOf<DeliverToken>(Fixture.sendToken(Fixture.m_Start, 2)).size());
  Actions Decided = Fixture.runTicks(1100ms);
  LONGS_EQUAL(Fixture.m_Start.m_Attempt,
              actionsOf<CancelAttempt>(Decided).at(0).m_Attempt);
  auto Resumed = actionsOf<StartCompletion>(Decided).at(0);
  LONGS_EQUAL(3, Resumed.m_StartPosition);
  for (const Stage &Old : Fixture.m_Start.m_Route)
    CHECK_FALSE(usesEndpoint(Resumed.m_Route, Old.m_Hop.m_Endpoint));
}

// Guards against a stream that resumes on the route that has just stalled:
// after two stalls the routes of both would count as failed, and no other is
// left.
TEST(Completion, StalledRouteIsNotTakenAgainAtOnce) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    RouterFixture Fixture(Seed);
    auto Start = actionsOf<StartCompletion>(Fixture.sendCompletion(1)).at(0);
    Fixture.sendToken(Start, 0);
    for (int Resume = 0; Resume < 3; ++Resume) {
      std::vector<StartCompletion> Next;
      while (Next.empty())
        Next = actionsOf<StartCompletion>(Fixture.runTicks(10ms));
      for (const Stage &Stalled : Start.m_Route)
        CHECK_FALSE(usesEndpoint(Next.at(0).m_Route, Stalled.m_Hop.m_Endpoint));
      Start = Next.at(0);
    }
  }
}

// Guards against cancelling the last allowed attempt, which would lose a slow
// answer, and against requests that never end.
TEST(Completion, StalledRequestFailsAtItsDeadline) {
  StartedCompletion Fixture;
  Actions Decided = Fixture.runTicks(29900ms);
  LONGS_EQUAL(3, actionsOf<StartCompletion>(Decided).size());
  CHECK(actionsOf<FinishRequest>(Decided).empty());
  FinishRequest Finish = onlyFinish(Fixture.runTicks(200ms));
  CHECK(Finish.m_Outcome == Outcome::Failed);
  LONGS_EQUAL(504, Finish.m_Status);
}

// Guards against ending a stream that makes progress at the time limit that its
// request had at arrival.
TEST(Completion, ProgressKeepsTheStreamBeyondTheDeadline) {
  auto Configuration = testDocument();
  Configuration->m_Pools[0].m_RequestTimeoutMillis = 1000;
  RouterFixture Fixture(1, Configuration);
  auto Start = actionsOf<StartCompletion>(Fixture.sendCompletion(1, 64)).at(0);
  for (std::uint32_t Position = 0; Position < 64; ++Position) {
    CHECK(Fixture.runTicks(140ms).empty());
    LONGS_EQUAL(
        1, actionsOf<DeliverToken>(Fixture.sendToken(Start, Position)).size());
  }
  CHECK(onlyFinish(Fixture.endAttempt(Start.m_Attempt, AttemptResult::Finished))
            .m_Outcome == Outcome::Completed);
}

// Guards against failing a request whose tokens all arrived, but whose stream
// was lost before its explicit end.
TEST(Completion, AllTokensWithoutEndAreComplete) {
  StartedCompletion Fixture(2);
  Fixture.deliver(2);
  FinishRequest Finish = onlyFinish(Fixture.endAttempt(
      Fixture.m_Start.m_Attempt, AttemptResult::ConnectionLost));
  CHECK(Finish.m_Outcome == Outcome::Completed);
}

// Guards against streams that continue, or queued requests that are dispatched,
// after their caller disconnected.
TEST(Completion, CallerDisconnected) {
  StartedCompletion Fixture;
  Actions Decided = Fixture.handle(CallerDisconnected{1});
  LONGS_EQUAL(1, actionsOf<CancelAttempt>(Decided).size());
  CHECK(onlyFinish(Decided).m_Outcome == Outcome::Failed);
  CHECK(actionsOf<FinishRequest>(Fixture.endAttempt(Fixture.m_Start.m_Attempt,
                                                    AttemptResult::Cancelled))
            .empty());
  for (const char *Name : {"a1", "a2"})
    Fixture.handle(EndpointLeaving{Name, "", LeavingSource::VMList});
  CHECK(actionsOf<StartCompletion>(Fixture.sendCompletion(2)).empty());
  CHECK(onlyFinish(Fixture.handle(CallerDisconnected{2})).m_Outcome ==
        Outcome::NotRun);
}

// Guards against cancelling an answer whose caller lost its connection but asks
// for the rest, and against continuing it for a caller that does not.
TEST(Completion, CallerMayReconnectForTheRest) {
  StartedCompletion Fixture;
  Fixture.deliver(2);
  CHECK(Fixture.handle(CallerDisconnected{1}).empty());
  for (std::uint32_t Position = 2; Position < 6; ++Position) {
    CHECK(actionsOf<FinishRequest>(Fixture.runTicks(100ms)).empty());
    CHECK(Fixture.handle(CallerReturned{1}).empty());
    LONGS_EQUAL(
        1, actionsOf<DeliverToken>(Fixture.sendToken(Fixture.m_Start, Position))
               .size());
  }
  // A lost stream is still resumed.
  Actions Decided = Fixture.endAttempt(Fixture.m_Start.m_Attempt,
                                       AttemptResult::ConnectionLost);
  Fixture.m_Start = actionsOf<StartCompletion>(Decided).at(0);
  LONGS_EQUAL(6, Fixture.m_Start.m_StartPosition);
  CHECK(actionsOf<FinishRequest>(Fixture.runTicks(2900ms)).empty());
  FinishRequest Ended = onlyFinish(Fixture.runTicks(200ms));
  CHECK(Ended.m_Outcome == Outcome::Failed);
  STRCMP_EQUAL("caller-gone", Ended.m_Code.c_str());
  CHECK(Fixture.handle(CallerReturned{1}).empty());
}

// Guards against ending work in progress at a shutdown, and against accepting
// new requests.
TEST(Completion, DrainRefusesOnlyNewRequests) {
  StartedCompletion Fixture;
  Fixture.handle(DrainStarted());
  FinishRequest Refused = onlyFinish(Fixture.sendCompletion(2));
  CHECK(Refused.m_Outcome == Outcome::NotRun);
  LONGS_EQUAL(503, Refused.m_Status);
  STRCMP_EQUAL("stopping", Refused.m_Code.c_str());
  Actions Decided = Fixture.endAttempt(Fixture.m_Start.m_Attempt,
                                       AttemptResult::ConnectionLost);
  auto Retried = actionsOf<StartCompletion>(Decided).at(0);
  CHECK(
      onlyFinish(Fixture.endAttempt(Retried.m_Attempt, AttemptResult::Finished))
          .m_Outcome == Outcome::Completed);
}

// Guards against routes over an endpoint that is leaving according to a
// refusal, a load report or a peer, against announcing such an endpoint to the
// peers never or twice, and against repeating the announcement of a peer.
TEST(Completion, LeavingEndpointsGetNoNewWork) {
  StartedCompletion Fixture;
  std::string First = Fixture.m_Start.m_Route[0].m_Hop.m_Endpoint;
  Actions Decided = Fixture.endAttempt(Fixture.m_Start.m_Attempt,
                                       AttemptResult::RefusedLeaving);
  STRCMP_EQUAL(First.c_str(),
               actionsOf<AnnounceLeaving>(Decided).at(0).m_Endpoint.c_str());
  CHECK_FALSE(
      usesEndpoint(actionsOf<StartCompletion>(Decided).at(0).m_Route, First));
  LoadReported Report{"b1", "run-1", Fixture.m_Now, 0, 0, true, {}};
  auto Announced = actionsOf<AnnounceLeaving>(Fixture.handle(Report));
  STRCMP_EQUAL("run-1", Announced.at(0).m_Incarnation.c_str());
  CHECK(actionsOf<AnnounceLeaving>(Fixture.handle(Report)).empty());
  CHECK(actionsOf<AnnounceLeaving>(
            Fixture.handle(EndpointLeaving{"s1", "", LeavingSource::Peer}))
            .empty());
  for (RequestNumber Number = 2; Number < 6; ++Number) {
    auto Route = actionsOf<StartCompletion>(Fixture.sendCompletion(Number))
                     .at(0)
                     .m_Route;
    CHECK_FALSE(usesEndpoint(Route, First));
    CHECK_FALSE(usesEndpoint(Route, "b1"));
  }
}

// Guards against a rolling replacement of endpoints that uses up the attempts
// or the retry budget of a request.
TEST(Completion, RefusalsOfLeavingEndpointsAreNotCounted) {
  auto Configuration = testDocument();
  auto &Endpoints = Configuration->m_Pools[0].m_Endpoints;
  for (int Number = 3; Number <= 8; ++Number) {
    Endpoints.push_back(Endpoints[0]);
    Endpoints.back().m_Name = "a" + std::to_string(Number);
  }
  RouterFixture Fixture(1, Configuration);
  Actions Decided = Fixture.sendCompletion(1);
  for (int Refusal = 0; Refusal < 7; ++Refusal)
    Decided =
        Fixture.endAttempt(actionsOf<StartCompletion>(Decided).at(0).m_Attempt,
                           AttemptResult::RefusedLeaving, 503);
  LONGS_EQUAL(1, actionsOf<StartCompletion>(Decided).size());
  LONGS_EQUAL(7, Fixture.m_Router.counters().m_Totals.at("endpoints_leaving"));
}

// Guards against queueing a request that is not expected to start before its
// deadline.
TEST(Completion, EstimatedWaitBeyondTheDeadlineIsRefused) {
  auto Configuration = testDocument();
  Configuration->m_Pools[0].m_RequestTimeoutMillis = 1000;
  auto &Endpoints = Configuration->m_Pools[0].m_Endpoints;
  Endpoints = {Endpoints[0], Endpoints[2]};
  for (EndpointSpec &Endpoint : Endpoints)
    Endpoint.m_Slots = 1;
  RouterFixture Fixture(1, Configuration);
  Actions Decided = Fixture.sendCompletion(1);
  for (RequestNumber Number = 2; Number <= 6; ++Number)
    CHECK(actionsOf<FinishRequest>(Fixture.sendCompletion(Number)).empty());
  // One request ends every 300 ms, so the fourth queued request waits 1.2 s,
  // more than the time limit of 1 s.
  for (int Ended = 0; Ended < 2; ++Ended) {
    Fixture.runTicks(300ms);
    Decided =
        Fixture.endAttempt(actionsOf<StartCompletion>(Decided).at(0).m_Attempt,
                           AttemptResult::Finished);
  }
  CHECK(actionsOf<FinishRequest>(Fixture.sendCompletion(7)).empty());
  FinishRequest Refused = onlyFinish(Fixture.sendCompletion(8));
  STRCMP_EQUAL("overloaded", Refused.m_Code.c_str());
  CHECK(Refused.m_Outcome == Outcome::NotRun);
  CHECK(Refused.m_RetryAfterSeconds > 0);
}

// Guards against a document from which the last account is removed and that
// then lets every request in, with the removed key, an unknown one or none.
TEST(Completion, DocumentWithoutAccountsAdmitsNobody) {
  auto Configuration = testDocument();
  Configuration->m_Accounts.clear();
  RouterFixture Fixture;
  Fixture.handle(ConfigurationApplied{2, Configuration});
  RequestNumber Number = 0;
  for (const char *KeyHash : {"key", "other", ""}) {
    FinishRequest Completion = onlyFinish(Fixture.handle(
        CompletionArrived{++Number, KeyHash, "model", 1, 8, 0, {}}));
    FinishRequest Call = onlyFinish(Fixture.handle(ServiceCallArrived{
        ++Number, KeyHash, "ledger", "POST", "/pay", "", "body"}));
    for (const FinishRequest &Refused : {Completion, Call}) {
      LONGS_EQUAL(401, Refused.m_Status);
      STRCMP_EQUAL("unknown-key", Refused.m_Code.c_str());
      CHECK(Refused.m_Outcome == Outcome::NotRun);
    }
  }
  // The first account that is added is let in.
  Fixture.handle(ConfigurationApplied{3, testDocument()});
  LONGS_EQUAL(
      1, actionsOf<StartCompletion>(Fixture.sendCompletion(++Number)).size());
}

// Guards against rejections with a wrong status, code or outcome.
TEST(Completion, Rejections) {
  struct Case {
    CompletionArrived m_Arrival;
    int m_Status;
    const char *m_Code;
  };
  const Case Cases[] = {
      {{1, "other", "model", 1, 8, 0, {}}, 401, "unknown-key"},
      {{1, "key", "other", 1, 8, 0, {}}, 404, "unknown-model"},
      {{1, "key", "model", 1, 65, 0, {}}, 400, "max-tokens"},
      {{1, "slow", "model", 1, 8, 0, {}}, 429, "rate-limit"},
      {{1, "none", "model", 1, 8, 0, {}}, 429, "outstanding-limit"},
  };
  for (const Case &Each : Cases) {
    auto Configuration = testDocument();
    Configuration->m_Accounts.push_back({"slow", {"slow"}, 1, 0, 10});
    Configuration->m_Accounts.push_back({"none", {"none"}, 1, 10, 1});
    RouterFixture Fixture(1, Configuration);
    Fixture.handle(CompletionArrived{9, "none", "model", 1, 8, 0, {}});
    FinishRequest Finish = onlyFinish(Fixture.handle(Each.m_Arrival));
    CHECK(Finish.m_Outcome == Outcome::NotRun);
    LONGS_EQUAL(Each.m_Status, Finish.m_Status);
    STRCMP_EQUAL(Each.m_Code, Finish.m_Code.c_str());
    LONGS_EQUAL(Each.m_Status == 429, Finish.m_RetryAfterSeconds > 0);
  }
  Router Unconfigured(RouterFixture::options(1));
  Actions Decided;
  Unconfigured.handle(TestStart, Cases[0].m_Arrival, Decided);
  STRCMP_EQUAL("no-configuration", onlyFinish(Decided).m_Code.c_str());
}

// Guards against a queue that exceeds its limit or keeps requests past their
// deadline.
TEST(Completion, QueueIsBoundedAndKeepsDeadlines) {
  auto Configuration = testDocument();
  Configuration->m_Pools[0].m_QueueLimit = 3;
  Configuration->m_Pools[0].m_Endpoints.clear();
  RouterFixture Fixture(1, Configuration);
  for (RequestNumber Number = 1; Number <= 3; ++Number)
    CHECK(actionsOf<FinishRequest>(Fixture.sendCompletion(Number)).empty());
  FinishRequest Refused = onlyFinish(Fixture.sendCompletion(4));
  STRCMP_EQUAL("queue-full", Refused.m_Code.c_str());
  LONGS_EQUAL(3, Fixture.m_Router.counters().m_RequestsQueued);
  auto Expired = actionsOf<FinishRequest>(Fixture.runTicks(30100ms));
  LONGS_EQUAL(3, Expired.size());
  for (const FinishRequest &Finish : Expired)
    CHECK(Finish.m_Outcome == Outcome::NotRun && Finish.m_Status == 503);
}

// Guards against an older configuration that replaces a newer one, and against
// requests that never end because their pool was removed.
TEST(Completion, ConfigurationNeverReverts) {
  RouterFixture Fixture;
  auto Reduced = testDocument();
  Reduced->m_Pipelines.clear();
  Reduced->m_Pools.erase(Reduced->m_Pools.begin());
  for (const char *Name : {"a1", "a2"})
    Fixture.handle(EndpointLeaving{Name, "", LeavingSource::VMList});
  Fixture.sendCompletion(1);
  STRCMP_EQUAL("pool-removed",
               onlyFinish(Fixture.handle(ConfigurationApplied{5, Reduced}))
                   .m_Code.c_str());
  Actions Decided = Fixture.handle(ConfigurationApplied{4, testDocument()});
  CHECK(contains(auditText(Decided, AuditKind::Configuration),
                 "\"accepted\":false"));
  LONGS_EQUAL(5, Fixture.m_Router.configurationVersion());
  LONGS_EQUAL(404, onlyFinish(Fixture.sendCompletion(2)).m_Status);
}

// Guards against excluding the first stage because a later stage failed, and
// against new routes over the failed stage.
TEST(Completion, OnlyTheNamedStageIsUnavailable) {
  for (bool IsNamed : {true, false}) {
    StartedCompletion Fixture;
    Fixture.deliver(2);
    std::string First = Fixture.m_Start.m_Route[0].m_Hop.m_Endpoint;
    std::string Second = Fixture.m_Start.m_Route[1].m_Hop.m_Endpoint;
    Actions Decided = Fixture.handle(
        AttemptEnded{Fixture.m_Start.m_Attempt, AttemptResult::ConnectionLost,
                     200, "", IsNamed ? Second : "not on the route"});
    auto Resumed = actionsOf<StartCompletion>(Decided).at(0);
    CHECK_FALSE(usesEndpoint(Resumed.m_Route, Second));
    CHECK(contains(auditText(Decided, AuditKind::Retry), "connection-lost"));
    std::string Ended = auditText(Decided, AuditKind::AttemptEnd);
    CHECK_EQUAL(IsNamed, contains(Ended, "\"failed_endpoint\":\"" + Second));
    std::string Avoided = auditText(Decided, AuditKind::Route);
    CHECK_EQUAL(!IsNamed, contains(Avoided, "\"avoid\":[\"" + First));
    // Other requests must not use the failed endpoint.
    std::string Others = auditText(Fixture.sendCompletion(2), AuditKind::Route);
    auto IsUnavailable = [&](const std::string &Endpoint) {
      return contains(Others, "{\"endpoint\":\"" + Endpoint +
                                  "\",\"reason\":\"unavailable\"}");
    };
    CHECK_EQUAL(!IsNamed, IsUnavailable(First));
    CHECK_EQUAL(IsNamed, IsUnavailable(Second));
  }
}

// Guards against marking the first stage as leaving when a later stage is.
TEST(Completion, OnlyTheNamedStageIsLeaving) {
  StartedCompletion Fixture;
  std::string Second = Fixture.m_Start.m_Route[1].m_Hop.m_Endpoint;
  Actions Decided = Fixture.handle(AttemptEnded{Fixture.m_Start.m_Attempt,
                                                AttemptResult::RefusedLeaving,
                                                503, "", Second});
  auto Announced = actionsOf<AnnounceLeaving>(Decided);
  LONGS_EQUAL(1, Announced.size());
  STRCMP_EQUAL(Second.c_str(), Announced[0].m_Endpoint.c_str());
}

PARSLEYRING_TEST_MAIN
