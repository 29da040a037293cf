#ifndef PARSLEYRING_PLACEMENT_PLACEMENTDUTY_H
#define PARSLEYRING_PLACEMENT_PLACEMENTDUTY_H

#include "fleet/EngineModel.h"
#include "fleet/FleetTable.h"
#include "placement/LayoutPlanner.h"

#include <map>

namespace parsleyring {

/// Decides when which order goes to which engine, on the VM that holds the
/// placement duty. What the engines report they hold is the only state that
/// lasts; any VM goes on from it.
class PlacementDuty {
public:
  /// Orders to be sent now.
  std::vector<PlacementOrder>
  tick(const EngineModel &Model,
       const std::vector<FleetTable::Handle> &Endpoints, Time Now);
  /// The engine has refused the order or has not answered; an order without
  /// an answer may still be carried out.
  void noteRefused(const std::string &Endpoint) { m_Pending.erase(Endpoint); }
  void noteUnanswered(const std::string &Endpoint, Time Now);
  /// Forgets all orders, when the duty has been lost.
  void clear() { m_Pending.clear(); }

private:
  struct PendingOrder {
    LayerRange m_Layers;
    std::int64_t m_Born = 0; ///< The incarnation that got the order.
    Time m_Until{};          ///< Taken as not carried out from then on.
  };

  bool isSettled(const std::vector<FleetTable::Handle> &Endpoints,
                 Time Now) const;
  void dropFulfilled(const std::vector<FleetTable::Handle> &Endpoints,
                     Time Now);

  void noteLayout(const std::vector<PlacementCard> &Cards, Time Now);
  void notePending(const EngineModel &Model,
                   const std::vector<FleetTable::Handle> &Endpoints,
                   const std::vector<PlacementOrder> &Orders, Time Now);

  std::map<std::string, PendingOrder> m_Pending;
  std::vector<PlacementOrder> m_Layout; ///< As it was last.
  Time m_LayoutChangedAt{};
  Time m_NextMove{};
  Time m_FirstSeen{};
  bool m_HasPlanned = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_PLACEMENTDUTY_H
