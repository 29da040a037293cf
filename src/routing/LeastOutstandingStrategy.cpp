#include "routing/LeastOutstandingStrategy.h"

namespace parsleyring {

std::size_t LeastOutstandingStrategy::chooseStage(const StageGraph &Graph,
                                                  std::size_t First,
                                                  std::size_t End,
                                                  const RouteContext &Context) {
  auto Requests = [&](std::size_t Index) {
    return Graph.options()[Index].m_Requests;
  };
  std::size_t Best = Graph.usable()[First];
  std::size_t Ties = 1;
  for (std::size_t UsableIndex = First + 1; UsableIndex < End; ++UsableIndex) {
    std::size_t Index = Graph.usable()[UsableIndex];
    if (Requests(Index) > Requests(Best))
      continue;
    Ties = Requests(Index) < Requests(Best) ? 1 : Ties + 1;
    // Reservoir sampling: each of the tied endpoints has the same probability.
    if (Context.m_Random.below(Ties) == 0)
      Best = Index;
  }
  return Best;
}

} // namespace parsleyring
