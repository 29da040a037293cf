#include "node/VMListPeerNetwork.h"

namespace parsleyring {

static PeerInfo ownPeerInfo(const Settings &Options, const Incarnation &Self) {
  PeerInfo Info;
  Info.m_Identity = Self;
  Info.m_Address = Options.m_PeerAddress;
  Info.m_FailureDomain = Options.m_FailureDomain;
  return Info;
}

static std::vector<PeerInfo> seedPeers(const Settings &Options) {
  std::vector<PeerInfo> Seeds;
  for (const PeerSeed &Seed : Options.m_Peers) {
    PeerInfo Info;
    Info.m_Identity.m_VM = Seed.m_VM;
    Info.m_Address = Seed.m_Address;
    Info.m_FailureDomain = Seed.m_FailureDomain;
    Seeds.push_back(std::move(Info));
  }
  return Seeds;
}

VMListPeerNetwork::VMListPeerNetwork(const Settings &Options,
                                     const Incarnation &Self,
                                     std::function<Time()> Now,
                                     PlatformClient &Platform,
                                     const PeerCallbacks &Callbacks)
    : ThriftPeerNetwork(ownPeerInfo(Options, Self), seedPeers(Options),
                        std::move(Now), Callbacks),
      m_Post(Callbacks.m_Post),
      m_VMListWatcher(Platform, [this](const VMList &List) { apply(List); }) {}

VMListPeerNetwork::~VMListPeerNetwork() { VMListPeerNetwork::stop(); }

void VMListPeerNetwork::start() {
  ThriftPeerNetwork::start();
  m_VMListWatcher.start();
}

void VMListPeerNetwork::stop() {
  m_VMListWatcher.stop();
  ThriftPeerNetwork::stop();
}

void VMListPeerNetwork::apply(const VMList &List) {
  std::set<std::string> Listed;
  for (const PeerInfo &Router : List.m_Routers)
    Listed.insert(Router.m_Identity.m_VM);
  std::vector<std::string> Unlisted;
  for (const std::string &VM : m_ListedVMs)
    if (Listed.count(VM) == 0)
      Unlisted.push_back(VM);
  m_ListedVMs = std::move(Listed);
  updateVMs(List.m_Routers, Unlisted);
  // Reports an endpoint only when the list first names it: the list is updated
  // with delay, and a repeated event would apply to the process that took over
  // the endpoint in the meantime.
  std::set<std::string> Leaving(List.m_Leaving.begin(), List.m_Leaving.end());
  for (const std::string &Endpoint : Leaving)
    if (m_LeavingEndpoints.count(Endpoint) == 0)
      m_Post(EndpointLeaving{Endpoint, {}, LeavingSource::VMList});
  m_LeavingEndpoints = std::move(Leaving);
}

} // namespace parsleyring
