#ifndef PARSLEYRING_PLACEMENT_PLACEMENTCONTROLLER_H
#define PARSLEYRING_PLACEMENT_PLACEMENTCONTROLLER_H

#include "fleet/EngineModel.h"
#include "fleet/FleetTable.h"
#include "placement/SuccessionPlanner.h"

#include <map>

namespace parsleyring {

/// Decides when each placement order is sent, on the VM that is the placement
/// leader. The layers that the engines report are the only lasting state, so
/// any VM can take over.
class PlacementController {
public:
  /// Returns the orders to be sent now.
  std::vector<PlacementOrder>
  tick(const EngineModel &Model,
       const std::vector<FleetTable::Handle> &Endpoints, Time Now);
  /// Reports that the engine refused the order or did not answer. An order
  /// without an answer may still be carried out.
  void noteRefused(const std::string &Endpoint, Time Now);
  void noteUnanswered(const std::string &Endpoint, Time Now);
  /// Drops all pending orders. Called when leadership has been lost.
  void clear();

private:
  struct PendingOrder {
    LayerRange m_Layers;
    std::int64_t m_StartTimeMs = 0; ///< Of the engine that got the order.
    Time m_ExpiresAt{}; ///< The order counts as failed from then on.
  };

  bool isSettled(const std::vector<FleetTable::Handle> &Endpoints,
                 Time Now) const;
  void removeEndedOrders(const std::vector<FleetTable::Handle> &Endpoints,
                         Time Now);

  void trackSuspicions(const std::vector<FleetTable::Handle> &Endpoints,
                       Time Now);
  std::vector<PlacementCard>
  withoutCrashed(const std::vector<PlacementCard> &Cards, Time Now) const;
  void trackLayout(const std::vector<PlacementCard> &Cards, Time Now);
  void addPendingOrders(const EngineModel &Model,
                        const std::vector<FleetTable::Handle> &Endpoints,
                        const std::vector<PlacementOrder> &Orders, Time Now);

  std::map<std::string, PendingOrder> m_Pending;
  /// Engines that refused an order, and until when they get no other one.
  std::map<std::string, Time> m_BusyUntil;
  /// Engines that probably have crashed, and since when.
  std::map<std::string, Time> m_SuspectedSince;
  SuccessionPlanner m_Succession;
  std::vector<PlacementOrder> m_LastLayout; ///< At the last tick.
  Time m_LayoutChangedAt{};
  Time m_NextMoveSearchAt{};
  Time m_FirstSeenAt{};
  bool m_HasPlanned = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_PLACEMENTCONTROLLER_H
