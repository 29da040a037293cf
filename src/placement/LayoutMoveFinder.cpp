#include "placement/LayoutMoveFinder.h"

#include "placement/LayoutQuality.h"

#include <algorithm>

namespace parsleyring {

// Least factor by which a longer or shorter range must raise the usable memory.
static constexpr double MinResizeGain = 1.15;
// A card that moves to a range without its former layers serves nothing until
// its requests have ended and it has loaded the layers, about 8 s. So a move
// has to gain more, and the other cards must keep this part of the usable
// memory meanwhile.
static constexpr double MinMoveGain = 1.4;
static constexpr double MinUsableFractionDuringMove = 0.85;
// Number of moves whose effect on the usable memory is computed, which is the
// most expensive step.
static constexpr std::size_t MaxEvaluatedMoves = 8;
// The utility is negative; a move made to cover a layer without a holder must
// bring it closer to zero than this fraction of the present value.
static constexpr double MaxCoveringUtilityFraction = 0.95;

LayoutMoveFinder::LayoutMoveFinder(const EngineModel &Model,
                                   std::vector<PlacementCard> &Cards)
    : m_Model(Model), m_Cards(Cards), m_Memory(Model, Cards),
      m_UsableMegabytes(LayoutQuality::usableMemory(Model, Cards)) {}

double LayoutMoveFinder::usableMemoryWith(PlacementCard &Card,
                                          LayerRange Layers) {
  const LayerRange CurrentRange = Card.m_Layers;
  Card.m_Layers = Layers;
  double Usable = LayoutQuality::usableMemory(m_Model, m_Cards);
  Card.m_Layers = CurrentRange;
  return Usable;
}

// Ranges that the card could change to: longer and shorter ones, for which the
// card need not stop serving, and the most useful range if the other cards can
// do without the card.
std::vector<LayerRange> LayoutMoveFinder::candidateRanges(PlacementCard &Card) {
  const LayerRange CurrentRange = Card.m_Layers;
  const std::uint32_t Length = CurrentRange.m_End - CurrentRange.m_First;
  std::vector<LayerRange> Ranges;
  for (std::uint32_t Count : {1U, 2U, 4U, 8U, 16U}) {
    if (Length + Count <= LayerMemory::maxLayers(m_Model, Card)) {
      if (CurrentRange.m_First >= Count)
        Ranges.push_back({CurrentRange.m_First - Count, CurrentRange.m_End});
      if (CurrentRange.m_End + Count <= m_Model.m_Layers)
        Ranges.push_back({CurrentRange.m_First, CurrentRange.m_End + Count});
    }
    // A card may hold redundant layers since it makes room for one that is to
    // cover a hole.
    if (Length <= Count || m_Memory.hasUncoveredLayer())
      continue;
    if (m_Memory.isRedundant(
            {CurrentRange.m_First, CurrentRange.m_First + Count}))
      Ranges.push_back({CurrentRange.m_First + Count, CurrentRange.m_End});
    if (m_Memory.isRedundant({CurrentRange.m_End - Count, CurrentRange.m_End}))
      Ranges.push_back({CurrentRange.m_First, CurrentRange.m_End - Count});
  }
  if (m_Memory.isRedundant(CurrentRange) &&
      usableMemoryWith(Card, {}) >=
          m_UsableMegabytes * MinUsableFractionDuringMove) {
    m_Memory.remove(Card, CurrentRange);
    Ranges.push_back(m_Memory.mostUsefulRange(Card));
    m_Memory.add(Card, CurrentRange);
  }
  return Ranges;
}

// True if the move would lower the number of requests that paths can serve, as
// a card offers its slots to paths only while it holds the first layer.
bool LayoutMoveFinder::takesNeededSlots(PlacementCard &Card,
                                        LayerRange Layers) {
  if (!Card.holdsFirstLayer() || Layers.m_First == 0 || Card.m_Slots == 0)
    return false;
  const LayerRange CurrentRange = Card.m_Layers;
  const double Before = LayoutQuality::servableRequests(m_Model, m_Cards);
  Card.m_Layers = Layers;
  const double After = LayoutQuality::servableRequests(m_Model, m_Cards);
  Card.m_Layers = CurrentRange;
  return After < Before;
}

std::vector<LayoutMoveFinder::Move> LayoutMoveFinder::candidateMoves() {
  std::vector<Move> Moves;
  const double Utility = m_Memory.utility();
  for (PlacementCard &Card : m_Cards) {
    if (Card.isEmpty() || Card.m_IsBusy)
      continue;
    for (const LayerRange &Range : candidateRanges(Card)) {
      LayerMemory Changed = m_Memory;
      Changed.remove(Card, Card.m_Layers);
      Changed.add(Card, Range);
      bool KeepsFirstLayers =
          Range.m_First == 0 ||
          !LayoutQuality::needsFirstLayers(m_Model, m_Cards, Card);
      if (KeepsFirstLayers && Changed.utility() > Utility)
        Moves.push_back({Changed.utility(), &Card, Range});
    }
  }
  std::stable_sort(Moves.begin(), Moves.end(),
                   [](const Move &Left, const Move &Right) {
                     return Left.m_Utility > Right.m_Utility;
                   });
  if (Moves.size() > MaxEvaluatedMoves)
    Moves.resize(MaxEvaluatedMoves);
  return Moves;
}

std::optional<PlacementOrder> LayoutMoveFinder::find() {
  // The usable memory cannot exceed the mean, so no move could gain enough.
  if (m_UsableMegabytes * MinResizeGain >= m_Memory.mean())
    return std::nullopt;
  const std::vector<Move> Moves = candidateMoves();
  const Move *Best = nullptr;
  double BestUsable = m_UsableMegabytes;
  for (const Move &Candidate : Moves) {
    const LayerRange &CurrentRange = Candidate.m_Card->m_Layers;
    if (takesNeededSlots(*Candidate.m_Card, Candidate.m_Layers))
      continue;
    double Usable = usableMemoryWith(*Candidate.m_Card, Candidate.m_Layers);
    bool IsResize = Candidate.m_Layers.m_First < CurrentRange.m_End &&
                    CurrentRange.m_First < Candidate.m_Layers.m_End;
    double MinUsable =
        m_UsableMegabytes * (IsResize ? MinResizeGain : MinMoveGain);
    if (Usable > BestUsable && Usable >= MinUsable) {
      BestUsable = Usable;
      Best = &Candidate;
    }
  }
  // Covering a layer without a holder can take several moves, of which only the
  // last one raises the usable memory.
  if (!Best && m_Memory.hasUncoveredLayer() && !Moves.empty() &&
      Moves.front().m_Utility > m_Memory.utility() * MaxCoveringUtilityFraction)
    Best = &Moves.front();
  if (!Best)
    return std::nullopt;
  return PlacementOrder{Best->m_Card->m_Endpoint, Best->m_Layers};
}

} // namespace parsleyring
