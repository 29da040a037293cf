#ifndef PARSLEYRING_ROUTING_ROUTESTRATEGY_H
#define PARSLEYRING_ROUTING_ROUTESTRATEGY_H

#include "routing/RandomSource.h"
#include "routing/StageGraph.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// Input of a strategy besides the graph.
struct RouteContext {
  Time m_Now;
  const std::string &m_Pool;
  const CostModel &m_Costs;
  RandomSource &m_Random;
};

/// Chooses a route through a graph that has at least one.
class RouteStrategy {
public:
  virtual ~RouteStrategy() = default;

  /// Returns the indexes of the route's options, in order. The strategy may set
  /// the costs of options to the values that it compared.
  virtual std::vector<std::size_t> choose(StageGraph &Graph,
                                          const RouteContext &Context) = 0;

  /// Returns null for a name that is not in routeStrategyNames().
  static std::unique_ptr<RouteStrategy> create(const std::string &Name);
};

/// A strategy that chooses stage by stage, each time among the endpoints whose
/// layers begin where those of the stage before end.
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
