#ifndef PARSLEYRING_ROUTING_LAYERPATHPLANNER_H
#define PARSLEYRING_ROUTING_LAYERPATHPLANNER_H

#include "fleet/EngineModel.h"
#include "fleet/FleetTable.h"

#include <string>
#include <vector>

namespace parsleyring {

/// One endpoint's part of a path.
struct PathPart {
  FleetTable::Handle m_Endpoint;
  LayerRange m_Layers;
};

/// Endpoints that run a request one after the other, with every layer once and
/// in order. Empty if there is no path.
using LayerPath = std::vector<PathPart>;

/// What a path has to carry.
struct PathDemand {
  double m_PromptTokens = 0;
  double m_AnswerTokens = 0;
  LayerRange m_Layers;         ///< To be covered.
  std::string m_FailureDomain; ///< Where the path begins.
  /// The endpoint after the path if it is a part of a longer one; null if not.
  FleetTable::Handle m_Next;
  /// VMs that are assumed to load the endpoints like this one.
  double m_LoadFactor = 1;
  std::vector<FleetTable::Handle> m_Excluded;
};

/// Finds the path with the least expected time, by dynamic programming over
/// the first layers of the ranges that the endpoints hold.
class LayerPathPlanner {
public:
  static LayerPath plan(const EngineModel &Model,
                        const std::vector<FleetTable::Handle> &Endpoints,
                        const PathDemand &Demand, Time Now);

  /// Share of the memory for requests that the requests of all VMs are expected
  /// to take at their end, with Tokens more over all layers that it holds.
  static double memoryFill(const EngineModel &Model,
                           const FleetEndpoint &Endpoint, double LoadFactor,
                           double Tokens);

  /// Tokens times layers that a card can keep beside the weights of Layers.
  static double cacheCapacity(const EngineModel &Model, const CardKind &Card,
                              LayerRange Layers);
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_LAYERPATHPLANNER_H
