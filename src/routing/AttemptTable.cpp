#include "routing/AttemptTable.h"

#include <algorithm>
#include <array>

namespace parsleyring {

namespace {

/// Limits of the time without a token after which a stream is resumed on
/// another route.
struct ProgressLimits {
  double m_IntervalFactor;
  Duration m_MinTimeout;
  Duration m_MaxTimeout;
};

} // namespace

// Indexed by Preference. A resume repeats the prefill, which costs throughput
// if the pause was only a burst of load; a longer wait delays the recovery.
static constexpr std::array<ProgressLimits, 2> LimitsByPreference{{
    {3, std::chrono::milliseconds(150), std::chrono::seconds(1)},
    {8, std::chrono::milliseconds(400), std::chrono::seconds(1)},
}};
// Weights of one token in the average interval. The average rises faster than
// it falls, because tokens that arrive together show intervals near zero.
static constexpr double RisingSampleWeight = 0.5;
static constexpr double FallingSampleWeight = 0.1;

RoutedAttempt *AttemptTable::add(AttemptNumber Attempt) {
  auto [Found, IsNew] = m_Attempts.try_emplace(Attempt);
  return IsNew ? &Found->second : nullptr;
}

RoutedAttempt *AttemptTable::find(AttemptNumber Attempt) {
  auto Found = m_Attempts.find(Attempt);
  return Found == m_Attempts.end() ? nullptr : &Found->second;
}

const RoutedAttempt *AttemptTable::find(AttemptNumber Attempt) const {
  auto Found = m_Attempts.find(Attempt);
  return Found == m_Attempts.end() ? nullptr : &Found->second;
}

void AttemptTable::noteToken(Time Now, RoutedAttempt &Attempt) {
  double Micros =
      std::chrono::duration<double, std::micro>(Now - Attempt.m_ProgressAt)
          .count();
  if (Attempt.m_HasToken) {
    double Weight = Micros > Attempt.m_IntervalMicros ? RisingSampleWeight
                                                      : FallingSampleWeight;
    Attempt.m_IntervalMicros += Weight * (Micros - Attempt.m_IntervalMicros);
  }
  for (Endpoint *StageEndpoint : Attempt.m_Stages) {
    StageEndpoint->m_ProgressAt = Now;
    if (Attempt.m_HasToken)
      StageEndpoint->m_Slowdown.addSample(Now,
                                          Micros / Attempt.m_ExpectedMicros);
    else
      StageEndpoint->m_Health.noteSuccess(Attempt.m_StartedAt);
  }
  Attempt.m_HasToken = true;
  Attempt.m_ProgressAt = Now;
}

Duration AttemptTable::progressTimeout(const RoutedAttempt &Attempt,
                                       Preference Preferred) {
  const ProgressLimits &Limits =
      LimitsByPreference[static_cast<std::size_t>(Preferred)];
  Duration Intervals(static_cast<std::int64_t>(
      Limits.m_IntervalFactor *
      std::min(Attempt.m_IntervalMicros,
               static_cast<double>(Limits.m_MaxTimeout.count()))));
  return std::clamp(Intervals + Attempt.m_RoundTrip, Limits.m_MinTimeout,
                    Limits.m_MaxTimeout);
}

std::vector<std::string>
AttemptTable::stallSuspects(Time Now, const RoutedAttempt &Attempt) {
  // An endpoint is no suspect if a token of another attempt came through it in
  // the second half of the pause. In the first half, tokens can still arrive
  // that left the endpoint before it failed.
  Time Midpoint = Attempt.m_ProgressAt + (Now - Attempt.m_ProgressAt) / 2;
  std::vector<std::string> Silent;
  std::vector<std::string> All;
  for (const Endpoint *StageEndpoint : Attempt.m_Stages) {
    // An endpoint in quarantine explains the stall; no other is suspected.
    if (StageEndpoint->m_Health.isQuarantined(Now))
      return {};
    All.push_back(StageEndpoint->m_Spec.m_Name);
    if (StageEndpoint->m_ProgressAt <= Midpoint)
      Silent.push_back(StageEndpoint->m_Spec.m_Name);
  }
  return Silent.empty() ? All : Silent;
}

} // namespace parsleyring
