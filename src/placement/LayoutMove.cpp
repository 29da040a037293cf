#include "placement/LayoutMove.h"

#include "placement/LayoutQuality.h"

#include <algorithm>

namespace parsleyring {

// Least factor by which a longer or shorter range must raise the usable memory.
static constexpr double LeastResizeGain = 1.15;
// A card that moves to a range without its former layers serves nothing until
// its requests have ended and it has loaded the layers, about 8 s. So a move
// has to gain more, and the other cards must keep this part of the usable
// memory meanwhile.
static constexpr double LeastMoveGain = 1.4;
static constexpr double LeastLeftByMove = 0.85;
// Number of moves whose effect on the usable memory is computed, which is the
// most expensive step.
static constexpr std::size_t ComparedMoves = 8;
// The utility is negative; a move made to cover a layer without a holder must
// bring it closer to zero than this fraction of the present value.
static constexpr double CoveringMoveShare = 0.95;

LayoutMove::LayoutMove(const EngineModel &Model,
                       std::vector<PlacementCard> &Cards)
    : m_Model(Model), m_Cards(Cards), m_Memory(Model, Cards),
      m_Usable(LayoutQuality::usableMemory(Model, Cards)) {}

double LayoutMove::usableWith(PlacementCard &Card, LayerRange Layers) {
  const LayerRange Held = Card.m_Layers;
  Card.m_Layers = Layers;
  double Usable = LayoutQuality::usableMemory(m_Model, m_Cards);
  Card.m_Layers = Held;
  return Usable;
}

// Ranges that the card could change to: longer and shorter ones, for which the
// card need not stop serving, and the most useful range if the other cards can
// do without the card.
std::vector<LayerRange> LayoutMove::otherRanges(PlacementCard &Card) {
  const LayerRange Held = Card.m_Layers;
  const std::uint32_t Length = Held.m_End - Held.m_First;
  std::vector<LayerRange> Ranges;
  for (std::uint32_t Count : {1U, 2U, 4U, 8U, 16U}) {
    if (Length + Count <= LayerMemory::maxLayers(m_Model, Card)) {
      if (Held.m_First >= Count)
        Ranges.push_back({Held.m_First - Count, Held.m_End});
      if (Held.m_End + Count <= m_Model.m_Layers)
        Ranges.push_back({Held.m_First, Held.m_End + Count});
    }
    if (Length <= Count)
      continue;
    if (m_Memory.isSpare({Held.m_First, Held.m_First + Count}))
      Ranges.push_back({Held.m_First + Count, Held.m_End});
    if (m_Memory.isSpare({Held.m_End - Count, Held.m_End}))
      Ranges.push_back({Held.m_First, Held.m_End - Count});
  }
  if (m_Memory.isSpare(Held) &&
      usableWith(Card, {}) >= m_Usable * LeastLeftByMove) {
    m_Memory.remove(Card, Held);
    Ranges.push_back(m_Memory.mostUsefulRange(Card));
    m_Memory.add(Card, Held);
  }
  return Ranges;
}

std::vector<LayoutMove::Move> LayoutMove::promisingMoves() {
  std::vector<Move> Moves;
  const double Utility = m_Memory.utility();
  for (PlacementCard &Card : m_Cards) {
    if (Card.isEmpty())
      continue;
    for (const LayerRange &Range : otherRanges(Card)) {
      LayerMemory Changed = m_Memory;
      Changed.remove(Card, Card.m_Layers);
      Changed.add(Card, Range);
      if (Changed.utility() > Utility)
        Moves.push_back({Changed.utility(), &Card, Range});
    }
  }
  std::stable_sort(Moves.begin(), Moves.end(),
                   [](const Move &Left, const Move &Right) {
                     return Left.m_Utility > Right.m_Utility;
                   });
  if (Moves.size() > ComparedMoves)
    Moves.resize(ComparedMoves);
  return Moves;
}

std::optional<PlacementOrder> LayoutMove::find() {
  // The usable memory cannot exceed the mean, so no move could gain enough.
  if (m_Usable * LeastResizeGain >= m_Memory.mean())
    return std::nullopt;
  const std::vector<Move> Moves = promisingMoves();
  const Move *Best = nullptr;
  double Most = m_Usable;
  for (const Move &Each : Moves) {
    const LayerRange &Held = Each.m_Card->m_Layers;
    double Usable = usableWith(*Each.m_Card, Each.m_Layers);
    bool IsResize = Each.m_Layers.m_First < Held.m_End &&
                    Held.m_First < Each.m_Layers.m_End;
    double Least = m_Usable * (IsResize ? LeastResizeGain : LeastMoveGain);
    if (Usable > Most && Usable >= Least) {
      Most = Usable;
      Best = &Each;
    }
  }
  // Covering a layer without a holder can take several moves, of which only the
  // last one raises the usable memory.
  if (!Best && m_Memory.hasUncoveredLayer() && !Moves.empty() &&
      Moves.front().m_Utility > m_Memory.utility() * CoveringMoveShare)
    Best = &Moves.front();
  if (!Best)
    return std::nullopt;
  return PlacementOrder{Best->m_Card->m_Endpoint, Best->m_Layers};
}

} // namespace parsleyring
