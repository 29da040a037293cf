#include "requests/HopCheck.h"

#include <algorithm>

namespace parsleyring {

static bool isHopOfStage(const Hop &Reported, const Stage &Expected) {
  return Reported == Expected.m_Hop;
}

bool hopsMatchRoute(const std::vector<Stage> &Route,
                    const std::vector<Hop> &Hops) {
  return std::equal(Hops.begin(), Hops.end(), Route.begin(), Route.end(),
                    isHopOfStage);
}

const std::string &findFaultyEndpoint(const std::vector<Stage> &Route,
                                      const std::vector<Hop> &Hops) {
  auto [FirstWrong, Expected] = std::mismatch(
      Hops.begin(), Hops.end(), Route.begin(), Route.end(), isHopOfStage);
  if (FirstWrong != Hops.end()) {
    auto Earlier = std::find_if(
        Route.begin(), Expected, [Repeated = FirstWrong](const Stage &Passed) {
          return Passed.m_Hop.m_Endpoint == Repeated->m_Endpoint;
        });
    if (Earlier != Expected)
      return Earlier->m_Hop.m_Endpoint;
  }
  return Expected != Route.end() ? Expected->m_Hop.m_Endpoint
                                 : Route.back().m_Hop.m_Endpoint;
}

} // namespace parsleyring
