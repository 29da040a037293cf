#include "placement/LayoutPlanner.h"

#include "placement/HoleFiller.h"
#include "placement/LayoutMoveFinder.h"
#include "placement/LayoutQuality.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace parsleyring {

// Fraction of the memory of a group of cards that is left for requests. Memory
// runs out before compute: with more copies the engines would reject requests
// while they are mostly idle.
static constexpr double RequestMemoryFraction = 0.45;
// A second copy takes over when an engine of the first one fails, so it is kept
// even if only this smaller fraction is left for requests.
static constexpr std::uint32_t PreferredMinCopies = 2;
static constexpr double MinRequestMemoryFraction = 0.15;
// Memory of a chain relative to the memory that its layers take. The fastest
// chain gets the first factor if the other chains are left with at least the
// second one, which covers the layers and a little memory for requests.
static constexpr double PreferredChainMemoryFactor = 1.3;
static constexpr double MinChainMemoryFactor = 1.06;
// Cards of a chain that hold its first layers, if its slots require several.
// More than three were not needed for the slots of known engines.
static constexpr std::uint32_t MaxFirstCards = 3;
// Each of the cards with the first layers takes memory for a further copy of
// these, which is too much for a chain with fewer other cards.
static constexpr std::size_t MinOtherCards = 4;
namespace {

/// Several cards of a chain that hold the same first layers.
struct FirstLayers {
  std::uint32_t m_CardCount = 1; ///< With 1, the chain has no such cards.
  std::uint32_t m_End = 0;
};

/// Plans the layers of the cards of a group of failure domains that together
/// hold whole copies.
class DomainGroupPlanner {
public:
  DomainGroupPlanner(const EngineModel &Model, std::vector<PlacementCard> Cards)
      : m_Model(Model), m_Cards(std::move(Cards)) {
    for (const PlacementCard &Card : m_Cards)
      m_TotalMegabytes += Card.m_MemoryMegabytes;
  }

  std::vector<PlacementOrder> plan();

private:
  std::uint32_t copyCount() const;
  void planChains();
  void planChain(std::vector<PlacementCard *> &Chain);
  FirstLayers planFirstLayers(const std::vector<PlacementCard *> &Chain) const;
  LayerRange rangeForEmptyCard(const PlacementCard &Card);
  LayerRange firstRangeFor(const PlacementCard &Card) const;
  bool extendNeighbours();
  void coverAllLayers();
  void addOrder(PlacementCard &Card, LayerRange Layers);

  const EngineModel &m_Model;
  std::vector<PlacementCard> m_Cards;
  double m_TotalMegabytes = 0; ///< Of all cards, in megabytes.
  std::vector<PlacementOrder> m_Orders;
};

} // namespace

std::uint32_t DomainGroupPlanner::copyCount() const {
  double CopyMegabytes = m_Model.m_LayerMegabytes * m_Model.m_Layers;
  auto FittingCopies = [&](double RequestFraction) {
    return static_cast<std::uint32_t>(m_TotalMegabytes * (1 - RequestFraction) /
                                      CopyMegabytes);
  };
  std::uint32_t MinCopies =
      std::min(PreferredMinCopies, FittingCopies(MinRequestMemoryFraction));
  return std::max({1u, MinCopies, FittingCopies(RequestMemoryFraction)});
}

void DomainGroupPlanner::addOrder(PlacementCard &Card, LayerRange Layers) {
  Card.m_Layers = Layers;
  Card.m_IsBusy = true;
  for (PlacementOrder &Earlier : m_Orders)
    if (Earlier.m_Endpoint == Card.m_Endpoint) {
      Earlier.m_Layers = Layers;
      return;
    }
  m_Orders.push_back({Card.m_Endpoint, Layers});
}

// The fastest cards form the first chain. The time per event is the sum over
// the cards of a chain, so one slow card among fast ones slows all requests of
// the chain down and keeps their memory in use for longer.
void DomainGroupPlanner::planChains() {
  std::vector<PlacementCard *> CardsBySpeed;
  for (PlacementCard &Card : m_Cards)
    CardsBySpeed.push_back(&Card);
  std::stable_sort(CardsBySpeed.begin(), CardsBySpeed.end(),
                   [](const PlacementCard *Left, const PlacementCard *Right) {
                     if (Left->m_StepFactor != Right->m_StepFactor)
                       return Left->m_StepFactor < Right->m_StepFactor;
                     return Left->m_MemoryMegabytes > Right->m_MemoryMegabytes;
                   });
  const double CopyMegabytes = m_Model.m_LayerMegabytes * m_Model.m_Layers;
  const double PreferredChainMegabytes =
      std::max(CopyMegabytes * PreferredChainMemoryFactor,
               m_TotalMegabytes / copyCount());
  double MemoryLeft = m_TotalMegabytes;
  std::size_t Next = 0;
  for (std::uint32_t ChainsLeft = copyCount(); ChainsLeft > 0; --ChainsLeft) {
    std::vector<PlacementCard *> Chain;
    double ChainMemory = 0;
    while (Next < CardsBySpeed.size()) {
      const PlacementCard &Card = *CardsBySpeed[Next];
      double MinOtherChainsMegabytes =
          (ChainsLeft - 1) * CopyMegabytes * MinChainMemoryFactor;
      bool HasPreferredMemory = ChainMemory >= PreferredChainMegabytes;
      bool LeavesEnoughForOthers =
          MemoryLeft - Card.m_MemoryMegabytes >= MinOtherChainsMegabytes;
      bool HasMinMemory = ChainMemory >= CopyMegabytes * MinChainMemoryFactor;
      if (ChainsLeft > 1 &&
          (HasPreferredMemory || (HasMinMemory && !LeavesEnoughForOthers)))
        break;
      ChainMemory += Card.m_MemoryMegabytes;
      MemoryLeft -= Card.m_MemoryMegabytes;
      Chain.push_back(CardsBySpeed[Next++]);
    }
    planChain(Chain);
  }
}

// The last cards of a chain are the slowest and smallest. They hold the first
// layers, because each of them takes memory for a copy of its own, and since
// requests are divided between them, so is the time that they take.
FirstLayers DomainGroupPlanner::planFirstLayers(
    const std::vector<PlacementCard *> &Chain) const {
  FirstLayers Best;
  double OtherMegabytes = 0;
  for (const PlacementCard *Card : Chain)
    OtherMegabytes += Card->m_MemoryMegabytes;
  const double Requests = LayoutQuality::requestsInMemory(
      m_Model, OtherMegabytes - m_Model.m_LayerMegabytes * m_Model.m_Layers);
  // Without several first cards, the first card of the chain has the slots.
  double BestRequests = std::min<double>(Requests, Chain.front()->m_Slots);
  double Slots = 0;
  double FirstMegabytes = 0;
  std::uint32_t MaxEnd = m_Model.m_Layers - 1;
  for (std::uint32_t Count = 1;
       Count <= MaxFirstCards && Count + MinOtherCards <= Chain.size() &&
       Slots < Requests;
       ++Count) {
    const PlacementCard &Card = *Chain[Chain.size() - Count];
    if (Card.m_Slots == 0 || Chain.front()->m_Slots == 0)
      return {};
    Slots += Card.m_Slots;
    FirstMegabytes += Card.m_MemoryMegabytes;
    OtherMegabytes -= Card.m_MemoryMegabytes;
    MaxEnd = std::min(MaxEnd, LayerMemory::maxLayers(m_Model, Card));
    if (Count == 1)
      continue;
    // The end at which the first cards have as much memory for each layer as
    // the others.
    std::uint32_t EvenEnd = 0;
    double EvenMegabytes = 0;
    for (std::uint32_t End = 1; End <= MaxEnd; ++End) {
      double Megabytes = std::min(
          FirstMegabytes / End - Count * m_Model.m_LayerMegabytes,
          OtherMegabytes / (m_Model.m_Layers - End) - m_Model.m_LayerMegabytes);
      if (Megabytes <= EvenMegabytes)
        continue;
      EvenMegabytes = Megabytes;
      EvenEnd = End;
    }
    double Servable =
        std::min(Slots, LayoutQuality::requestsInMemory(
                            m_Model, EvenMegabytes * m_Model.m_Layers));
    if (Servable > BestRequests) {
      BestRequests = Servable;
      Best = {Count, EvenEnd};
    }
  }
  return Best;
}

// Splits the layers in proportion to the memory of the cards, so that all cards
// run out of request memory at the same time.
void DomainGroupPlanner::planChain(std::vector<PlacementCard *> &Chain) {
  if (Chain.empty())
    return;
  std::uint32_t First = 0;
  const FirstLayers Shared = planFirstLayers(Chain);
  if (Shared.m_CardCount > 1) {
    for (std::uint32_t Count = 0; Count < Shared.m_CardCount; ++Count) {
      addOrder(*Chain.back(), {0, Shared.m_End});
      Chain.pop_back();
    }
    First = Shared.m_End;
  }
  double Left = 0;
  for (const PlacementCard *Card : Chain)
    Left += Card->m_MemoryMegabytes;
  for (PlacementCard *Card : Chain) {
    std::uint32_t Remaining = m_Model.m_Layers - First;
    double Share = Remaining * Card->m_MemoryMegabytes / Left;
    auto Layers = static_cast<std::uint32_t>(std::lround(Share));
    Layers =
        std::min({Layers, LayerMemory::maxLayers(m_Model, *Card), Remaining});
    Left -= Card->m_MemoryMegabytes;
    if (Layers == 0)
      continue;
    addOrder(*Card, {First, First + Layers});
    First += Layers;
  }
}

// The first layers that the fewest cards hold, or as many of these as leave
// half of the memory of the Card for requests. Empty if the group is too small
// for several cards with the same first layers.
LayerRange DomainGroupPlanner::firstRangeFor(const PlacementCard &Card) const {
  std::map<std::uint32_t, int> HoldersByEnd;
  std::size_t OtherCards = 0;
  for (const PlacementCard &Holder : m_Cards) {
    if (Holder.holdsFirstLayer())
      ++HoldersByEnd[Holder.m_Layers.m_End];
    else if (!Holder.isEmpty())
      ++OtherCards;
  }
  if (HoldersByEnd.empty() || OtherCards < MinOtherCards)
    return {};
  auto Fewest = std::min_element(HoldersByEnd.begin(), HoldersByEnd.end(),
                                 [](const auto &Left, const auto &Right) {
                                   return Left.second < Right.second;
                                 });
  std::uint32_t MaxLayers = LayerMemory::maxLayers(m_Model, Card);
  if (Fewest->first <= MaxLayers)
    return {0, Fewest->first};
  return {0, static_cast<std::uint32_t>(Card.m_MemoryMegabytes / 2 /
                                        m_Model.m_LayerMegabytes)};
}

// Where the memory of the Card is most useful, unless paths can serve more
// requests with its slots.
LayerRange DomainGroupPlanner::rangeForEmptyCard(const PlacementCard &Card) {
  const LayerMemory Memory(m_Model, m_Cards);
  const LayerRange Useful = Memory.mostUsefulRange(Card);
  if (Card.m_Slots == 0 || Memory.hasUncoveredLayer())
    return Useful;
  const LayerRange First = firstRangeFor(Card);
  if (First.m_End == 0)
    return Useful;
  auto ServableWith = [&](LayerRange Layers) {
    std::vector<PlacementCard> Cards = m_Cards;
    for (PlacementCard &Other : Cards)
      if (Other.m_Endpoint == Card.m_Endpoint)
        Other.m_Layers = Layers;
    return LayoutQuality::servableRequests(m_Model, Cards);
  };
  return ServableWith(First) > ServableWith(Useful) ? First : Useful;
}

// Returns true if cards next to each hole are changing, so that it may be
// covered soon.
bool DomainGroupPlanner::extendNeighbours() {
  const std::vector<LayerRange> Holes =
      LayerMemory(m_Model, m_Cards).uncoveredRanges();
  bool AreAllChanging = true;
  for (LayerRange Hole : Holes) {
    HoleFiller Filler(m_Model, m_Cards);
    std::vector<PlacementOrder> Orders = Filler.fill(Hole);
    bool IsNextToBusyCard = std::any_of(
        m_Cards.begin(), m_Cards.end(), [Hole](const PlacementCard &Card) {
          return Card.m_IsBusy && (Card.m_Layers.m_End == Hole.m_First ||
                                   Card.m_Layers.m_First == Hole.m_End);
        });
    AreAllChanging &= IsNextToBusyCard || Filler.isWaiting() || !Orders.empty();
    m_Orders.insert(m_Orders.end(), Orders.begin(), Orders.end());
  }
  return AreAllChanging;
}

// Assigns layers without a holder to the smallest card all of whose layers have
// another holder. One of two cards with the first layers is taken last: with
// the loss of the other one, no path could begin in the failure domain.
void DomainGroupPlanner::coverAllLayers() {
  for (std::size_t Round = 0; Round < m_Cards.size(); ++Round) {
    LayerMemory Memory(m_Model, m_Cards);
    if (!Memory.hasUncoveredLayer())
      return;
    PlacementCard *SpareCard = nullptr;
    auto IsBetter = [&](const PlacementCard &Card) {
      if (!SpareCard)
        return true;
      bool IsNeeded = LayoutQuality::needsFirstLayers(m_Model, m_Cards, Card);
      bool IsSpareNeeded =
          LayoutQuality::needsFirstLayers(m_Model, m_Cards, *SpareCard);
      if (IsNeeded != IsSpareNeeded)
        return IsSpareNeeded;
      return Card.m_MemoryMegabytes < SpareCard->m_MemoryMegabytes;
    };
    for (PlacementCard &Card : m_Cards)
      if (!Card.m_IsBusy && Memory.isRedundant(Card.m_Layers) && IsBetter(Card))
        SpareCard = &Card;
    if (!SpareCard)
      return;
    Memory.remove(*SpareCard, SpareCard->m_Layers);
    addOrder(*SpareCard, Memory.mostUsefulRange(*SpareCard));
  }
}

std::vector<PlacementOrder> DomainGroupPlanner::plan() {
  bool AreAllEmpty =
      std::all_of(m_Cards.begin(), m_Cards.end(),
                  [](const PlacementCard &Card) { return Card.isEmpty(); });
  if (AreAllEmpty)
    planChains();
  for (PlacementCard &Card : m_Cards) {
    if (!Card.isEmpty() || Card.m_IsBusy ||
        LayerMemory::maxLayers(m_Model, Card) == 0)
      continue;
    LayerMemory Memory(m_Model, m_Cards);
    if (!Card.m_IsReserved || Memory.hasUncoveredLayer())
      addOrder(Card, rangeForEmptyCard(Card));
  }
  if (!extendNeighbours())
    coverAllLayers();
  return m_Orders;
}

/// Groups the cards: one group for each failure domain that can hold a whole
/// copy, and one for all other failure domains together.
static std::vector<std::vector<PlacementCard>>
groupCards(const EngineModel &Model, const std::vector<PlacementCard> &Cards) {
  std::map<std::string, std::vector<PlacementCard>> Domains;
  for (const PlacementCard &Card : Cards)
    Domains[Card.m_FailureDomain].push_back(Card);
  double CopyMegabytes = Model.m_LayerMegabytes * Model.m_Layers;
  std::vector<PlacementCard> SmallDomainCards;
  std::vector<std::vector<PlacementCard>> Result;
  for (auto &[Domain, Group] : Domains) {
    double Memory = 0;
    for (const PlacementCard &Card : Group)
      Memory += Card.m_MemoryMegabytes;
    if (Memory * (1 - MinRequestMemoryFraction) < CopyMegabytes)
      SmallDomainCards.insert(SmallDomainCards.end(), Group.begin(),
                              Group.end());
    else
      Result.push_back(std::move(Group));
  }
  if (!SmallDomainCards.empty())
    Result.push_back(std::move(SmallDomainCards));
  return Result;
}

std::vector<PlacementOrder>
LayoutPlanner::plan(const EngineModel &Model,
                    const std::vector<PlacementCard> &Cards) {
  std::vector<PlacementOrder> Orders;
  for (auto &Group : groupCards(Model, Cards))
    for (PlacementOrder &Order :
         DomainGroupPlanner(Model, std::move(Group)).plan())
      Orders.push_back(std::move(Order));
  return Orders;
}

std::vector<PlacementOrder>
LayoutPlanner::planMoves(const EngineModel &Model,
                         const std::vector<PlacementCard> &Cards) {
  std::vector<PlacementOrder> Orders;
  for (auto &Group : groupCards(Model, Cards))
    if (auto Order = LayoutMoveFinder(Model, Group).find())
      Orders.push_back(std::move(*Order));
  return Orders;
}

} // namespace parsleyring
