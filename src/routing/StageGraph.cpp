#include "routing/StageGraph.h"

namespace parsleyring {

static bool passes(const StageOption &Option, const StageFilter &Filter) {
  return (Option.m_HasFreeSlot || !Filter.m_NeedsFreeSlot) &&
         (!Option.m_FailedBefore || Filter.m_AllowsFailedBefore) &&
         (!Option.m_IsStallQuarantined || Filter.m_AllowsStallQuarantined) &&
         (Option.m_Endpoint->m_IsDomainReachable || Filter.m_AllowsUnreachable);
}

StageGraph::StageGraph(std::uint32_t Layers, std::vector<StageOption> Options)
    : m_Options(std::move(Options)) {
  std::vector<std::size_t> BoundaryIndex(Layers + 1, 0);
  BoundaryIndex[0] = BoundaryIndex[Layers] = 1;
  for (const StageOption &Option : m_Options)
    BoundaryIndex[Option.m_Layers.m_First] =
        BoundaryIndex[Option.m_Layers.m_End] = 1;
  for (std::size_t &Mark : BoundaryIndex)
    if (Mark)
      Mark = m_BoundaryCount++;
  for (StageOption &Option : m_Options) {
    Option.m_Begin = BoundaryIndex[Option.m_Layers.m_First];
    Option.m_End = BoundaryIndex[Option.m_Layers.m_End];
  }
  m_Usable.reserve(m_Options.size());
}

bool StageGraph::select(const StageFilter &Filter) {
  std::vector<bool> ReachesEnd(m_BoundaryCount, false);
  ReachesEnd.back() = true;
  // Options in descending order of first layer, so that ReachesEnd is final for
  // the boundary where an option ends before the option is visited.
  for (std::size_t Index = m_Options.size(); Index-- > 0;) {
    const StageOption &Option = m_Options[Index];
    if (ReachesEnd[Option.m_End] && passes(Option, Filter))
      ReachesEnd[Option.m_Begin] = true;
  }
  m_Usable.clear();
  m_UsableBegin.assign(m_BoundaryCount + 1, 0);
  if (!ReachesEnd.front())
    return false;
  std::size_t Boundary = 0;
  for (std::size_t Index = 0; Index < m_Options.size(); ++Index) {
    const StageOption &Option = m_Options[Index];
    if (!ReachesEnd[Option.m_End] || !passes(Option, Filter))
      continue;
    while (Boundary < Option.m_Begin)
      m_UsableBegin[++Boundary] = m_Usable.size();
    m_Usable.push_back(Index);
  }
  while (Boundary < m_BoundaryCount)
    m_UsableBegin[++Boundary] = m_Usable.size();
  return true;
}

} // namespace parsleyring
