#include "gateway/PeerState.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using nlohmann::json;

const std::string PeerState::Target = "/peer/state";

std::string PeerState::encode() const {
  json Leaving = json::array();
  for (const EndpointIncarnation &Endpoint : m_Leaving)
    Leaving.push_back({Endpoint.m_Id, Endpoint.m_StartTimeMs});
  std::vector<std::uint8_t> Bytes = json::to_cbor(
      json{{"configuration", m_Configuration}, {"leaving", Leaving}});
  return {Bytes.begin(), Bytes.end()};
}

std::optional<PeerState> PeerState::decode(const std::string &Bytes) {
  json Root = json::from_cbor(Bytes, true, false);
  if (!Root.is_object() || !Root.contains("configuration") ||
      !Root["configuration"].is_string() || !Root.contains("leaving") ||
      !Root["leaving"].is_array())
    return std::nullopt;
  PeerState State;
  State.m_Configuration = Root["configuration"].get<std::string>();
  for (const json &Entry : Root["leaving"]) {
    if (!Entry.is_array() || Entry.size() < 2 || !Entry[0].is_string() ||
        !Entry[1].is_number_integer())
      return std::nullopt;
    State.m_Leaving.push_back(
        {Entry[0].get<std::string>(), Entry[1].get<std::int64_t>()});
  }
  return State;
}

} // namespace parsleyring
