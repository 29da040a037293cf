#include "retries/RetryShare.h"

namespace parsleyring {

void RetryShare::forget(Time Now) {
  auto DropBefore = [&](std::deque<Time> &Times) {
    while (!Times.empty() && Times.front() <= Now - m_Window)
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
  return m_Ratio * static_cast<double>(m_Requests.size()) + m_FixedRetries -
         static_cast<double>(m_Retries.size());
}

bool RetryShare::tryTake(Time Now) {
  if (remaining(Now) < 1)
    return false;
  m_Retries.push_back(Now);
  return true;
}

} // namespace parsleyring
