#include "routing/StallTracker.h"

#include <algorithm>

namespace parsleyring {

/// An endpoint with this many stalls in StallWindow is quarantined.
static constexpr std::size_t StallsToQuarantine = 3;
static constexpr Duration StallWindow = std::chrono::seconds(10);

static bool contains(const std::vector<std::string> &Names,
                     const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

std::string StallTracker::noteStall(Time Now,
                                    const std::vector<std::string> &Suspects) {
  while (!m_Stalls.empty() && Now - m_Stalls.front().m_At > StallWindow)
    m_Stalls.pop_front();
  m_Stalls.push_back({Now, Suspects});
  std::string Blamed;
  std::size_t MaxCount = StallsToQuarantine - 1;
  for (const std::string &Suspect : Suspects) {
    auto Count = static_cast<std::size_t>(
        std::count_if(m_Stalls.begin(), m_Stalls.end(), [&](const Stall &Item) {
          return contains(Item.m_Suspects, Suspect);
        }));
    if (Count <= MaxCount)
      continue;
    MaxCount = Count;
    Blamed = Suspect;
  }
  if (!Blamed.empty())
    m_Stalls.erase(std::remove_if(m_Stalls.begin(), m_Stalls.end(),
                                  [&](const Stall &Item) {
                                    return contains(Item.m_Suspects, Blamed);
                                  }),
                   m_Stalls.end());
  return Blamed;
}

} // namespace parsleyring
