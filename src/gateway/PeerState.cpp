#include "gateway/PeerState.h"

#include "core/Cbor.h"
#include "membership/IncarnationList.h"

namespace parsleyring {

using nlohmann::json;

const std::string PeerState::Target = "/peer/state";

std::string PeerState::encode() const {
  std::vector<std::uint8_t> Bytes = json::to_cbor(
      json{{"configuration", m_Configuration},
           {"leaving", encodeIncarnations(m_Leaving)},
           {"stated_leaving", encodeIncarnations(m_StatedLeaving)}});
  return {Bytes.begin(), Bytes.end()};
}

std::optional<PeerState> PeerState::decode(const std::string &Bytes) {
  json Root = parseCbor(Bytes);
  if (!Root.is_object() || !Root.contains("configuration") ||
      !Root["configuration"].is_string() || !Root.contains("leaving"))
    return std::nullopt;
  // VMs of earlier versions do not know what endpoints state.
  json NoneStated = json::array();
  auto Leaving = decodeIncarnations(Root["leaving"]);
  auto Stated = decodeIncarnations(
      Root.contains("stated_leaving") ? Root["stated_leaving"] : NoneStated);
  if (!Leaving || !Stated)
    return std::nullopt;
  return PeerState{Root["configuration"].get<std::string>(), *Leaving, *Stated};
}

} // namespace parsleyring
