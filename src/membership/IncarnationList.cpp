#include "membership/IncarnationList.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using nlohmann::json;

json encodeIncarnations(const std::vector<EndpointIncarnation> &Endpoints) {
  json List = json::array();
  for (const EndpointIncarnation &Endpoint : Endpoints)
    List.push_back({Endpoint.m_Id, Endpoint.m_StartTimeMs});
  return List;
}

std::optional<std::vector<EndpointIncarnation>>
decodeIncarnations(const json &List) {
  if (!List.is_array())
    return std::nullopt;
  std::vector<EndpointIncarnation> Endpoints;
  for (const json &Entry : List) {
    if (!Entry.is_array() || Entry.size() < 2 || !Entry[0].is_string() ||
        !Entry[1].is_number_integer())
      return std::nullopt;
    Endpoints.push_back(
        {Entry[0].get<std::string>(), Entry[1].get<std::int64_t>()});
  }
  return Endpoints;
}

} // namespace parsleyring
