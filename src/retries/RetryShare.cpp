#include "retries/RetryShare.h"

#include <algorithm>

namespace parsleyring {

// VMs that are not listed at the moment, or not yet, retry as well. With fewer
// than these, a VM that has just started would take most of the fixed number.
static constexpr std::size_t MinVMs = 6;
static constexpr std::size_t UnlistedVMs = 2;
// What is kept back for retries that a VM made before it was restarted.
static constexpr double UsedShare = 0.75;

void RetryShare::setVMs(std::size_t VMs) {
  // A VM that has lost its entry for a while goes on retrying.
  m_VMs = std::max(m_VMs, VMs);
}

void RetryShare::forget(Time Now) {
  auto DropBefore = [&](std::deque<Time> &Times) {
    while (!Times.empty() && Times.front() <= Now - m_Bound.m_Window)
      Times.pop_front();
  };
  DropBefore(m_Requests);
  DropBefore(m_Retries);
}

void RetryShare::noteRequest(Time Now) {
  forget(Now);
  m_Requests.push_back(Now);
}

double RetryShare::remaining(Time Now) {
  forget(Now);
  // An earlier process of this VM may have used its share up, so that of a new
  // one grows over the first window.
  double Age = std::chrono::duration<double>(Now - m_StartedAt) /
               std::chrono::duration<double>(m_Bound.m_Window);
  double VMs = static_cast<double>(std::max(m_VMs, MinVMs) + UnlistedVMs);
  double Fixed =
      m_Bound.m_FixedRetries / VMs * std::clamp(0.25 + Age, 0.0, 1.0);
  double Allowed =
      m_Bound.m_Ratio * static_cast<double>(m_Requests.size()) + Fixed;
  return UsedShare * Allowed - static_cast<double>(m_Retries.size());
}

bool RetryShare::tryTake(Time Now) {
  if (remaining(Now) < 1)
    return false;
  m_Retries.push_back(Now);
  return true;
}

} // namespace parsleyring
