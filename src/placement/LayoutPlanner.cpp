#include "placement/LayoutPlanner.h"

#include "placement/LayoutMove.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace parsleyring {

// Fraction of the memory of a group of cards that is left for requests. Memory
// runs out before compute: with more copies the engines would reject requests
// while they are mostly idle.
static constexpr double RequestMemoryShare = 0.45;
// A second copy takes over when an engine of the first one fails, so it is kept
// even if only this smaller fraction is left for requests.
static constexpr std::uint32_t LeastCopies = 2;
static constexpr double LeastRequestMemoryShare = 0.15;
// Memory of a chain relative to the memory that its layers take. The fastest
// chain gets the first factor if the other chains are left with at least the
// second one, which covers the layers and a little memory for requests.
static constexpr double ChainMemoryFactor = 1.3;
static constexpr double LeastChainMemoryFactor = 1.06;
namespace {

/// Plans the layers of the cards of a group of failure domains that together
/// hold whole copies.
class GroupPlan {
public:
  GroupPlan(const EngineModel &Model, std::vector<PlacementCard> Cards)
      : m_Model(Model), m_Cards(std::move(Cards)) {
    for (const PlacementCard &Card : m_Cards)
      m_Memory += Card.m_MemoryMegabytes;
  }

  std::vector<PlacementOrder> plan();

private:
  std::uint32_t copies() const;
  void planChains();
  void planChain(std::vector<PlacementCard *> &Chain);
  void coverAllLayers();
  void order(PlacementCard &Card, LayerRange Layers);

  const EngineModel &m_Model;
  std::vector<PlacementCard> m_Cards;
  double m_Memory = 0; ///< Of all cards, in megabytes.
  std::vector<PlacementOrder> m_Orders;
};

} // namespace

std::uint32_t GroupPlan::copies() const {
  double Copy = m_Model.m_LayerMegabytes * m_Model.m_Layers;
  auto Fitting = [&](double RequestShare) {
    return static_cast<std::uint32_t>(m_Memory * (1 - RequestShare) / Copy);
  };
  std::uint32_t Least = std::min(LeastCopies, Fitting(LeastRequestMemoryShare));
  return std::max({1u, Least, Fitting(RequestMemoryShare)});
}

void GroupPlan::order(PlacementCard &Card, LayerRange Layers) {
  Card.m_Layers = Layers;
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
void GroupPlan::planChains() {
  std::vector<PlacementCard *> Fastest;
  for (PlacementCard &Card : m_Cards)
    Fastest.push_back(&Card);
  std::stable_sort(Fastest.begin(), Fastest.end(),
                   [](const PlacementCard *Left, const PlacementCard *Right) {
                     if (Left->m_StepFactor != Right->m_StepFactor)
                       return Left->m_StepFactor < Right->m_StepFactor;
                     return Left->m_MemoryMegabytes > Right->m_MemoryMegabytes;
                   });
  const double Copy = m_Model.m_LayerMegabytes * m_Model.m_Layers;
  const double Enough = std::max(Copy * ChainMemoryFactor, m_Memory / copies());
  double MemoryLeft = m_Memory;
  std::size_t Next = 0;
  for (std::uint32_t ChainsLeft = copies(); ChainsLeft > 0; --ChainsLeft) {
    std::vector<PlacementCard *> Chain;
    double ChainMemory = 0;
    while (Next < Fastest.size()) {
      const PlacementCard &Card = *Fastest[Next];
      double Others = (ChainsLeft - 1) * Copy * LeastChainMemoryFactor;
      bool HasEnough = ChainMemory >= Enough;
      bool LeavesEnough = MemoryLeft - Card.m_MemoryMegabytes >= Others;
      bool IsWhole = ChainMemory >= Copy * LeastChainMemoryFactor;
      if (ChainsLeft > 1 && (HasEnough || (IsWhole && !LeavesEnough)))
        break;
      ChainMemory += Card.m_MemoryMegabytes;
      MemoryLeft -= Card.m_MemoryMegabytes;
      Chain.push_back(Fastest[Next++]);
    }
    planChain(Chain);
  }
}

// Splits the layers in proportion to the memory of the cards, so that all cards
// run out of request memory at the same time.
void GroupPlan::planChain(std::vector<PlacementCard *> &Chain) {
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
    order(*Card, {First, First + Layers});
    First += Layers;
  }
}

// Assigns layers without a holder to the smallest card all of whose layers have
// another holder.
void GroupPlan::coverAllLayers() {
  for (std::size_t Round = 0; Round < m_Cards.size(); ++Round) {
    LayerMemory Memory(m_Model, m_Cards);
    if (!Memory.hasUncoveredLayer())
      return;
    PlacementCard *Spare = nullptr;
    for (PlacementCard &Card : m_Cards)
      if (Memory.isSpare(Card.m_Layers) &&
          (!Spare || Card.m_MemoryMegabytes < Spare->m_MemoryMegabytes))
        Spare = &Card;
    if (!Spare)
      return;
    Memory.remove(*Spare, Spare->m_Layers);
    order(*Spare, Memory.mostUsefulRange(*Spare));
  }
}

std::vector<PlacementOrder> GroupPlan::plan() {
  bool AreAllEmpty =
      std::all_of(m_Cards.begin(), m_Cards.end(),
                  [](const PlacementCard &Card) { return Card.isEmpty(); });
  if (AreAllEmpty)
    planChains();
  for (PlacementCard &Card : m_Cards)
    if (Card.isEmpty() && LayerMemory::maxLayers(m_Model, Card) > 0)
      order(Card, LayerMemory(m_Model, m_Cards).mostUsefulRange(Card));
  coverAllLayers();
  return m_Orders;
}

/// Groups the cards: one group for each failure domain that can hold a whole
/// copy, and one for all other failure domains together.
static std::vector<std::vector<PlacementCard>>
groups(const EngineModel &Model, const std::vector<PlacementCard> &Cards) {
  std::map<std::string, std::vector<PlacementCard>> Domains;
  for (const PlacementCard &Card : Cards)
    Domains[Card.m_FailureDomain].push_back(Card);
  double Copy = Model.m_LayerMegabytes * Model.m_Layers;
  std::vector<PlacementCard> Small;
  std::vector<std::vector<PlacementCard>> Result;
  for (auto &[Domain, Group] : Domains) {
    double Memory = 0;
    for (const PlacementCard &Card : Group)
      Memory += Card.m_MemoryMegabytes;
    if (Memory * (1 - LeastRequestMemoryShare) < Copy)
      Small.insert(Small.end(), Group.begin(), Group.end());
    else
      Result.push_back(std::move(Group));
  }
  if (!Small.empty())
    Result.push_back(std::move(Small));
  return Result;
}

std::vector<PlacementOrder>
LayoutPlanner::plan(const EngineModel &Model,
                    const std::vector<PlacementCard> &Cards) {
  std::vector<PlacementOrder> Orders;
  for (auto &Group : groups(Model, Cards))
    for (PlacementOrder &Order : GroupPlan(Model, std::move(Group)).plan())
      Orders.push_back(std::move(Order));
  return Orders;
}

std::vector<PlacementOrder>
LayoutPlanner::planMoves(const EngineModel &Model,
                         const std::vector<PlacementCard> &Cards) {
  std::vector<PlacementOrder> Orders;
  for (auto &Group : groups(Model, Cards))
    if (auto Order = LayoutMove(Model, Group).find())
      Orders.push_back(std::move(*Order));
  return Orders;
}

} // namespace parsleyring
