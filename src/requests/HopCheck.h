#ifndef PARSLEYRING_REQUESTS_HOPCHECK_H
#define PARSLEYRING_REQUESTS_HOPCHECK_H

#include "parsleyring/Types.h"

#include <string>
#include <vector>

namespace parsleyring {

/// True if the hops that a token reports equal the stages of the route.
bool hopsMatchRoute(const std::vector<Stage> &Route,
                    const std::vector<Hop> &Hops);

/// The endpoint responsible for hops that differ from the route: the endpoint
/// of the first differing hop if an earlier stage used it already, else the
/// endpoint expected at that hop, or the last one if there are hops too many.
/// The route must not be empty.
const std::string &findFaultyEndpoint(const std::vector<Stage> &Route,
                                      const std::vector<Hop> &Hops);

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_HOPCHECK_H
