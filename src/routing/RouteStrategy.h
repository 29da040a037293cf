#ifndef PARSLEYRING_ROUTING_ROUTESTRATEGY_H
#define PARSLEYRING_ROUTING_ROUTESTRATEGY_H

#include "routing/RandomSource.h"
#include "routing/StageGraph.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// What a strategy knows besides the graph.
struct RouteContext {
  Time m_Now;
  const std::string &m_Pool;
  const CostModel &m_Costs;
  RandomSource &m_Random;
};

/// Chooses one of the routes of a graph that has at least one.
class RouteStrategy {
public:
  virtual ~RouteStrategy() = default;

  /// Returns the numbers of the options of the route, in order. The strategy
  /// may change the cost of options to what it compared.
  virtual std::vector<std::size_t> choose(StageGraph &Graph,
                                          const RouteContext &Context) = 0;

  /// Returns null for a name that is not in routeStrategyNames().
  static std::unique_ptr<RouteStrategy> create(const std::string &Name);
};

/// A strategy that chooses stage by stage among the endpoints that begin at the
/// boundary reached.
class StagewiseStrategy : public RouteStrategy {
public:
  std::vector<std::size_t> choose(StageGraph &Graph,
                                  const RouteContext &Context) override;

protected:
  /// Returns one of Graph.usable()[First..End), which is not empty.
  virtual std::size_t chooseStage(const StageGraph &Graph, std::size_t First,
                                  std::size_t End,
                                  const RouteContext &Context) = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ROUTESTRATEGY_H
