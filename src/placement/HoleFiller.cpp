#include "placement/HoleFiller.h"

#include <algorithm>

namespace parsleyring {

// Part of a card's memory that stays free for requests when it extends.
static constexpr double MinRequestMemoryFraction = 0.15;
// Number of cards along a chain that may have to change for one hole.
static constexpr int MaxDepth = 4;

HoleFiller::HoleFiller(const EngineModel &Model,
                       std::vector<PlacementCard> &Cards)
    : m_Model(Model), m_Cards(Cards) {}

static std::uint32_t count(LayerRange Layers) {
  return Layers.m_End - Layers.m_First;
}

// The largest card whose layers end (Before) or begin (After) at Boundary.
PlacementCard *HoleFiller::neighbour(std::uint32_t Boundary, Side Where) const {
  PlacementCard *Largest = nullptr;
  for (PlacementCard &Card : m_Cards) {
    std::uint32_t Limit =
        Where == Side::Before ? Card.m_Layers.m_End : Card.m_Layers.m_First;
    if (!Card.isEmpty() && Limit == Boundary &&
        (!Largest || Card.m_MemoryMegabytes > Largest->m_MemoryMegabytes))
      Largest = &Card;
  }
  return Largest && !Largest->m_IsBusy ? Largest : nullptr;
}

// Number of layers at one end of the card's range that settled cards hold as
// well, so that the card can give them up. It keeps one at least.
std::uint32_t HoleFiller::redundantLayers(const PlacementCard &Card,
                                          Side Where) const {
  auto HasOtherHolder = [&](std::uint32_t Layer) {
    return std::any_of(m_Cards.begin(), m_Cards.end(),
                       [&](const PlacementCard &Other) {
                         return &Other != &Card && !Other.m_IsBusy &&
                                Other.m_Layers.m_First <= Layer &&
                                Layer < Other.m_Layers.m_End;
                       });
  };
  std::uint32_t Redundant = 0;
  while (Redundant + 1 < count(Card.m_Layers) &&
         HasOtherHolder(Where == Side::Before
                            ? Card.m_Layers.m_First + Redundant
                            : Card.m_Layers.m_End - 1 - Redundant))
    ++Redundant;
  return Redundant;
}

std::uint32_t HoleFiller::mostLayers(const PlacementCard &Card) const {
  double Most = Card.m_MemoryMegabytes * (1 - MinRequestMemoryFraction) /
                m_Model.m_LayerMegabytes;
  // Not finite if the model does not state the size of a layer.
  return static_cast<std::uint32_t>(
      std::max(0.0, std::min<double>(m_Model.m_Layers, Most)));
}

// Number of layers that the card can add, including those that it can give up
// on its far side for them.
std::uint32_t HoleFiller::freeLayers(const PlacementCard &Card,
                                     Side FarSide) const {
  std::uint32_t Most = mostLayers(Card);
  std::uint32_t Kept = count(Card.m_Layers) - redundantLayers(Card, FarSide);
  return Most > Kept ? Most - Kept : 0;
}

// Number of layers that the next cards along the chain could take over.
std::uint32_t HoleFiller::roomBeyond(const PlacementCard &Card, Side FarSide,
                                     int Depth) const {
  PlacementCard *Next = neighbour(
      FarSide == Side::Before ? Card.m_Layers.m_First : Card.m_Layers.m_End,
      FarSide);
  if (!Next || Depth == 0)
    return 0;
  return freeLayers(*Next, FarSide) + roomBeyond(*Next, FarSide, Depth - 1);
}

// Adds Count layers on one side and gives up as many redundant ones on the
// other side as the memory requires.
void HoleFiller::extend(PlacementCard &Card, Side Where, std::uint32_t Count) {
  if (Count == 0)
    return;
  std::uint32_t Most = mostLayers(Card);
  std::uint32_t Wanted = count(Card.m_Layers) + Count;
  std::uint32_t GivenUp = Wanted > Most ? Wanted - Most : 0;
  if (Where == Side::Before) {
    Card.m_Layers.m_First -= Count;
    Card.m_Layers.m_End -= GivenUp;
  } else {
    Card.m_Layers.m_End += Count;
    Card.m_Layers.m_First += GivenUp;
  }
  Card.m_IsBusy = true;
  m_Orders.push_back({Card.m_Endpoint, Card.m_Layers});
}

// Lets the next card along the chain take over up to Count layers at the far
// side of Card, so that Card can give them up once they are loaded there.
void HoleFiller::makeRoom(const PlacementCard &Card, Side FarSide,
                          std::uint32_t Count, int Depth) {
  const Side Towards = FarSide == Side::Before ? Side::After : Side::Before;
  std::uint32_t Boundary =
      FarSide == Side::Before ? Card.m_Layers.m_First : Card.m_Layers.m_End;
  PlacementCard *Next = neighbour(Boundary, FarSide);
  if (!Next || Depth == 0)
    return;
  std::uint32_t Free = freeLayers(*Next, FarSide);
  if (Free == 0) {
    makeRoom(*Next, FarSide, Count, Depth - 1);
    return;
  }
  extend(*Next, Towards, std::min({Free, Count, count(Card.m_Layers) - 1}));
}

std::vector<PlacementOrder> HoleFiller::fill(LayerRange Hole) {
  m_Orders.clear();
  PlacementCard *Before = neighbour(Hole.m_First, Side::Before);
  PlacementCard *After = neighbour(Hole.m_End, Side::After);
  if (Before == After)
    After = nullptr;
  std::uint32_t FreeBefore = Before ? freeLayers(*Before, Side::Before) : 0;
  std::uint32_t FreeAfter = After ? freeLayers(*After, Side::After) : 0;
  const std::uint32_t Needed = count(Hole);
  if (FreeBefore + FreeAfter < Needed) {
    std::uint32_t Missing = Needed - FreeBefore - FreeAfter;
    std::uint32_t Room =
        (Before ? roomBeyond(*Before, Side::Before, MaxDepth) : 0) +
        (After ? roomBeyond(*After, Side::After, MaxDepth) : 0);
    // Changes that do not cover the hole in the end would only cost memory.
    if (Room < Missing)
      return m_Orders;
    if (Before)
      makeRoom(*Before, Side::Before, Missing, MaxDepth);
    if (After)
      makeRoom(*After, Side::After, Missing, MaxDepth);
    return m_Orders;
  }
  // In proportion to the free memory, so that neither runs out of it first.
  std::uint32_t CountBefore =
      std::min(FreeBefore, Needed * FreeBefore / (FreeBefore + FreeAfter));
  CountBefore = std::max(CountBefore, Needed - std::min(Needed, FreeAfter));
  if (Before)
    extend(*Before, Side::After, CountBefore);
  if (After)
    extend(*After, Side::Before, Needed - CountBefore);
  return m_Orders;
}

} // namespace parsleyring
