#ifndef PARSLEYRING_ROUTING_TWOCHOICESSTRATEGY_H
#define PARSLEYRING_ROUTING_TWOCHOICESSTRATEGY_H

#include "routing/RouteStrategy.h"

namespace parsleyring {

/// Power of two choices: draws two endpoints at random and chooses the one with
/// fewer requests per slot.
class TwoChoicesStrategy final : public StagewiseStrategy {
protected:
  std::size_t chooseStage(const StageGraph &Graph, std::size_t First,
                          std::size_t End,
                          const RouteContext &Context) override;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_TWOCHOICESSTRATEGY_H
