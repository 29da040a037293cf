#ifndef PARSLEYRING_ROUTING_LEASTOUTSTANDINGSTRATEGY_H
#define PARSLEYRING_ROUTING_LEASTOUTSTANDINGSTRATEGY_H

#include "routing/RouteStrategy.h"

namespace parsleyring {

/// Chooses the endpoint with the fewest estimated requests; ties are broken at
/// random.
class LeastOutstandingStrategy final : public StagewiseStrategy {
protected:
  std::size_t chooseStage(const StageGraph &Graph, std::size_t First,
                          std::size_t End,
                          const RouteContext &Context) override;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_LEASTOUTSTANDINGSTRATEGY_H
