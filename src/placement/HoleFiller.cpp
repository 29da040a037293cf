#include "placement/HoleFiller.h"

#include <algorithm>
#include <optional>

namespace parsleyring {

// Part of a card's memory that stays free for requests when it extends. The
// smaller one is used for holes that cannot be covered otherwise: without the
// layers, no path in the failure domain can use any memory.
static constexpr double PreferredRequestMemoryFraction = 0.15;
static constexpr double MinRequestMemoryFraction = 0.1;
// Number of cards along a chain that may have to change for one hole.
static constexpr int MaxDepth = 4;
// Number of cards on each side of a hole that are considered to cover it.
static constexpr std::size_t MaxCandidates = 8;

HoleFiller::HoleFiller(const EngineModel &Model,
                       std::vector<PlacementCard> &Cards)
    : m_Model(Model), m_Cards(Cards) {}

static std::uint32_t count(LayerRange Layers) {
  return Layers.m_End - Layers.m_First;
}

// The cards whose layers end (Before) or begin (After) at Boundary and that can
// take orders.
std::vector<PlacementCard *> HoleFiller::neighbours(std::uint32_t Boundary,
                                                    Side Where) const {
  std::vector<PlacementCard *> Result;
  for (PlacementCard &Card : m_Cards) {
    std::uint32_t Limit =
        Where == Side::Before ? Card.m_Layers.m_End : Card.m_Layers.m_First;
    if (!Card.isEmpty() && !Card.m_IsBusy && Limit == Boundary)
      Result.push_back(&Card);
  }
  return Result;
}

// The card with most room that can take orders and holds the layers next to the
// FarSide of Card. Its range may overlap with that of Card.
PlacementCard *HoleFiller::nextCard(const PlacementCard &Card,
                                    Side FarSide) const {
  PlacementCard *Best = nullptr;
  for (PlacementCard &Other : m_Cards) {
    if (&Other == &Card || Other.isEmpty() || Other.m_IsBusy)
      continue;
    const LayerRange &Own = Card.m_Layers;
    const LayerRange &Next = Other.m_Layers;
    bool IsNext = FarSide == Side::Before
                      ? Next.m_First < Own.m_First &&
                            Own.m_First <= Next.m_End && Next.m_End < Own.m_End
                      : Next.m_End > Own.m_End && Next.m_First <= Own.m_End &&
                            Own.m_First < Next.m_First;
    if (IsNext &&
        (!Best || freeLayers(Other, FarSide) > freeLayers(*Best, FarSide)))
      Best = &Other;
  }
  return Best;
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
  double Most = Card.m_MemoryMegabytes * (1 - m_RequestMemoryFraction) /
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
  PlacementCard *Next = nextCard(Card, FarSide);
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
  PlacementCard *Next = nextCard(Card, FarSide);
  if (!Next || Depth == 0)
    return;
  std::uint32_t Free = freeLayers(*Next, FarSide);
  if (Free == 0) {
    makeRoom(*Next, FarSide, Count, Depth - 1);
    return;
  }
  extend(*Next, Towards, std::min({Free, Count, count(Card.m_Layers) - 1}));
}

// The settled cards that can cover layers from Boundary on, nearest first, also
// those whose layers end (Before) or begin (After) at some distance from it.
// These load the layers in between as well.
std::vector<HoleFiller::Candidate>
HoleFiller::candidates(std::uint32_t Boundary, Side Where) const {
  std::vector<Candidate> Result;
  for (PlacementCard &Card : m_Cards) {
    if (Card.isEmpty() || Card.m_IsBusy)
      continue;
    const LayerRange &Own = Card.m_Layers;
    if (Where == Side::Before ? Own.m_End > Boundary : Own.m_First < Boundary)
      continue;
    std::uint32_t Distance =
        Where == Side::Before ? Boundary - Own.m_End : Own.m_First - Boundary;
    std::uint32_t Free = freeLayers(Card, Where);
    if (Free > Distance)
      Result.push_back({&Card, Distance, Free - Distance, mostLayers(Card)});
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.m_Distance < Right.m_Distance;
                   });
  if (Result.size() > MaxCandidates)
    Result.resize(MaxCandidates);
  Result.emplace_back();
  return Result;
}

// Extends one card or two of them. An engine loads all layers of its new range,
// so the smallest range is loaded first. Of equal ones, that is chosen which
// leaves most memory.
bool HoleFiller::extendNeighbours(LayerRange Hole) {
  struct Extension {
    Candidate m_Before;
    Candidate m_After;
    std::uint32_t m_CountBefore = 0;
    std::uint32_t m_LoadedLayers = 0;
    std::uint32_t m_FreeLayers = 0;
  };
  const std::uint32_t Needed = count(Hole);
  auto LoadedLayers = [](const Candidate &Extended, std::uint32_t Count) {
    return Count == 0 ? 0
                      : std::min(Extended.m_MostLayers,
                                 count(Extended.m_Card->m_Layers) +
                                     Extended.m_Distance + Count);
  };
  std::optional<Extension> Best;
  const auto AfterCards = candidates(Hole.m_End, Side::After);
  for (const Candidate &Before : candidates(Hole.m_First, Side::Before))
    for (const Candidate &After : AfterCards) {
      if (Before.m_FreeLayers + After.m_FreeLayers < Needed)
        continue;
      for (std::uint32_t Count = Needed - std::min(Needed, After.m_FreeLayers);
           Count <= std::min(Before.m_FreeLayers, Needed); ++Count) {
        Extension Next{Before, After, Count, 0, m_Model.m_Layers};
        Next.m_LoadedLayers = std::max(LoadedLayers(Before, Count),
                                       LoadedLayers(After, Needed - Count));
        if (Count > 0)
          Next.m_FreeLayers = Before.m_FreeLayers - Count;
        if (Count < Needed)
          Next.m_FreeLayers = std::min(Next.m_FreeLayers,
                                       After.m_FreeLayers - (Needed - Count));
        if (!Best || Next.m_LoadedLayers < Best->m_LoadedLayers ||
            (Next.m_LoadedLayers == Best->m_LoadedLayers &&
             Next.m_FreeLayers > Best->m_FreeLayers))
          Best = Next;
      }
    }
  if (!Best)
    return false;
  const std::uint32_t CountAfter = Needed - Best->m_CountBefore;
  if (Best->m_CountBefore > 0)
    extend(*Best->m_Before.m_Card, Side::After,
           Best->m_Before.m_Distance + Best->m_CountBefore);
  if (CountAfter > 0)
    extend(*Best->m_After.m_Card, Side::Before,
           Best->m_After.m_Distance + CountAfter);
  return true;
}

void HoleFiller::makeRoomFor(LayerRange Hole) {
  auto MostFree = [&](std::uint32_t Boundary, Side Where) {
    PlacementCard *Best = nullptr;
    for (PlacementCard *Card : neighbours(Boundary, Where))
      if (!Best || freeLayers(*Card, Where) > freeLayers(*Best, Where))
        Best = Card;
    return Best;
  };
  PlacementCard *Before = MostFree(Hole.m_First, Side::Before);
  PlacementCard *After = MostFree(Hole.m_End, Side::After);
  std::uint32_t Missing = count(Hole);
  std::uint32_t Possible = 0;
  auto Add = [&](const PlacementCard &Card, Side FarSide) {
    std::uint32_t Free = freeLayers(Card, FarSide);
    // The card keeps one of its layers at least.
    Possible += std::min(std::max(mostLayers(Card), 1U) - 1,
                         Free + roomBeyond(Card, FarSide, MaxDepth));
    Missing -= std::min(Missing, Free);
  };
  if (Before)
    Add(*Before, Side::Before);
  if (After)
    Add(*After, Side::After);
  // Changes that do not cover the hole in the end would only cost memory.
  if (Possible < count(Hole))
    return;
  if (Before)
    makeRoom(*Before, Side::Before, Missing, MaxDepth);
  if (After)
    makeRoom(*After, Side::After, Missing, MaxDepth);
}

// Number of layers that are loaded one after the other until the present orders
// cover the hole, if cards have made room for the others. Nothing if a further
// card would have to make room.
std::optional<std::uint32_t> HoleFiller::layersUntilCovered(LayerRange Hole) {
  auto MostLoaded = [this] {
    std::uint32_t Most = 0;
    for (const PlacementOrder &Order : m_Orders)
      Most = std::max(Most, count(Order.m_Layers));
    return Most;
  };
  const std::uint32_t First = MostLoaded();
  for (PlacementCard &Card : m_Cards)
    for (const PlacementOrder &Order : m_Orders)
      if (Card.m_Endpoint == Order.m_Endpoint)
        Card.m_IsBusy = false;
  m_Orders.clear();
  if (!extendNeighbours(Hole))
    return std::nullopt;
  return First + MostLoaded();
}

// As layersUntilCovered(), if nothing is ordered before the busy cards next to
// those that are to cover the hole have settled. Nothing if there are none.
std::optional<std::uint32_t> HoleFiller::layersAfterWaiting(LayerRange Hole) {
  std::vector<LayerRange> BusyRanges;
  for (PlacementCard &Card : m_Cards) {
    if (Card.m_IsBusy && !Card.isEmpty())
      BusyRanges.push_back(Card.m_Layers);
    Card.m_IsBusy = false;
  }
  if (BusyRanges.empty())
    return std::nullopt;
  m_Orders.clear();
  m_RequestMemoryFraction = PreferredRequestMemoryFraction;
  if (!extendNeighbours(Hole))
    return std::nullopt;
  std::uint32_t Loaded = 0;
  std::uint32_t Awaited = 0;
  for (const PlacementOrder &Order : m_Orders) {
    Loaded = std::max(Loaded, count(Order.m_Layers));
    for (LayerRange Busy : BusyRanges)
      if (Busy.m_First <= Order.m_Layers.m_End &&
          Order.m_Layers.m_First <= Busy.m_End)
        Awaited = std::max(Awaited, count(Busy));
  }
  if (Awaited == 0)
    return std::nullopt;
  return Loaded + Awaited;
}

std::vector<PlacementOrder> HoleFiller::fill(LayerRange Hole) {
  const std::vector<PlacementCard> Cards = m_Cards;
  const double Fractions[] = {PreferredRequestMemoryFraction,
                              MinRequestMemoryFraction};
  std::vector<PlacementCard> BestCards;
  std::vector<PlacementOrder> BestOrders;
  std::optional<std::uint32_t> BestLayers;
  for (double Fraction : Fractions) {
    m_RequestMemoryFraction = Fraction;
    for (bool MakesRoom : {false, true}) {
      m_Orders.clear();
      if (MakesRoom)
        makeRoomFor(Hole);
      else
        extendNeighbours(Hole);
      if (m_Orders.empty())
        continue;
      const std::vector<PlacementCard> ChangedCards = m_Cards;
      const std::vector<PlacementOrder> Orders = m_Orders;
      std::optional<std::uint32_t> Layers;
      if (MakesRoom) {
        Layers = layersUntilCovered(Hole);
      } else {
        Layers = 0;
        for (const PlacementOrder &Order : Orders)
          Layers = std::max(*Layers, count(Order.m_Layers));
      }
      m_Cards = Cards;
      bool IsBetter =
          Layers ? !BestLayers || *Layers < *BestLayers : BestOrders.empty();
      if (!IsBetter)
        continue;
      BestLayers = Layers;
      BestOrders = Orders;
      BestCards = ChangedCards;
    }
    // Less memory is left only if the hole cannot be covered otherwise.
    if (BestLayers)
      break;
  }
  const auto LayersAfterWaiting = layersAfterWaiting(Hole);
  m_Cards = Cards;
  // Without another way, a card with other layers covers the hole sooner.
  m_IsWaiting =
      LayersAfterWaiting && BestLayers && *LayersAfterWaiting < *BestLayers;
  if (m_IsWaiting)
    return {};
  if (!BestOrders.empty())
    m_Cards = BestCards;
  return BestOrders;
}

} // namespace parsleyring
