#ifndef PARSLEYRING_ROUTING_ESTIMATEDCOSTSTRATEGY_H
#define PARSLEYRING_ROUTING_ESTIMATEDCOSTSTRATEGY_H

#include "routing/RouteStrategy.h"

namespace parsleyring {

/// Takes the cheapest route: waiting, prefill, tokens and links. The cost of
/// each endpoint is raised by a small random part, so that routers with the
/// same reports, or without any, choose differently among near equals.
class EstimatedCostStrategy final : public RouteStrategy {
public:
  std::vector<std::size_t> choose(StageGraph &Graph,
                                  const RouteContext &Context) override;

private:
  /// Cheapest way to a boundary for one pair of failure domains, those of the
  /// first and of the last stage so far.
  struct Way {
    double m_CostMicros = 0;
    std::size_t m_Option = 0;
    std::size_t m_LastDomain = 0; ///< Before the option.
  };

  Way &way(std::size_t Boundary, std::size_t First, std::size_t Last) {
    return m_Ways[(Boundary * m_Domains + First) * m_Domains + Last];
  }
  void enter(const StageGraph &Graph, const RouteContext &Context);
  void extend(const StageGraph &Graph, const RouteContext &Context,
              std::size_t Boundary);
  std::vector<std::size_t> trace(const StageGraph &Graph,
                                 const RouteContext &Context);

  std::size_t m_Domains = 0;
  std::vector<Way> m_Ways;
  std::vector<Way> m_Arrivals; ///< At one boundary, by first and next domain.
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ESTIMATEDCOSTSTRATEGY_H
