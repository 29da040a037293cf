#include "routing/EstimatedCostStrategy.h"

#include <algorithm>
#include <limits>

namespace parsleyring {

static constexpr double Unreached = std::numeric_limits<double>::infinity();
/// Greatest random share of the cost. A greater share, even one that grows with
/// the age of the report, changes neither throughput nor request time, since
/// the division of the slots is random as well.
static constexpr double Spread = 0.1;

std::vector<std::size_t>
EstimatedCostStrategy::choose(StageGraph &Graph, const RouteContext &Context) {
  for (std::size_t Index : Graph.usable()) {
    StageOption &Option = Graph.options()[Index];
    Option.m_CostMicros *= 1 + Spread * Context.m_Random.uniform();
  }
  m_Domains = Context.m_Costs.domainCount();
  m_Ways.assign(Graph.boundaryCount() * m_Domains * m_Domains,
                {Unreached, 0, 0});
  enter(Graph, Context);
  for (std::size_t Boundary = 1; Boundary + 1 < Graph.boundaryCount();
       ++Boundary)
    extend(Graph, Context, Boundary);
  return trace(Graph, Context);
}

void EstimatedCostStrategy::enter(const StageGraph &Graph,
                                  const RouteContext &Context) {
  auto [First, End] = Graph.usableAt(0);
  for (std::size_t At = First; At < End; ++At) {
    std::size_t Index = Graph.usable()[At];
    const StageOption &Option = Graph.options()[Index];
    std::size_t Domain = Option.m_Endpoint->m_Domain;
    double Cost = Context.m_Costs.entryMicros(Domain) + Option.m_CostMicros;
    Way &Known = way(Option.m_End, Domain, Domain);
    if (Cost < Known.m_CostMicros)
      Known = {Cost, Index, Domain};
  }
}

void EstimatedCostStrategy::extend(const StageGraph &Graph,
                                   const RouteContext &Context,
                                   std::size_t Boundary) {
  auto [Begin, End] = Graph.usableAt(Boundary);
  if (Begin == End)
    return;
  // Adds the links to each failure domain once, so that an option does not have
  // to try all domains of the stage before it.
  m_Arrivals.assign(m_Domains * m_Domains, {Unreached, 0, 0});
  for (std::size_t First = 0; First < m_Domains; ++First)
    for (std::size_t Last = 0; Last < m_Domains; ++Last) {
      double Cost = way(Boundary, First, Last).m_CostMicros;
      if (Cost == Unreached)
        continue;
      for (std::size_t Next = 0; Next < m_Domains; ++Next) {
        Way &Arrival = m_Arrivals[First * m_Domains + Next];
        double Total = Cost + Context.m_Costs.hopMicros(Last, Next);
        if (Total < Arrival.m_CostMicros)
          Arrival = {Total, 0, Last};
      }
    }
  for (std::size_t At = Begin; At < End; ++At) {
    std::size_t Index = Graph.usable()[At];
    const StageOption &Option = Graph.options()[Index];
    std::size_t Domain = Option.m_Endpoint->m_Domain;
    for (std::size_t First = 0; First < m_Domains; ++First) {
      const Way &Arrival = m_Arrivals[First * m_Domains + Domain];
      double Cost = Arrival.m_CostMicros + Option.m_CostMicros;
      Way &Known = way(Option.m_End, First, Domain);
      if (Cost < Known.m_CostMicros)
        Known = {Cost, Index, Arrival.m_LastDomain};
    }
  }
}

std::vector<std::size_t>
EstimatedCostStrategy::trace(const StageGraph &Graph,
                             const RouteContext &Context) {
  std::size_t Boundary = Graph.boundaryCount() - 1;
  double Best = Unreached;
  std::size_t BestFirst = 0;
  std::size_t BestLast = 0;
  for (std::size_t First = 0; First < m_Domains; ++First)
    for (std::size_t Last = 0; Last < m_Domains; ++Last) {
      double Cost = way(Boundary, First, Last).m_CostMicros +
                    Context.m_Costs.hopMicros(Last, First);
      if (Cost >= Best)
        continue;
      Best = Cost;
      BestFirst = First;
      BestLast = Last;
    }
  std::vector<std::size_t> Route;
  while (Boundary > 0) {
    const Way &Step = way(Boundary, BestFirst, BestLast);
    Route.push_back(Step.m_Option);
    Boundary = Graph.options()[Step.m_Option].m_Begin;
    BestLast = Step.m_LastDomain;
  }
  std::reverse(Route.begin(), Route.end());
  return Route;
}

} // namespace parsleyring
