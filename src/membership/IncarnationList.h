#ifndef PARSLEYRING_MEMBERSHIP_INCARNATIONLIST_H
#define PARSLEYRING_MEMBERSHIP_INCARNATIONLIST_H

#include "fleet/FleetTable.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

namespace parsleyring {

/// How VMs tell each other of incarnations: an array of pairs of id and start
/// time.
nlohmann::json
encodeIncarnations(const std::vector<EndpointIncarnation> &Endpoints);
/// Returns nothing if List is no such array.
std::optional<std::vector<EndpointIncarnation>>
decodeIncarnations(const nlohmann::json &List);

} // namespace parsleyring

#endif // PARSLEYRING_MEMBERSHIP_INCARNATIONLIST_H
