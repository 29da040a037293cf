#ifndef PARSLEYRING_ROUTING_ROUNDROBINSTRATEGY_H
#define PARSLEYRING_ROUTING_ROUNDROBINSTRATEGY_H

#include "routing/RouteStrategy.h"

#include <map>

namespace parsleyring {

/// Takes the endpoints of a boundary in turn, in the order of the document.
class RoundRobinStrategy final : public StagewiseStrategy {
protected:
  std::size_t chooseStage(const StageGraph &Graph, std::size_t First,
                          std::size_t End,
                          const RouteContext &Context) override;

private:
  /// Position in the pool from which the turn goes on, by pool and first layer.
  std::map<std::pair<std::string, std::uint32_t>, std::size_t> m_Next;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ROUNDROBINSTRATEGY_H
