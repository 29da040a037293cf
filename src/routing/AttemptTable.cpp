#include "routing/AttemptTable.h"

#include <algorithm>
#include <array>

namespace parsleyring {

namespace {

/// Limits of the time without a token after which a stream is resumed on
/// another route.
struct Patience {
  double m_Intervals;
  Duration m_Shortest;
  Duration m_Longest;
};

} // namespace

// Indexed by Preference. A resume repeats the prefill, which costs throughput
// if the pause was only a burst of load; a longer wait delays the recovery.
static constexpr std::array<Patience, 2> PatienceOf{{
    {3, std::chrono::milliseconds(150), std::chrono::seconds(1)},
    {8, std::chrono::milliseconds(400), std::chrono::seconds(1)},
}};
// Weights of one token in the average interval. The average rises faster than
// it falls, because tokens that arrive together show intervals near zero.
static constexpr double RisingWeight = 0.5;
static constexpr double FallingWeight = 0.1;

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
    double Weight =
        Micros > Attempt.m_IntervalMicros ? RisingWeight : FallingWeight;
    Attempt.m_IntervalMicros += Weight * (Micros - Attempt.m_IntervalMicros);
  }
  for (Endpoint *Part : Attempt.m_Stages) {
    Part->m_ProgressAt = Now;
    if (Attempt.m_HasToken)
      Part->m_Pace.note(Now, Micros / Attempt.m_ExpectedMicros);
    else
      Part->m_Health.noteSuccess(Attempt.m_StartedAt);
  }
  Attempt.m_HasToken = true;
  Attempt.m_ProgressAt = Now;
}

Duration AttemptTable::progressTimeout(const RoutedAttempt &Attempt,
                                       Preference Weight) {
  const Patience &Limits = PatienceOf[static_cast<std::size_t>(Weight)];
  Duration Intervals(static_cast<std::int64_t>(
      Limits.m_Intervals *
      std::min(Attempt.m_IntervalMicros,
               static_cast<double>(Limits.m_Longest.count()))));
  return std::clamp(Intervals + Attempt.m_RoundTrip, Limits.m_Shortest,
                    Limits.m_Longest);
}

std::vector<std::string> AttemptTable::suspects(Time Now,
                                                const RoutedAttempt &Attempt) {
  // An endpoint is no suspect if a token of another attempt came through it in
  // the second half of the pause. In the first half, tokens can still arrive
  // that left the endpoint before it failed.
  Time Late = Attempt.m_ProgressAt + (Now - Attempt.m_ProgressAt) / 2;
  std::vector<std::string> Silent;
  std::vector<std::string> All;
  for (const Endpoint *Part : Attempt.m_Stages) {
    // The endpoint in quarantine explains the stall.
    if (Part->m_Health.isQuarantined(Now))
      return {};
    All.push_back(Part->m_Spec.m_Name);
    if (Part->m_ProgressAt <= Late)
      Silent.push_back(Part->m_Spec.m_Name);
  }
  return Silent.empty() ? All : Silent;
}

} // namespace parsleyring
