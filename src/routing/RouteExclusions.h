#ifndef PARSLEYRING_ROUTING_ROUTEEXCLUSIONS_H
#define PARSLEYRING_ROUTING_ROUTEEXCLUSIONS_H

#include "routing/RoutePlanner.h"
#include "routing/StageGraph.h"

namespace parsleyring {

/// The members of a pool that were not candidates for a route, with the reason;
/// at most a few for each reason. Graph holds the options made from Members,
/// after select(Filter).
std::vector<RouteExclusion>
routeExclusions(Time Now, const std::vector<Endpoint *> &Members,
                const StageGraph &Graph, const StageFilter &Filter);

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ROUTEEXCLUSIONS_H
