#include "requests/RouterFixture.h"

#include "support/TestMain.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

namespace {

/// State of an attempt as derived from the events and actions so far.
struct ModelAttempt {
  RequestNumber m_Request = 0;
  std::vector<Stage> m_Route; ///< Empty for a service call.
  std::uint32_t m_NextPosition = 0;
  bool m_IsCancelled = false;
};

/// State of a request as derived from the events and actions so far.
struct ModelRequest {
  bool m_IsNonIdempotent = false;
  bool m_HasKey = false;
  bool m_IsGranted = false;
  bool m_HasFinishedAttempt = false;
  bool m_IsFinished = false;
  int m_ClaimEnds = 0;
  std::uint32_t m_Delivered = 0;
  AttemptNumber m_NewestAttempt = 0;
  std::size_t m_OpenAttempts = 0;
  bool m_MayHaveRun = false;
};

/// Sends random events to a Router and checks each action against a model of
/// the requests and attempts.
class RandomEventDriver {
public:
  explicit RandomEventDriver(std::uint64_t Seed)
      : m_Random(Seed), m_Fixture(Seed) {}

  std::string run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      advanceClock();
      sendRandomEvent();
    }
    settleEverything();
    return m_Log.str();
  }

  std::map<Outcome, int> m_Outcomes;
  int m_Resumes = 0;

private:
  using RandomValue = std::uint64_t;

  RandomValue randomBelow(RandomValue Bound) { return m_Random() % Bound; }

  template <typename Map> auto randomEntry(Map &From) {
    return std::next(From.begin(),
                     static_cast<std::ptrdiff_t>(randomBelow(From.size())));
  }

  void advanceClock() {
    RandomValue Kind = randomBelow(1000);
    // Mostly small steps; sometimes a jump (a paused VM) or a time with ticks
    // only.
    if (Kind < 2)
      m_Fixture.m_Now += std::chrono::seconds(randomBelow(8));
    else if (Kind < 8)
      check(m_Fixture.runTicks(std::chrono::milliseconds(randomBelow(4000))));
    else
      m_Fixture.m_Now += std::chrono::microseconds(randomBelow(10000));
  }

  void sendRandomEvent() {
    RandomValue Kind = randomBelow(100);
    if (Kind < 12)
      return sendArrival();
    if (Kind < 55 && !m_Attempts.empty())
      return sendToken();
    if (Kind < 68 && !m_Attempts.empty())
      return endAttempt();
    if (Kind < 76 && !m_Claims.empty())
      return settleClaim();
    if (Kind < 79 && !m_Requests.empty())
      return handle(CallerDisconnected{randomEntry(m_Requests)->first});
    if (Kind < 82)
      return changeEndpoint();
    if (Kind == 82)
      return handle(
          PeersChanged{static_cast<std::uint32_t>(randomBelow(4)), {}, {}});
    if (Kind == 83)
      return handle(ConfigurationApplied{randomBelow(2 * ++m_Version),
                                         configuration(randomBelow(8) == 0)});
    handle(Tick());
  }

  /// A reduced configuration lacks the service pool.
  static std::shared_ptr<Document> configuration(bool IsReduced) {
    auto Result = testDocument();
    Result->m_Pools[0].m_QueueLimit = 6;
    if (IsReduced)
      Result->m_Pools.pop_back();
    return Result;
  }

  void sendArrival() {
    RequestNumber Number = ++m_LastRequest;
    ModelRequest &Model = m_Requests[Number];
    if (randomBelow(2) == 0)
      return handle(
          CompletionArrived{Number,
                            randomBelow(20) ? "key" : "bad",
                            "model",
                            10,
                            static_cast<std::uint32_t>(randomBelow(70)),
                            static_cast<std::int32_t>(randomBelow(3)),
                            {}});
    Model.m_IsNonIdempotent = randomBelow(3) != 0;
    Model.m_HasKey = randomBelow(2) == 0;
    handle(ServiceCallArrived{Number, "key", "ledger", "POST",
                              Model.m_IsNonIdempotent ? "/pay/1" : "/read",
                              Model.m_HasKey ? "k" : "", "body"});
  }

  void sendToken() {
    auto Entry = randomEntry(m_Attempts);
    ModelAttempt &Attempt = Entry->second;
    std::vector<Hop> Hops = hopsOf(Attempt.m_Route);
    std::uint32_t Position = Attempt.m_NextPosition;
    RandomValue Fault = randomBelow(60);
    if (Fault == 0 && !Hops.empty())
      Hops.erase(Hops.begin() +
                 static_cast<std::ptrdiff_t>(randomBelow(Hops.size())));
    if (Fault == 1 && !Hops.empty())
      Hops.insert(Hops.begin(), Hops[randomBelow(Hops.size())]);
    if (Fault == 2)
      Position = static_cast<std::uint32_t>(randomBelow(Position + 3));
    ModelRequest &Model = m_Requests.at(Attempt.m_Request);
    // Even a wrong token proves that the request ran.
    Model.m_MayHaveRun |= !Attempt.m_Route.empty();
    m_IsTokenValid =
        !Attempt.m_Route.empty() && Hops == hopsOf(Attempt.m_Route) &&
        Position == Model.m_Delivered && !Model.m_IsFinished &&
        Model.m_NewestAttempt == Entry->first && !Attempt.m_IsCancelled;
    m_TokenRequest = Attempt.m_Request;
    ++Attempt.m_NextPosition;
    handle(TokenArrived{Entry->first, Position, Hops});
    m_IsTokenValid = false;
  }

  void endAttempt() {
    auto Entry = randomEntry(m_Attempts);
    bool ShouldFinish = randomBelow(2) == 0;
    finishAttempt(Entry->first,
                  ShouldFinish ? AttemptResult::Finished
                               : static_cast<AttemptResult>(randomBelow(9)));
  }

  void finishAttempt(AttemptNumber Number, AttemptResult Result) {
    ModelAttempt Attempt = m_Attempts.at(Number);
    m_Attempts.erase(Number);
    ModelRequest &Model = m_Requests.at(Attempt.m_Request);
    --Model.m_OpenAttempts;
    if (Result != AttemptResult::ConnectFailed &&
        Result != AttemptResult::RefusedNotRun &&
        Result != AttemptResult::RefusedLeaving)
      Model.m_MayHaveRun = true;
    if (Result == AttemptResult::Finished)
      Model.m_HasFinishedAttempt = true;
    handle(AttemptEnded{Number, Result, 200, "detail"});
  }

  void settleClaim() {
    auto Entry = randomEntry(m_Claims);
    RequestNumber Number = *Entry;
    m_Claims.erase(Entry);
    auto Result = randomBelow(3) ? ClaimResult::Granted
                                 : static_cast<ClaimResult>(randomBelow(7));
    m_Requests.at(Number).m_IsGranted = Result == ClaimResult::Granted;
    handle(ClaimSettled{Number, Result, ""});
  }

  void changeEndpoint() {
    static const char *Names[] = {"a1", "a2", "b1", "b2", "s1", "s2"};
    std::string Name = Names[randomBelow(6)];
    // A report with a new incarnation makes a leaving endpoint usable again.
    std::string Incarnation =
        std::to_string(m_Fixture.m_Now.time_since_epoch().count());
    if (randomBelow(3) == 0)
      return handle(EndpointLeaving{Name, "", LeavingSource::VMList});
    handle(LoadReported{
        Name, Incarnation, m_Fixture.m_Now, 0, 0, randomBelow(6) == 0, {}});
  }

  void handle(const Event &Input) { check(m_Fixture.handle(Input)); }

  void check(const Actions &Decided) {
    for (const Action &Next : Decided) {
      m_Log << Next.index() << ' ';
      std::visit([&](const auto &Value) { checkAction(Value); }, Next);
    }
  }

  ModelRequest &unfinished(RequestNumber Number) {
    ModelRequest &Model = m_Requests.at(Number);
    CHECK_FALSE(Model.m_IsFinished);
    return Model;
  }

  void checkStart(RequestNumber Number, AttemptNumber Attempt,
                  const std::vector<Stage> &Route, std::uint32_t Position) {
    ModelRequest &Model = unfinished(Number);
    auto Previous = m_Attempts.find(Model.m_NewestAttempt);
    CHECK(Previous == m_Attempts.end() || Previous->second.m_IsCancelled);
    Model.m_NewestAttempt = Attempt;
    ++Model.m_OpenAttempts;
    CHECK(m_Attempts
              .emplace(Attempt, ModelAttempt{Number, Route, Position, false})
              .second);
  }

  void checkAction(const StartCompletion &Start) {
    LONGS_EQUAL(m_Requests.at(Start.m_Request).m_Delivered,
                Start.m_StartPosition);
    std::uint32_t Boundary = 0;
    for (const Stage &RouteStage : Start.m_Route) {
      LONGS_EQUAL(Boundary, RouteStage.m_Hop.m_Layers.m_First);
      Boundary = RouteStage.m_Hop.m_Layers.m_End;
    }
    LONGS_EQUAL(8, Boundary);
    m_Resumes += Start.m_StartPosition > 0;
    checkStart(Start.m_Request, Start.m_Attempt, Start.m_Route,
               Start.m_StartPosition);
  }

  void checkAction(const StartServiceCall &Start) {
    ModelRequest &Model = m_Requests.at(Start.m_Request);
    if (Model.m_IsNonIdempotent) {
      CHECK(Start.m_UseFreshConnection);
      LONGS_EQUAL(0, Model.m_OpenAttempts);
      CHECK_FALSE(Model.m_MayHaveRun);
      CHECK(!Model.m_HasKey || Model.m_IsGranted);
      LONGS_EQUAL(0, Model.m_ClaimEnds);
    }
    CHECK(Start.m_Timeout > Duration::zero());
    checkStart(Start.m_Request, Start.m_Attempt, {}, 0);
  }

  void checkAction(const CancelAttempt &Cancel) {
    ModelAttempt &Attempt = m_Attempts.at(Cancel.m_Attempt);
    CHECK_FALSE(Attempt.m_IsCancelled);
    Attempt.m_IsCancelled = true;
  }

  void checkAction(const DeliverToken &Token) {
    CHECK(m_IsTokenValid);
    LONGS_EQUAL(m_TokenRequest, Token.m_Request);
    LONGS_EQUAL(unfinished(Token.m_Request).m_Delivered++, Token.m_Position);
  }

  void checkAction(const DeliverServiceAnswer &Answer) {
    LONGS_EQUAL(unfinished(Answer.m_Request).m_NewestAttempt, Answer.m_Attempt);
  }

  void checkAction(const FinishRequest &Finish) {
    ModelRequest &Model = unfinished(Finish.m_Request);
    Model.m_IsFinished = true;
    ++m_Outcomes[Finish.m_Outcome];
    bool CanHaveRun =
        Model.m_MayHaveRun || Model.m_OpenAttempts > 0 || Model.m_Delivered > 0;
    if (Finish.m_Outcome == Outcome::NotRun)
      CHECK_FALSE(CanHaveRun);
    if (Finish.m_Outcome == Outcome::Failed)
      CHECK(CanHaveRun);
    // The outcome of a request that was never dispatched is known, unless its
    // idempotency key was used before.
    if (Finish.m_Outcome == Outcome::Unknown)
      CHECK(CanHaveRun || (Model.m_HasKey && !Model.m_IsGranted));
  }

  void checkAction(const RequestClaim &Claim) {
    ModelRequest &Model = unfinished(Claim.m_Request);
    CHECK(Model.m_IsNonIdempotent && Model.m_HasKey && !Model.m_IsGranted);
    CHECK(m_Claims.insert(Claim.m_Request).second);
  }

  void checkAction(const EndClaim &End) {
    ModelRequest &Model = m_Requests.at(End.m_Request);
    LONGS_EQUAL(1, ++Model.m_ClaimEnds);
    CHECK(Model.m_IsGranted);
    if (End.m_End == ClaimFinalState::Completed)
      CHECK(Model.m_HasFinishedAttempt);
    else
      CHECK(!Model.m_MayHaveRun && Model.m_OpenAttempts == 0);
  }

  void checkAction(const AnnounceLeaving &) {}
  void checkAction(const WriteAudit &Record) {
    m_Log << Record.m_FieldsJson << '\n';
  }

  /// Settles all claims and attempts, then checks that every request has ended.
  void settleEverything() {
    handle(DrainStarted());
    while (!m_Claims.empty())
      settleClaim();
    for (int Round = 0; Round < 200 && !m_Attempts.empty(); ++Round) {
      while (!m_Attempts.empty())
        finishAttempt(m_Attempts.begin()->first, AttemptResult::Finished);
      check(m_Fixture.runTicks(std::chrono::milliseconds(500)));
    }
    check(m_Fixture.runTicks(std::chrono::seconds(32)));
    CHECK_FALSE(m_Fixture.m_Router.hasRequestsInProgress());
    for (const auto &[Number, Model] : m_Requests) {
      CHECK(Model.m_IsFinished);
      bool IsClaimHeld = Model.m_IsGranted && Model.m_ClaimEnds == 0;
      CHECK(!IsClaimHeld || Model.m_MayHaveRun || Model.m_OpenAttempts > 0);
    }
  }

  std::mt19937_64 m_Random;
  RouterFixture m_Fixture;
  std::map<RequestNumber, ModelRequest> m_Requests;
  std::map<AttemptNumber, ModelAttempt> m_Attempts;
  std::set<RequestNumber> m_Claims;
  RequestNumber m_LastRequest = 0;
  ConfigurationVersion m_Version = 1;
  bool m_IsTokenValid = false;
  RequestNumber m_TokenRequest = 0;
  std::ostringstream m_Log;
};

} // namespace

TEST_GROUP(RouterInvariants){};

// Guards against orders of events that end a request twice or never, report a
// wrong outcome, deliver a wrong token or run a non-idempotent call twice.
TEST(RouterInvariants, HoldUnderRandomEvents) {
  std::map<Outcome, int> Outcomes;
  int Resumes = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    RandomEventDriver Driver(Seed);
    Driver.run(3000);
    for (auto [End, Count] : Driver.m_Outcomes)
      Outcomes[End] += Count;
    Resumes += Driver.m_Resumes;
  }
  // The random events must have reached every outcome, and resumes.
  for (Outcome End :
       {Outcome::Completed, Outcome::Failed, Outcome::NotRun, Outcome::Unknown})
    CHECK(Outcomes[End] > 100);
  CHECK(Resumes > 100);
}

// Guards against decisions that depend on anything but options and events,
// which would make a replay differ from the recorded run.
TEST(RouterInvariants, SameSeedGivesSameActions) {
  for (std::uint64_t Seed = 101; Seed <= 103; ++Seed)
    CHECK(RandomEventDriver(Seed).run(3000) ==
          RandomEventDriver(Seed).run(3000));
}

PARSLEYRING_TEST_MAIN
