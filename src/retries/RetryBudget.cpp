#include "retries/RetryBudget.h"

#include <algorithm>

namespace parsleyring {

// Lets a pool with few requests retry.
static constexpr double MinRetriesPerSecond = 3;
static constexpr double MinRetryBurst = 3;
// Bounds the burst of retries after a long time without failures.
static constexpr double MaxRetryBurst = 50;

RetryBudget::RetryBudget(double RetriesPerRequest)
    : m_RetriesPerRequest(RetriesPerRequest), m_Tokens(MinRetryBurst) {}

void RetryBudget::refill(Time Now) {
  double Seconds = std::chrono::duration<double>(Now - m_RefilledAt).count();
  m_RefilledAt = std::max(m_RefilledAt, Now);
  if (Seconds <= 0 || m_Tokens >= MinRetryBurst)
    return;
  m_Tokens = std::min(MinRetryBurst, m_Tokens + MinRetriesPerSecond * Seconds);
}

void RetryBudget::noteRequest(Time Now) {
  refill(Now);
  m_Tokens = std::min(MaxRetryBurst, m_Tokens + m_RetriesPerRequest);
}

bool RetryBudget::tryTake(Time Now) {
  refill(Now);
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace parsleyring
