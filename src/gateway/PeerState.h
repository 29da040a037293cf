#ifndef PARSLEYRING_GATEWAY_PEERSTATE_H
#define PARSLEYRING_GATEWAY_PEERSTATE_H

#include "fleet/FleetTable.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// What a VM tells another one of the facts that the store may lack, since it
/// has been restored from an older copy.
struct PeerState {
  std::string m_Configuration; ///< Text of the one in force; empty if none is.
  std::vector<EndpointIncarnation> m_Leaving; ///< Leaving or left.
  /// Stated that they are leaving, so that they will not be ready again.
  std::vector<EndpointIncarnation> m_StatedLeaving{};

  std::string encode() const;
  /// Returns nothing if Bytes is no valid state.
  static std::optional<PeerState> decode(const std::string &Bytes);

  /// Target of the call with which VMs ask each other for it.
  static const std::string Target;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_PEERSTATE_H
