#ifndef PARSLEYRING_PLACEMENT_HOLEFILLER_H
#define PARSLEYRING_PLACEMENT_HOLEFILLER_H

#include "placement/LayoutPlanner.h"

#include <optional>

namespace parsleyring {

/// Covers layers without a holder by the cards that hold the layers before and
/// after them. These extend into the hole and keep serving meanwhile, while a
/// card that moves there serves nothing until its requests have ended. If they
/// have no memory for that, cards further along the chain first take over
/// layers of theirs. Of several ways, the one is chosen that loads fewest
/// layers, since no path inside the failure domain exists until then.
class HoleFiller {
public:
  /// Sets m_Layers of the Cards that are ordered to change.
  HoleFiller(const EngineModel &Model, std::vector<PlacementCard> &Cards);

  /// Returns orders for one hole.
  std::vector<PlacementOrder> fill(LayerRange Hole);
  /// True if the last hole is covered soonest by cards that make room for it
  /// when other ones have carried out earlier orders.
  bool isWaiting() const { return m_IsWaiting; }

private:
  enum class Side { Before, After };
  /// A card that can cover layers of a hole; without one, it covers none.
  struct Candidate {
    PlacementCard *m_Card = nullptr;
    std::uint32_t m_Distance = 0;   ///< Number of layers up to the hole.
    std::uint32_t m_FreeLayers = 0; ///< Beyond these.
    std::uint32_t m_MostLayers = 0; ///< Of its whole range.
  };

  std::vector<PlacementCard *> neighbours(std::uint32_t Boundary,
                                          Side Where) const;
  std::vector<Candidate> candidates(std::uint32_t Boundary, Side Where) const;
  PlacementCard *nextCard(const PlacementCard &Card, Side FarSide) const;
  bool extendNeighbours(LayerRange Hole);
  void makeRoomFor(LayerRange Hole);
  std::optional<std::uint32_t> layersUntilCovered(LayerRange Hole);
  std::optional<std::uint32_t> layersAfterWaiting(LayerRange Hole);
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
  double m_RequestMemoryFraction = 0;
  bool m_IsWaiting = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_HOLEFILLER_H
