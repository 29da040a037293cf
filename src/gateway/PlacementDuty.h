#ifndef PARSLEYRING_GATEWAY_PLACEMENTDUTY_H
#define PARSLEYRING_GATEWAY_PLACEMENTDUTY_H

#include "gateway/ActiveConfiguration.h"
#include "gateway/EndpointClient.h"
#include "placement/PlacementController.h"
#include "store/StoreWatcher.h"
#include "store/VMLease.h"

#include <functional>
#include <map>
#include <string>

namespace parsleyring {

/// While this VM is the leader, has the placement of each service decided and
/// sends the orders to the engines.
class PlacementDuty {
public:
  /// What the object works with; all of it must outlive the object.
  struct Dependencies {
    const VMLease &m_Lease;
    const ActiveConfiguration &m_Configuration;
    const StoreWatcher &m_StoreWatcher;
    FleetTable &m_Fleet;
    const EndpointProtocol &m_Protocol;
    EndpointClient &m_EndpointClient;
    DecisionLog &m_Log;
    NodeMetrics &m_Metrics;
  };

  PlacementDuty(Dependencies Used, std::function<Time()> Now)
      : m_Used(Used), m_Now(std::move(Now)) {}

  /// True if tick() is to be called at this tick of the node.
  bool isDue(std::uint64_t Ticks) const;
  void tick(bool IsStopping);
  /// True if this VM was the leader at the last tick.
  bool wasLeader() const { return m_WasLeader; }

private:
  void sendOrder(const std::string &Service, const PlacementOrder &Order);

  const Dependencies m_Used;
  std::function<Time()> m_Now;
  std::map<std::string, PlacementController> m_Placement; ///< By service.
  bool m_WasLeader = false;
  std::uint64_t m_PlacedGeneration = 0; ///< Of the list at the last placement.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_PLACEMENTDUTY_H
