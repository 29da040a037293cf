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
  double m_StepFactor = 1; ///< Time of a step against that of other cards.
  LayerRange m_Layers;     ///< Held or ordered; empty if none.

  bool isEmpty() const { return m_Layers.m_End <= m_Layers.m_First; }
};

/// The layers that an engine is to hold.
struct PlacementOrder {
  std::string m_Endpoint;
  LayerRange m_Layers;
};

/// Decides which layers each engine holds. Keeps whole copies of the model
/// inside each failure domain, so that requests need not cross between them.
/// Each copy is a chain of cards of about the same speed. The cards of a chain
/// get layers in proportion to their memory, so that no card runs out of memory
/// for requests before the others.
class LayoutPlanner {
public:
  /// Orders for the cards that hold nothing, and for cards whose layers others
  /// hold as well if a layer is held by nobody in a failure domain.
  static std::vector<PlacementOrder>
  plan(const EngineModel &Model, const std::vector<PlacementCard> &Cards);

  /// Moves of cards that serve, at most one for each failure domain, to layers
  /// that have so little memory for requests that the others' is of no use.
  /// For a layout that has settled.
  static std::vector<PlacementOrder>
  planMoves(const EngineModel &Model, const std::vector<PlacementCard> &Cards);
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYOUTPLANNER_H
