#ifndef PARSLEYRING_GATEWAY_ACTIVECONFIGURATION_H
#define PARSLEYRING_GATEWAY_ACTIVECONFIGURATION_H

#include "fleet/RouteTable.h"
#include "gateway/DecisionLog.h"
#include "gateway/EndpointProtocol.h"
#include "gateway/NodeMetrics.h"
#include "gateway/PeerState.h"
#include "store/StoreClient.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleyring {

/// The routing configuration that this VM has in force. It stays until there is
/// a valid one of a higher version.
///
/// The store may have been restored from a copy that is older than what the VMs
/// have in force. They therefore tell each other their versions and take newer
/// ones from each other. A VM that starts asks some others before it puts its
/// first configuration in force.
class ActiveConfiguration {
public:
  using AddressSource = std::function<std::vector<std::string>()>;
  using StateHandler =
      std::function<void(const PeerState &, const std::string &PeerAddress)>;

  /// What the object works with; all of it must outlive the object.
  struct Dependencies {
    const RecordFormat &m_Records;
    StoreClient &m_Client;
    DecisionLog &m_Log;
    NodeMetrics &m_Metrics;
  };

  /// PeerAddresses returns the peer addresses of the other VMs.
  /// OnStateAtStart is called with what they answer before a configuration is
  /// in force.
  ActiveConfiguration(Dependencies Used, std::function<Time()> Now,
                      AddressSource PeerAddresses, StateHandler OnStateAtStart);

  /// Null until a configuration is in force.
  const std::shared_ptr<const RouteTable> &table() const {
    return m_InForce.m_Table;
  }
  /// 0 if none is in force.
  ConfigurationVersion version() const { return m_InForce.version(); }
  /// The text of the configuration in force, for other VMs.
  const std::string &text() const { return m_InForce.m_Text; }

  /// Applies the item of the store.
  void apply(const StoreItem &Item);
  /// The store begins a new era, in which it gives revisions out again.
  void noteRestored() { m_Revision = 0; }
  /// The VM at PeerAddress, which knows no newer items of the store than this
  /// one, has Version in force.
  void notePeerVersion(ConfigurationVersion Version,
                       const std::string &PeerAddress);

private:
  struct Configuration {
    std::shared_ptr<const RouteTable> m_Table; ///< Null if there is none.
    std::string m_Text;
    std::string m_Source; ///< "store", or a peer address.

    ConfigurationVersion version() const {
      return m_Table ? m_Table->m_Version : 0;
    }
  };

  const Configuration &newest() const { return table() ? m_InForce : m_First; }
  /// Takes the configuration of this text unless a newer one is known. Returns
  /// false if it is not valid.
  bool offer(const std::string &Text, const std::string &Source);
  void take(Configuration Newer);
  void activate(Configuration Newer);
  void askPeersAtStart();
  /// OnEnd gets false if the configuration of the answer is not valid.
  void ask(const std::string &PeerAddress, std::function<void(bool)> OnEnd);

  const Dependencies m_Used;
  std::function<Time()> m_Now;
  AddressSource m_PeerAddresses;
  StateHandler m_OnStateAtStart;
  std::minstd_rand m_Random;
  Configuration m_InForce;
  std::uint64_t m_Revision = 0; ///< Of the last item, also if it is not valid.
  /// The newest configuration so far, while other VMs are asked at start.
  Configuration m_First;
  std::size_t m_OpenQuestions = 0; ///< To other VMs.
  /// Version of a peer whose text this VM cannot read.
  ConfigurationVersion m_UnreadableVersion = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ACTIVECONFIGURATION_H
