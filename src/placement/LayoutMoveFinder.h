#ifndef PARSLEYRING_PLACEMENT_LAYOUTMOVEFINDER_H
#define PARSLEYRING_PLACEMENT_LAYOUTMOVEFINDER_H

#include "placement/LayerMemory.h"

#include <optional>

namespace parsleyring {

/// Finds the change of one serving card's layers that adds most to the request
/// memory that paths over all layers can use.
class LayoutMoveFinder {
public:
  /// The Cards together hold whole copies of the model. They are changed during
  /// the search and restored.
  LayoutMoveFinder(const EngineModel &Model, std::vector<PlacementCard> &Cards);

  /// Returns nothing if no change is worth its cost.
  std::optional<PlacementOrder> find();

private:
  struct Move {
    double m_Utility = 0;
    PlacementCard *m_Card = nullptr;
    LayerRange m_Layers;
  };

  double usableMemoryWith(PlacementCard &Card, LayerRange Layers);
  bool takesNeededSlots(PlacementCard &Card, LayerRange Layers);
  std::vector<LayerRange> candidateRanges(PlacementCard &Card);
  std::vector<Move> candidateMoves();

  const EngineModel &m_Model;
  std::vector<PlacementCard> &m_Cards;
  LayerMemory m_Memory;
  const double
      m_UsableMegabytes; ///< Before the change, in megabytes per layer.
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYOUTMOVEFINDER_H
