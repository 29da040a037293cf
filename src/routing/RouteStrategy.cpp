#include "routing/RouteStrategy.h"

#include "routing/EstimatedCostStrategy.h"
#include "routing/LeastOutstandingStrategy.h"
#include "routing/RoundRobinStrategy.h"
#include "routing/TwoChoicesStrategy.h"

namespace parsleyring {

namespace {

template <typename Strategy> std::unique_ptr<RouteStrategy> make() {
  return std::make_unique<Strategy>();
}

struct StrategyEntry {
  const char *m_Name;
  std::unique_ptr<RouteStrategy> (*m_Make)();
};

} // namespace

static constexpr StrategyEntry Strategies[] = {
    {"round-robin", make<RoundRobinStrategy>},
    {"least-outstanding", make<LeastOutstandingStrategy>},
    {"two-choices", make<TwoChoicesStrategy>},
    {"estimated-cost", make<EstimatedCostStrategy>},
};

std::unique_ptr<RouteStrategy> RouteStrategy::create(const std::string &Name) {
  for (const StrategyEntry &Entry : Strategies)
    if (Name == Entry.m_Name)
      return Entry.m_Make();
  return nullptr;
}

const std::vector<std::string> &routeStrategyNames() {
  static const std::vector<std::string> Names = [] {
    std::vector<std::string> All;
    for (const StrategyEntry &Entry : Strategies)
      All.emplace_back(Entry.m_Name);
    return All;
  }();
  return Names;
}

std::vector<std::size_t>
StagewiseStrategy::choose(StageGraph &Graph, const RouteContext &Context) {
  std::vector<std::size_t> Route;
  for (std::size_t Boundary = 0; Boundary + 1 < Graph.boundaryCount();) {
    auto [First, End] = Graph.usableAt(Boundary);
    Route.push_back(chooseStage(Graph, First, End, Context));
    Boundary = Graph.options()[Route.back()].m_End;
  }
  return Route;
}

} // namespace parsleyring
