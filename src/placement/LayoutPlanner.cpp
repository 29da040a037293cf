#include "placement/LayoutPlanner.h"

#include "placement/HoleFiller.h"
#include "placement/LayoutMoveFinder.h"

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
namespace {

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

// Splits the layers in proportion to the memory of the cards, so that all cards
// run out of request memory at the same time.
void DomainGroupPlanner::planChain(std::vector<PlacementCard *> &Chain) {
  double Left = 0;
  for (const PlacementCard *Card : Chain)
    Left += Card->m_MemoryMegabytes;
  std::uint32_t First = 0;
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

// Returns true if cards next to each hole are changing, so that it may be
// covered soon.
bool DomainGroupPlanner::extendNeighbours() {
  const std::vector<LayerRange> Holes =
      LayerMemory(m_Model, m_Cards).uncoveredRanges();
  bool AreAllChanging = true;
  for (LayerRange Hole : Holes) {
    std::vector<PlacementOrder> Orders =
        HoleFiller(m_Model, m_Cards).fill(Hole);
    bool IsNextToBusyCard = std::any_of(
        m_Cards.begin(), m_Cards.end(), [Hole](const PlacementCard &Card) {
          return Card.m_IsBusy && (Card.m_Layers.m_End == Hole.m_First ||
                                   Card.m_Layers.m_First == Hole.m_End);
        });
    AreAllChanging &= IsNextToBusyCard || !Orders.empty();
    m_Orders.insert(m_Orders.end(), Orders.begin(), Orders.end());
  }
  return AreAllChanging;
}

// Assigns layers without a holder to the smallest card all of whose layers have
// another holder.
void DomainGroupPlanner::coverAllLayers() {
  for (std::size_t Round = 0; Round < m_Cards.size(); ++Round) {
    LayerMemory Memory(m_Model, m_Cards);
    if (!Memory.hasUncoveredLayer())
      return;
    PlacementCard *SpareCard = nullptr;
    for (PlacementCard &Card : m_Cards)
      if (!Card.m_IsBusy && Memory.isRedundant(Card.m_Layers) &&
          (!SpareCard || Card.m_MemoryMegabytes < SpareCard->m_MemoryMegabytes))
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
      addOrder(Card, Memory.mostUsefulRange(Card));
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
