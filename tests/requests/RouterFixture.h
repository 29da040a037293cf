#ifndef PARSLEYRING_TESTS_REQUESTS_ROUTERFIXTURE_H
#define PARSLEYRING_TESTS_REQUESTS_ROUTERFIXTURE_H

#include "parsleyring/Actions.h"
#include "parsleyring/Document.h"
#include "parsleyring/Events.h"
#include "parsleyring/Router.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

using Actions = std::vector<Action>;

inline constexpr Time TestStart{std::chrono::seconds(1700000000)};

/// Account "acct" with the key hash "key"; model "model" of 8 layers over
/// a1, a2 [0, 4) and b1, b2 [4, 8); service pool "ledger" over s1, s2, where
/// POST /pay is not idempotent.
inline std::shared_ptr<Document> testDocument() {
  auto Result = std::make_shared<Document>();
  Result->m_Accounts = {{"acct", {"key"}, 1, 1e6, 100000}};
  Result->m_Pipelines = {{"model", 8, "engines", 64}};
  auto Endpoint = [](const char *Name, std::uint32_t First, std::uint32_t End) {
    EndpointSpec Spec;
    Spec.m_Name = Name;
    Spec.m_Address = std::string(Name) + ":80";
    Spec.m_FailureDomain = "d1";
    Spec.m_Layers = {First, End};
    return Spec;
  };
  Pool Engines{"engines", PoolKind::Engine, 200, 0.1, 30000, {}};
  Engines.m_Endpoints = {Endpoint("a1", 0, 4), Endpoint("a2", 0, 4),
                         Endpoint("b1", 4, 8), Endpoint("b2", 4, 8)};
  Pool Ledger{"ledger", PoolKind::Service, 200, 0.1, 30000, {}};
  Ledger.m_Endpoints = {Endpoint("s1", 0, 0), Endpoint("s2", 0, 0)};
  Result->m_Pools = {Engines, Ledger};
  Result->m_Rules = {{"ledger", "POST", "/pay", false}};
  return Result;
}

/// The actions of one kind, in order.
template <typename Kind> std::vector<Kind> actionsOf(const Actions &From) {
  std::vector<Kind> Result;
  for (const Action &Candidate : From)
    if (auto *Found = std::get_if<Kind>(&Candidate))
      Result.push_back(*Found);
  return Result;
}

inline std::vector<Hop> hopsOf(const std::vector<Stage> &Route) {
  std::vector<Hop> Result;
  for (const Stage &RouteStage : Route)
    Result.push_back(RouteStage.m_Hop);
  return Result;
}

/// A Router with a simulated clock.
struct RouterFixture {
  explicit RouterFixture(
      std::uint64_t Seed = 1,
      std::shared_ptr<Document> Configuration = testDocument())
      : m_Router(options(Seed)) {
    handle(ConfigurationApplied{1, std::move(Configuration)});
  }

  static RouterOptions options(std::uint64_t Seed) {
    RouterOptions Result;
    Result.m_Self = {"vm1", 7};
    Result.m_FailureDomain = "d1";
    Result.m_Seed = Seed;
    return Result;
  }

  Actions handle(const Event &Input) {
    Actions Result;
    m_Router.handle(m_Now, Input, Result);
    return Result;
  }

  /// Advances the clock in ticks; returns the actions of all ticks.
  Actions runTicks(Duration Length) {
    Actions Result;
    for (Time End = m_Now + Length; m_Now < End;) {
      m_Now += TickInterval;
      m_Router.handle(m_Now, Tick(), Result);
    }
    return Result;
  }

  Actions sendCompletion(RequestNumber Number, std::uint32_t MaxTokens = 8) {
    return handle(
        CompletionArrived{Number, "key", "model", 10, MaxTokens, 0, {}});
  }

  Actions sendServiceCall(RequestNumber Number, const char *Path,
                          const char *IdempotencyKey = "") {
    return handle(ServiceCallArrived{Number, "key", "ledger", "POST", Path,
                                     IdempotencyKey, "body"});
  }

  Actions sendToken(const StartCompletion &Started, std::uint32_t Position) {
    return handle(
        TokenArrived{Started.m_Attempt, Position, hopsOf(Started.m_Route)});
  }

  Actions endAttempt(AttemptNumber Attempt, AttemptResult Result,
                     int Status = 0) {
    return handle(AttemptEnded{Attempt, Result, Status, ""});
  }

  Time m_Now = TestStart;
  Router m_Router;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_REQUESTS_ROUTERFIXTURE_H
