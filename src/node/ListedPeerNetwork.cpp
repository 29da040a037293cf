#include "node/ListedPeerNetwork.h"

namespace parsleyring {

static PeerInfo ownInfo(const Settings &Options, const Incarnation &Self) {
  PeerInfo Info;
  Info.m_Identity = Self;
  Info.m_Address = Options.m_PeerAddress;
  Info.m_FailureDomain = Options.m_FailureDomain;
  return Info;
}

static std::vector<PeerInfo> seeds(const Settings &Options) {
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

ListedPeerNetwork::ListedPeerNetwork(const Settings &Options,
                                     const Incarnation &Self,
                                     std::function<Time()> Now,
                                     PlatformClient &Platform,
                                     const PeerCallbacks &Callbacks)
    : ThriftPeerNetwork(ownInfo(Options, Self), seeds(Options), std::move(Now),
                        Callbacks),
      m_Post(Callbacks.m_Post),
      m_List(Platform, [this](const VMList &List) { apply(List); }) {}

ListedPeerNetwork::~ListedPeerNetwork() { ListedPeerNetwork::stop(); }

void ListedPeerNetwork::start() {
  ThriftPeerNetwork::start();
  m_List.start();
}

void ListedPeerNetwork::stop() {
  m_List.stop();
  ThriftPeerNetwork::stop();
}

void ListedPeerNetwork::apply(const VMList &List) {
  std::set<std::string> Listed;
  for (const PeerInfo &Router : List.m_Routers)
    Listed.insert(Router.m_Identity.m_VM);
  std::vector<std::string> Gone;
  for (const std::string &VM : m_ListedVMs)
    if (Listed.count(VM) == 0)
      Gone.push_back(VM);
  m_ListedVMs = std::move(Listed);
  updateVMs(List.m_Routers, Gone);
  // Only the first time that the list names an endpoint: the list lags, and a
  // repeated sign would count against the process that took over meanwhile.
  std::set<std::string> Leaving(List.m_Leaving.begin(), List.m_Leaving.end());
  for (const std::string &Endpoint : Leaving)
    if (m_LeavingEndpoints.count(Endpoint) == 0)
      m_Post(EndpointLeaving{Endpoint, {}, LeavingSource::VMList});
  m_LeavingEndpoints = std::move(Leaving);
}

} // namespace parsleyring
