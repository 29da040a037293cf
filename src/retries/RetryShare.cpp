#include "retries/RetryShare.h"

#include <algorithm>

namespace parsleyring {

// VMs that are unlisted for a moment, or not listed yet, retry as well. With a
// lower minimum, a VM that has just started would take most of the fixed number
// of retries.
static constexpr std::size_t MinAssumedVMs = 6;
static constexpr std::size_t AssumedUnlistedVMs = 2;
// Fraction of its share that a VM uses. The rest is reserved for retries that
// the VM made before a restart.
static constexpr double UsableFraction = 0.75;

void RetryShare::setVMCount(std::size_t VMCount) {
  // The number never falls, since a VM that is temporarily unlisted continues
  // to retry.
  m_VMCount = std::max(m_VMCount, VMCount);
}

void RetryShare::removeExpired(Time Now) {
  auto RemoveExpired = [&](std::deque<Time> &Times) {
    while (!Times.empty() && Times.front() <= Now - m_Bound.m_Window)
      Times.pop_front();
  };
  RemoveExpired(m_Requests);
  RemoveExpired(m_Retries);
}

void RetryShare::noteRequest(Time Now) {
  removeExpired(Now);
  m_Requests.push_back(Now);
}

double RetryShare::remaining(Time Now) {
  removeExpired(Now);
  // An earlier process of this VM may have used its share up, so the fixed part
  // of a new process grows over the first window.
  double Age = std::chrono::duration<double>(Now - m_StartedAt) /
               std::chrono::duration<double>(m_Bound.m_Window);
  double VMCount = static_cast<double>(std::max(m_VMCount, MinAssumedVMs) +
                                       AssumedUnlistedVMs);
  double Fixed =
      m_Bound.m_FixedRetries / VMCount * std::clamp(0.25 + Age, 0.0, 1.0);
  double Allowed =
      m_Bound.m_Ratio * static_cast<double>(m_Requests.size()) + Fixed;
  return UsableFraction * Allowed - static_cast<double>(m_Retries.size());
}

bool RetryShare::tryTake(Time Now) {
  if (remaining(Now) < 1)
    return false;
  m_Retries.push_back(Now);
  return true;
}

} // namespace parsleyring
