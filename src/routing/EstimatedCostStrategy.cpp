#include "routing/EstimatedCostStrategy.h"

#include <algorithm>
#include <limits>

namespace parsleyring {

static constexpr double UnreachedCost = std::numeric_limits<double>::infinity();
/// Greatest random share of the cost. A greater share, even one that grows with
/// the age of the report, changes neither throughput nor request time, since
/// the division of the slots is random as well.
static constexpr double MaxRandomShare = 0.1;

std::vector<std::size_t>
EstimatedCostStrategy::choose(StageGraph &Graph, const RouteContext &Context) {
  for (std::size_t Index : Graph.usable()) {
    StageOption &Option = Graph.options()[Index];
    Option.m_CostMicros *= 1 + MaxRandomShare * Context.m_Random.uniform();
  }
  m_DomainCount = Context.m_Costs.domainCount();
  m_PartialRoutes.assign(Graph.boundaryCount() * m_DomainCount * m_DomainCount,
                         {UnreachedCost, 0, 0});
  addFirstStages(Graph, Context);
  for (std::size_t Boundary = 1; Boundary + 1 < Graph.boundaryCount();
       ++Boundary)
    addStages(Graph, Context, Boundary);
  return traceRoute(Graph, Context);
}

void EstimatedCostStrategy::addFirstStages(const StageGraph &Graph,
                                           const RouteContext &Context) {
  auto [First, End] = Graph.usableAt(0);
  for (std::size_t UsableIndex = First; UsableIndex < End; ++UsableIndex) {
    std::size_t Index = Graph.usable()[UsableIndex];
    const StageOption &Option = Graph.options()[Index];
    std::size_t Domain = Option.m_Endpoint->m_Domain;
    double Cost = Context.m_Costs.entryMicros(Domain) + Option.m_CostMicros;
    PartialRoute &Cheapest = partialRoute(Option.m_End, Domain, Domain);
    if (Cost < Cheapest.m_CostMicros)
      Cheapest = {Cost, Index, Domain};
  }
}

void EstimatedCostStrategy::addStages(const StageGraph &Graph,
                                      const RouteContext &Context,
                                      std::size_t Boundary) {
  auto [Begin, End] = Graph.usableAt(Boundary);
  if (Begin == End)
    return;
  // Adds the links to each failure domain once, so that an option does not have
  // to try all domains of the stage before it.
  m_LinkedRoutes.assign(m_DomainCount * m_DomainCount, {UnreachedCost, 0, 0});
  for (std::size_t First = 0; First < m_DomainCount; ++First)
    for (std::size_t Last = 0; Last < m_DomainCount; ++Last) {
      double Cost = partialRoute(Boundary, First, Last).m_CostMicros;
      if (Cost == UnreachedCost)
        continue;
      for (std::size_t Next = 0; Next < m_DomainCount; ++Next) {
        PartialRoute &Linked = m_LinkedRoutes[First * m_DomainCount + Next];
        double Total = Cost + Context.m_Costs.hopMicros(Last, Next);
        if (Total < Linked.m_CostMicros)
          Linked = {Total, 0, Last};
      }
    }
  for (std::size_t UsableIndex = Begin; UsableIndex < End; ++UsableIndex) {
    std::size_t Index = Graph.usable()[UsableIndex];
    const StageOption &Option = Graph.options()[Index];
    std::size_t Domain = Option.m_Endpoint->m_Domain;
    for (std::size_t First = 0; First < m_DomainCount; ++First) {
      const PartialRoute &Linked =
          m_LinkedRoutes[First * m_DomainCount + Domain];
      double Cost = Linked.m_CostMicros + Option.m_CostMicros;
      PartialRoute &Cheapest = partialRoute(Option.m_End, First, Domain);
      if (Cost < Cheapest.m_CostMicros)
        Cheapest = {Cost, Index, Linked.m_LastDomain};
    }
  }
}

std::vector<std::size_t>
EstimatedCostStrategy::traceRoute(const StageGraph &Graph,
                                  const RouteContext &Context) {
  std::size_t Boundary = Graph.boundaryCount() - 1;
  double Best = UnreachedCost;
  std::size_t BestFirst = 0;
  std::size_t BestLast = 0;
  for (std::size_t First = 0; First < m_DomainCount; ++First)
    for (std::size_t Last = 0; Last < m_DomainCount; ++Last) {
      double Cost = partialRoute(Boundary, First, Last).m_CostMicros +
                    Context.m_Costs.hopMicros(Last, First);
      if (Cost >= Best)
        continue;
      Best = Cost;
      BestFirst = First;
      BestLast = Last;
    }
  std::vector<std::size_t> Route;
  while (Boundary > 0) {
    const PartialRoute &Step = partialRoute(Boundary, BestFirst, BestLast);
    Route.push_back(Step.m_Option);
    Boundary = Graph.options()[Step.m_Option].m_Begin;
    BestLast = Step.m_LastDomain;
  }
  std::reverse(Route.begin(), Route.end());
  return Route;
}

} // namespace parsleyring
