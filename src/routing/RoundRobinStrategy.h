#ifndef PARSLEYRING_ROUTING_ROUNDROBINSTRATEGY_H
#define PARSLEYRING_ROUTING_ROUNDROBINSTRATEGY_H

#include "routing/RouteStrategy.h"

#include <map>

namespace parsleyring {

/// Chooses the endpoints that begin at a boundary in turn, in document order.
class RoundRobinStrategy final : public StagewiseStrategy {
protected:
  std::size_t chooseStage(const StageGraph &Graph, std::size_t First,
                          std::size_t End,
                          const RouteContext &Context) override;

private:
  /// Position in the pool at which the next search begins, by pool and first
  /// layer.
  std::map<std::pair<std::string, std::uint32_t>, std::size_t> m_NextPosition;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ROUNDROBINSTRATEGY_H
