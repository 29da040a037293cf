#include "routing/TwoChoicesStrategy.h"

namespace parsleyring {

std::size_t TwoChoicesStrategy::chooseStage(const StageGraph &Graph,
                                            std::size_t First, std::size_t End,
                                            const RouteContext &Context) {
  std::size_t Count = End - First;
  std::size_t One = Context.m_Random.below(Count);
  std::size_t Other = One;
  if (Count > 1)
    Other = (One + 1 + Context.m_Random.below(Count - 1)) % Count;
  One = Graph.usable()[First + One];
  Other = Graph.usable()[First + Other];
  const std::vector<StageOption> &Options = Graph.options();
  return Options[Other].m_Load < Options[One].m_Load ? Other : One;
}

} // namespace parsleyring
