#ifndef PARSLEYRING_MEMBERSHIP_DIGEST_H
#define PARSLEYRING_MEMBERSHIP_DIGEST_H

#include "parsleyring/Events.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyring {

struct LeavingEndpoint {
  std::string m_Endpoint;
  std::string m_Incarnation;

  bool operator<(const LeavingEndpoint &Other) const {
    return m_Endpoint != Other.m_Endpoint ? m_Endpoint < Other.m_Endpoint
                                          : m_Incarnation < Other.m_Incarnation;
  }
};

/// A VM that runs a router, as known from the settings, the VM list or digests.
struct PeerInfo {
  Incarnation m_Identity; ///< Number 0 before the VM's first digest.
  std::string m_Address;
  std::string m_FailureDomain;
  Duration m_Age{}; ///< Time since the VM was last heard from.
};

/// Contents of a heartbeat.
struct Digest {
  PeerInfo m_Sender;
  bool m_IsDraining = false;
  ConfigurationVersion m_ConfigurationVersion = 0;
  std::map<std::string, std::uint32_t> m_Outstanding;
  std::vector<LeavingEndpoint> m_Leaving;
  std::vector<LoadReported> m_Load; ///< Without prefixes.
  std::vector<PeerInfo> m_Peers;
};

} // namespace parsleyring

#endif // PARSLEYRING_MEMBERSHIP_DIGEST_H
