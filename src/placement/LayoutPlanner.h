#ifndef PARSLEYRING_PLACEMENT_LAYOUTPLANNER_H
#define PARSLEYRING_PLACEMENT_LAYOUTPLANNER_H

#include "fleet/EngineModel.h"
#include "parsleyring/Types.h"

#include <string>
#include <vector>

namespace parsleyring {

/// An engine whose card can hold layers.
struct PlacementCard {
  std::string m_Endpoint;
  std::string m_FailureDomain;
  double m_MemoryMegabytes = 0;
  double m_StepFactor = 1; ///< Time of a token step relative to other cards.
  LayerRange m_Layers;     ///< Held or ordered; empty if none.
  bool m_IsBusy = false;   ///< Would refuse an order now.
  /// Empty and needed soon; gets only layers that nobody else holds.
  bool m_IsReserved = false;
  /// Requests that may run at the same time on paths that begin at the engine;
  /// 0 if unknown.
  std::uint32_t m_Slots = 0;

  bool isEmpty() const { return m_Layers.m_End <= m_Layers.m_First; }
  bool holdsFirstLayer() const { return !isEmpty() && m_Layers.m_First == 0; }
};

/// An order to an engine to hold a range of layers.
struct PlacementOrder {
  std::string m_Endpoint;
  LayerRange m_Layers;
};

/// Decides which layers each engine holds. Keeps whole copies of the model
/// inside each failure domain, so that requests need not cross between domains.
/// Each copy is a chain of cards of similar speed. The cards of a chain get
/// layers in proportion to their memory, so that no card runs out of memory for
/// requests before the others. Only the first engine of a path counts a request
/// in its slots, so several cards of a chain hold its first layers if the slots
/// of one do not suffice for the requests that fit into the memory. Layers that
/// lose their only holder go to the neighbours in their chain, which keep
/// serving meanwhile.
class LayoutPlanner {
public:
  /// Returns orders for cards that hold nothing. If a layer in a group of
  /// failure domains has no holder, also for cards whose layers other cards
  /// hold as well.
  static std::vector<PlacementOrder>
  plan(const EngineModel &Model, const std::vector<PlacementCard> &Cards);

  /// Returns orders that move serving cards, at most one for each group of
  /// failure domains, to layers with so little request memory that the memory
  /// of the other layers cannot be used. For a layout without pending changes.
  static std::vector<PlacementOrder>
  planMoves(const EngineModel &Model, const std::vector<PlacementCard> &Cards);
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYOUTPLANNER_H
