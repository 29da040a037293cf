#ifndef PARSLEYRING_ROUTING_LAYERPATHPLANNER_H
#define PARSLEYRING_ROUTING_LAYERPATHPLANNER_H

#include "fleet/DomainLink.h"
#include "fleet/EngineModel.h"
#include "fleet/FleetTable.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// Stage of a path: consecutive layers that one endpoint runs.
struct PathStage {
  FleetTable::Handle m_Endpoint;
  LayerRange m_Layers;
};

/// Endpoints that run a request in sequence, each layer once and in order.
/// Empty if there is no path.
using LayerPath = std::vector<PathStage>;

/// Size of the request and constraints of its path.
struct PathQuery {
  double m_PromptTokens = 0;
  double m_AnswerTokens = 0;
  LayerRange m_Layers;         ///< Layers that the path runs.
  std::string m_FailureDomain; ///< From which the request comes.
  /// Endpoint that follows the path if the path is a section of a longer one;
  /// null otherwise.
  FleetTable::Handle m_NextEndpoint;
  /// Number of VMs assumed to load the endpoints as much as this VM does.
  double m_LoadFactor = 1;
  std::vector<FleetTable::Handle> m_Excluded;
  /// Endpoints at which the path must not begin.
  std::vector<FleetTable::Handle> m_NotFirst;
  /// Links that no stage of the path may cross. The connection to the first
  /// engine of a request is not such a crossing.
  std::vector<DomainLink> m_ClosedLinks;
};

/// The links that a path crosses, one for each crossing. FromDomain is the
/// failure domain of the engine before Path, if it is a section of a longer
/// one; empty otherwise. NextEndpoint follows Path; null if it is whole.
std::vector<DomainLink>
linkCrossings(const LayerPath &Path, const std::string &FromDomain = "",
              const FleetTable::Handle &NextEndpoint = nullptr);

/// Finds the path with the least cost, an expected time with penalties, by
/// dynamic programming over the limits of the endpoints' layer ranges.
class LayerPathPlanner {
public:
  static LayerPath plan(const EngineModel &Model,
                        const std::vector<FleetTable::Handle> &Endpoints,
                        const PathQuery &Query, Time Now);

  /// When there will be a path, if endpoints that rest are all that is missing.
  /// Empty if there may be one sooner, or none at all.
  static std::optional<Time>
  restEnd(const EngineModel &Model,
          const std::vector<FleetTable::Handle> &Endpoints,
          const PathQuery &Query, Time Now);

  /// Expected share of the endpoint's cache memory in use when the requests of
  /// all VMs end, with one more request of Tokens tokens in all layers that the
  /// endpoint holds. 1 if the endpoint has no cache memory.
  static double memoryFill(const EngineModel &Model,
                           const FleetEndpoint &Endpoint, double LoadFactor,
                           double Tokens);

  /// Share of the endpoint's slots in use with one more request whose path
  /// begins there. 0 if its number of slots is unknown.
  static double slotFill(const FleetEndpoint &Endpoint, double LoadFactor);

  /// Cache capacity of a card that holds the weights of Layers, in tokens times
  /// layers.
  static double cacheCapacity(const EngineModel &Model, const CardKind &Card,
                              LayerRange Layers);
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_LAYERPATHPLANNER_H
