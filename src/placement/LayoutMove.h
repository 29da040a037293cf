#ifndef PARSLEYRING_PLACEMENT_LAYOUTMOVE_H
#define PARSLEYRING_PLACEMENT_LAYOUTMOVE_H

#include "placement/LayerMemory.h"

#include <optional>

namespace parsleyring {

/// Finds the change of one serving card that adds most to the memory that whole
/// paths can use.
class LayoutMove {
public:
  /// Cards hold whole copies together. They are used as scratch space and left
  /// as they were.
  LayoutMove(const EngineModel &Model, std::vector<PlacementCard> &Cards);

  /// Empty if no change is worth its cost.
  std::optional<PlacementOrder> find();

private:
  struct Move {
    double m_Utility = 0;
    PlacementCard *m_Card = nullptr;
    LayerRange m_Layers;
  };

  double usableWith(PlacementCard &Card, LayerRange Layers);
  std::vector<LayerRange> otherRanges(PlacementCard &Card);
  std::vector<Move> promisingMoves();

  const EngineModel &m_Model;
  std::vector<PlacementCard> &m_Cards;
  LayerMemory m_Memory;
  const double m_Usable; ///< Before the change.
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYOUTMOVE_H
