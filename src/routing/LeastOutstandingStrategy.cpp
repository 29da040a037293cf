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
  std::size_t Equals = 1;
  for (std::size_t At = First + 1; At < End; ++At) {
    std::size_t Index = Graph.usable()[At];
    if (Requests(Index) > Requests(Best))
      continue;
    Equals = Requests(Index) < Requests(Best) ? 1 : Equals + 1;
    // Reservoir sampling: each of the tied endpoints has the same probability.
    if (Context.m_Random.below(Equals) == 0)
      Best = Index;
  }
  return Best;
}

} // namespace parsleyring
