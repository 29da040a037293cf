#ifndef PARSLEYRING_REQUESTS_ROUTECHECK_H
#define PARSLEYRING_REQUESTS_ROUTECHECK_H

#include "parsleyring/Types.h"

#include <string>
#include <vector>

namespace parsleyring {

/// True if the hops of a token are the stages of the route, in order.
bool isHopListOfRoute(const std::vector<Stage> &Route,
                      const std::vector<Hop> &Hops);

/// The endpoint to blame for hops that are not those of the route: the one
/// that ran a second time, or else the one whose turn it was at the first
/// wrong hop. The route is not empty.
const std::string &endpointAtFirstWrongHop(const std::vector<Stage> &Route,
                                           const std::vector<Hop> &Hops);

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ROUTECHECK_H
