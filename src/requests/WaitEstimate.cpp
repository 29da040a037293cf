#include "requests/WaitEstimate.h"

#include <algorithm>

namespace parsleyring {

/// Weight of a new sample in the moving average of the departure interval.
static constexpr double IntervalWeight = 0.2;

void WaitEstimate::noteQueued(const std::string &Account, double Share) {
  Flow &Own = m_Flows[Account];
  ++Own.m_Waiting;
  Own.m_Share = Share;
  ++m_Waiting;
}

void WaitEstimate::noteDequeued(const std::string &Account,
                                std::optional<Time> DispatchedAt) {
  auto Entry = m_Flows.find(Account);
  if (Entry == m_Flows.end())
    return;
  if (--Entry->second.m_Waiting == 0)
    m_Flows.erase(Entry);
  --m_Waiting;
  if (DispatchedAt && m_LastDeparture) {
    auto Sample =
        static_cast<double>((*DispatchedAt - *m_LastDeparture).count());
    double Weight = m_AverageIntervalMicros == 0 ? 1 : IntervalWeight;
    m_AverageIntervalMicros += Weight * (Sample - m_AverageIntervalMicros);
  }
  if (m_Waiting == 0)
    m_LastDeparture.reset();
  else if (DispatchedAt)
    m_LastDeparture = DispatchedAt;
}

Duration WaitEstimate::estimate(const std::string &Account,
                                double Share) const {
  double Shares = Share;
  std::size_t OwnWaiting = 1;
  for (const auto &[Name, Other] : m_Flows) {
    if (Name == Account)
      OwnWaiting += Other.m_Waiting;
    else
      Shares += Other.m_Share;
  }
  // Departures until the new request starts: the account gets its share of
  // them, but no more requests than are queued can leave first.
  double Departures =
      std::min(static_cast<double>(m_Waiting),
               static_cast<double>(OwnWaiting) * Shares / Share);
  return Duration(
      static_cast<Duration::rep>(Departures * m_AverageIntervalMicros));
}

} // namespace parsleyring
