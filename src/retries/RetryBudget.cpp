#include "retries/RetryBudget.h"

#include <algorithm>

namespace parsleyring {

// Lets a pool with few requests retry.
static constexpr double FloorRetriesPerSecond = 3;
static constexpr double FloorBurstRetries = 3;
// Bounds the burst of retries after a long time without failures.
static constexpr double MaximumRetries = 50;

RetryBudget::RetryBudget(double GainPerRequest)
    : m_GainPerRequest(GainPerRequest), m_Tokens(FloorBurstRetries) {}

void RetryBudget::fill(Time Now) {
  double Seconds = std::chrono::duration<double>(Now - m_FilledAt).count();
  m_FilledAt = std::max(m_FilledAt, Now);
  if (Seconds <= 0 || m_Tokens >= FloorBurstRetries)
    return;
  m_Tokens =
      std::min(FloorBurstRetries, m_Tokens + FloorRetriesPerSecond * Seconds);
}

void RetryBudget::noteRequest(Time Now) {
  fill(Now);
  m_Tokens = std::min(MaximumRetries, m_Tokens + m_GainPerRequest);
}

bool RetryBudget::tryTake(Time Now) {
  fill(Now);
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace parsleyring
