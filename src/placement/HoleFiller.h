#ifndef PARSLEYRING_PLACEMENT_HOLEFILLER_H
#define PARSLEYRING_PLACEMENT_HOLEFILLER_H

#include "placement/LayoutPlanner.h"

namespace parsleyring {

/// Covers layers without a holder by the cards that hold the layers before and
/// after them. These extend into the hole and keep serving meanwhile, while a
/// card that moves there serves nothing until its requests have ended. If they
/// have no memory for that, cards further along the chain first take over
/// layers of theirs.
class HoleFiller {
public:
  /// Sets m_Layers of the Cards that are ordered to change.
  HoleFiller(const EngineModel &Model, std::vector<PlacementCard> &Cards);

  /// Returns orders for one hole.
  std::vector<PlacementOrder> fill(LayerRange Hole);

private:
  enum class Side { Before, After };

  PlacementCard *neighbour(std::uint32_t Boundary, Side Where) const;
  std::uint32_t redundantLayers(const PlacementCard &Card, Side Where) const;
  /// Number of layers that leaves the card memory for requests.
  std::uint32_t mostLayers(const PlacementCard &Card) const;
  std::uint32_t freeLayers(const PlacementCard &Card, Side FarSide) const;
  std::uint32_t roomBeyond(const PlacementCard &Card, Side FarSide,
                           int Depth) const;
  void extend(PlacementCard &Card, Side Where, std::uint32_t Count);
  void makeRoom(const PlacementCard &Card, Side FarSide, std::uint32_t Count,
                int Depth);

  const EngineModel &m_Model;
  std::vector<PlacementCard> &m_Cards;
  std::vector<PlacementOrder> m_Orders;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_HOLEFILLER_H
