#include "routing/RoundRobinStrategy.h"

namespace parsleyring {

std::size_t RoundRobinStrategy::chooseStage(const StageGraph &Graph,
                                            std::size_t First, std::size_t End,
                                            const RouteContext &Context) {
  const std::vector<StageOption> &Options = Graph.options();
  std::uint32_t Layer = Options[Graph.usable()[First]].m_Layers.m_First;
  // Positions in the pool rather than among the usable endpoints, so that the
  // rotation does not depend on which endpoints are usable at present.
  std::size_t &NextPosition = m_NextPosition[{Context.m_Pool, Layer}];
  std::size_t Chosen = Graph.usable()[First];
  for (std::size_t UsableIndex = First; UsableIndex < End; ++UsableIndex)
    if (Options[Graph.usable()[UsableIndex]].m_Position >= NextPosition) {
      Chosen = Graph.usable()[UsableIndex];
      break;
    }
  NextPosition = Options[Chosen].m_Position + 1;
  return Chosen;
}

} // namespace parsleyring
