#ifndef PARSLEYRING_ROUTING_ESTIMATEDCOSTSTRATEGY_H
#define PARSLEYRING_ROUTING_ESTIMATEDCOSTSTRATEGY_H

#include "routing/RouteStrategy.h"

namespace parsleyring {

/// Chooses the route with the least estimated time for waiting, prefill, tokens
/// and links. A small random share is added to the cost of each endpoint, so
/// that routers with the same reports, or none, choose differently among
/// endpoints of nearly equal cost.
class EstimatedCostStrategy final : public RouteStrategy {
public:
  std::vector<std::size_t> choose(StageGraph &Graph,
                                  const RouteContext &Context) override;

private:
  /// Cheapest partial route that ends at a boundary, for one pair of failure
  /// domains: those of its first and its last stage.
  struct PartialRoute {
    double m_CostMicros = 0;
    std::size_t m_Option = 0;     ///< Last stage.
    std::size_t m_LastDomain = 0; ///< Failure domain of the stage before.
  };

  PartialRoute &partialRoute(std::size_t Boundary, std::size_t First,
                             std::size_t Last) {
    return m_PartialRoutes[(Boundary * m_DomainCount + First) * m_DomainCount +
                           Last];
  }
  void addFirstStages(const StageGraph &Graph, const RouteContext &Context);
  void addStages(const StageGraph &Graph, const RouteContext &Context,
                 std::size_t Boundary);
  std::vector<std::size_t> traceRoute(const StageGraph &Graph,
                                      const RouteContext &Context);

  std::size_t m_DomainCount = 0;
  std::vector<PartialRoute> m_PartialRoutes;
  /// Routes to one boundary with the link to the next stage added, by the
  /// failure domains of the first and the next stage.
  std::vector<PartialRoute> m_LinkedRoutes;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ESTIMATEDCOSTSTRATEGY_H
