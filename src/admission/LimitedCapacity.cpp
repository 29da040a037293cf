#include "admission/LimitedCapacity.h"

#include "admission/ReturnSchedule.h"

#include <algorithm>

namespace parsleyring {

LimitedCapacity
LimitedCapacity::after(std::size_t Waiting,
                       const std::vector<FleetTable::Handle> &Endpoints,
                       Time Now) {
  LimitedCapacity Capacity;
  Capacity.m_Delay = ReturnSchedule::MaxDelay;
  std::vector<FleetTable::Handle> Limited;
  std::vector<double> Credits;
  std::vector<double> Rates;
  for (const FleetTable::Handle &Endpoint : Endpoints) {
    const LimitShare &Share = Endpoint->m_LimitShare;
    if (Endpoint->availability(Now) == EndpointAvailability::Resting) {
      Capacity.m_Delay =
          std::min(Capacity.m_Delay, Duration(Endpoint->availableAt() - Now));
      continue;
    }
    if (!Endpoint->m_Limit.rate() || Share.rate() <= 0)
      continue;
    Capacity.m_RequestsPerSecond += Share.rate();
    Limited.push_back(Endpoint);
    Credits.push_back(Share.credit());
    Rates.push_back(Share.rate());
  }
  if (Rates.empty())
    return Capacity;
  // Each request goes to the endpoint that is the first to have a whole credit.
  double Seconds = 0;
  for (std::size_t Request = 0; Request <= Waiting; ++Request) {
    std::size_t Earliest = 0;
    auto SecondsUntilCredit = [&](std::size_t Index) {
      return std::max(0.0, 1 - Credits[Index]) / Rates[Index];
    };
    for (std::size_t Index = 1; Index < Rates.size(); ++Index)
      if (SecondsUntilCredit(Index) < SecondsUntilCredit(Earliest))
        Earliest = Index;
    Seconds = SecondsUntilCredit(Earliest);
    Credits[Earliest] -= 1;
    Capacity.m_Endpoint = Limited[Earliest];
  }
  Duration Delay(static_cast<std::int64_t>(std::min(Seconds, 1e6) * 1e6));
  Capacity.m_Delay = std::min(Capacity.m_Delay, Delay);
  return Capacity;
}

} // namespace parsleyring
