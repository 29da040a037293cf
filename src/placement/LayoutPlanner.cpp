#include "placement/LayoutPlanner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace parsleyring {

// Share of the memory of a failure domain that is left for requests. Memory
// binds before arithmetic: with more copies the engines would reject requests
// while they have little to do.
static constexpr double RequestMemoryShare = 0.45;
// A second copy, which takes over when an engine of the first one fails, is
// worth more of the memory.
static constexpr std::uint32_t LeastCopies = 2;
static constexpr double LeastRequestMemoryShare = 0.15;
// Memory of a chain against that of its layers. The fastest chain gets it if
// the others are left with their layers and a little memory for requests.
static constexpr double ChainMemoryFactor = 1.3;
static constexpr double LeastChainMemoryFactor = 1.06;
// No card is filled further with layers, so that it can keep some requests.
static constexpr double MaxLayerShare = 0.9;

namespace {

/// The cards of a group of failure domains that hold whole copies together.
class GroupPlan {
public:
  GroupPlan(const EngineModel &Model, std::vector<PlacementCard> Cards)
      : m_Model(Model), m_Cards(std::move(Cards)) {}

  std::vector<PlacementOrder> plan();

private:
  double memory() const;
  std::uint32_t copies() const;
  std::uint32_t maxLayers(const PlacementCard &Card) const;
  std::vector<int> coverage() const;
  void planChains();
  void planChain(std::vector<PlacementCard *> &Chain);
  void fillCard(PlacementCard &Card);
  void closeHoles();
  void order(PlacementCard &Card, LayerRange Layers);

  const EngineModel &m_Model;
  std::vector<PlacementCard> m_Cards;
  std::vector<PlacementOrder> m_Orders;
};

} // namespace

double GroupPlan::memory() const {
  double Sum = 0;
  for (const PlacementCard &Card : m_Cards)
    Sum += Card.m_MemoryMegabytes;
  return Sum;
}

std::uint32_t GroupPlan::copies() const {
  double Copy = m_Model.m_LayerMegabytes * m_Model.m_Layers;
  auto Fitting = [&](double RequestShare) {
    return static_cast<std::uint32_t>(memory() * (1 - RequestShare) / Copy);
  };
  std::uint32_t Least = std::min(LeastCopies, Fitting(LeastRequestMemoryShare));
  return std::max({1u, Least, Fitting(RequestMemoryShare)});
}

std::uint32_t GroupPlan::maxLayers(const PlacementCard &Card) const {
  double Layers =
      Card.m_MemoryMegabytes * MaxLayerShare / m_Model.m_LayerMegabytes;
  return std::min(m_Model.m_Layers, static_cast<std::uint32_t>(Layers));
}

std::vector<int> GroupPlan::coverage() const {
  std::vector<int> Holders(m_Model.m_Layers);
  for (const PlacementCard &Card : m_Cards)
    for (std::uint32_t Layer = Card.m_Layers.m_First;
         Layer < Card.m_Layers.m_End && Layer < m_Model.m_Layers; ++Layer)
      ++Holders[Layer];
  return Holders;
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

// The fastest cards form the first chain. The time of an event is the sum over
// the cards of a chain, so one slow card among fast ones slows all requests of
// its chain down, and keeps their memory in use for longer.
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
  const double Enough = std::max(Copy * ChainMemoryFactor, memory() / copies());
  double MemoryLeft = memory();
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

// Splits the layers in proportion to the memory of the cards, so that all run
// out of memory for requests at the same time.
void GroupPlan::planChain(std::vector<PlacementCard *> &Chain) {
  double Left = 0;
  for (const PlacementCard *Card : Chain)
    Left += Card->m_MemoryMegabytes;
  std::uint32_t First = 0;
  for (PlacementCard *Card : Chain) {
    std::uint32_t Remaining = m_Model.m_Layers - First;
    double Share = Remaining * Card->m_MemoryMegabytes / Left;
    auto Layers = static_cast<std::uint32_t>(std::lround(Share));
    Layers = std::min({Layers, maxLayers(*Card), Remaining});
    Left -= Card->m_MemoryMegabytes;
    if (Layers == 0)
      continue;
    order(*Card, {First, First + Layers});
    First += Layers;
  }
}

// Takes the range whose layers have the fewest holders.
void GroupPlan::fillCard(PlacementCard &Card) {
  std::vector<int> Holders = coverage();
  double Share = Card.m_MemoryMegabytes * copies() / memory();
  auto Length =
      static_cast<std::uint32_t>(std::lround(Share * m_Model.m_Layers));
  std::uint32_t Limit = maxLayers(Card);
  Length = std::clamp(Length, 1u, std::max(1u, Limit));
  // As many layers as lack a holder side by side, if the card can take them.
  int Fewest = *std::min_element(Holders.begin(), Holders.end());
  std::uint32_t LongestRun = 0;
  for (std::uint32_t Layer = 0, Run = 0; Layer < m_Model.m_Layers; ++Layer) {
    Run = Holders[Layer] == Fewest ? Run + 1 : 0;
    LongestRun = std::max(LongestRun, Run);
  }
  if (Fewest < static_cast<int>(copies()) && LongestRun > Length)
    Length = std::min(LongestRun, Limit);
  if (Length == 0)
    return;
  double BestNeed = -1;
  std::uint32_t BestFirst = 0;
  for (std::uint32_t First = 0; First + Length <= m_Model.m_Layers; ++First) {
    double Need = 0;
    for (std::uint32_t Layer = First; Layer < First + Length; ++Layer)
      Need += 1 / std::pow(1 + Holders[Layer], 4);
    if (Need > BestNeed + 1e-9) {
      BestNeed = Need;
      BestFirst = First;
    }
  }
  order(Card, {BestFirst, BestFirst + Length});
}

// A layer that nobody in the group holds is given to the smallest card all of
// whose layers have another holder.
void GroupPlan::closeHoles() {
  for (std::size_t Round = 0; Round < m_Cards.size(); ++Round) {
    std::vector<int> Holders = coverage();
    if (std::find(Holders.begin(), Holders.end(), 0) == Holders.end())
      return;
    PlacementCard *Spare = nullptr;
    for (PlacementCard &Card : m_Cards) {
      bool IsSpare = !Card.isEmpty();
      for (std::uint32_t Layer = Card.m_Layers.m_First;
           Layer < Card.m_Layers.m_End; ++Layer)
        IsSpare = IsSpare && Holders[Layer] > 1;
      if (IsSpare &&
          (!Spare || Card.m_MemoryMegabytes < Spare->m_MemoryMegabytes))
        Spare = &Card;
    }
    if (!Spare)
      return;
    Spare->m_Layers = {};
    fillCard(*Spare);
  }
}

std::vector<PlacementOrder> GroupPlan::plan() {
  bool AreAllEmpty =
      std::all_of(m_Cards.begin(), m_Cards.end(),
                  [](const PlacementCard &Card) { return Card.isEmpty(); });
  if (AreAllEmpty)
    planChains();
  for (PlacementCard &Card : m_Cards)
    if (Card.isEmpty())
      fillCard(Card);
  closeHoles();
  return m_Orders;
}

std::vector<PlacementOrder>
LayoutPlanner::plan(const EngineModel &Model,
                    const std::vector<PlacementCard> &Cards) {
  std::map<std::string, std::vector<PlacementCard>> Domains;
  for (const PlacementCard &Card : Cards)
    Domains[Card.m_FailureDomain].push_back(Card);
  double Copy = Model.m_LayerMegabytes * Model.m_Layers;
  std::vector<PlacementCard> Small;
  std::vector<PlacementOrder> Orders;
  auto PlanGroup = [&](std::vector<PlacementCard> Group) {
    for (PlacementOrder &Order : GroupPlan(Model, std::move(Group)).plan())
      Orders.push_back(std::move(Order));
  };
  for (auto &[Domain, Group] : Domains) {
    double Memory = 0;
    for (const PlacementCard &Card : Group)
      Memory += Card.m_MemoryMegabytes;
    // Failure domains that are too small for a copy hold one together.
    if (Memory * (1 - LeastRequestMemoryShare) < Copy)
      Small.insert(Small.end(), Group.begin(), Group.end());
    else
      PlanGroup(std::move(Group));
  }
  if (!Small.empty())
    PlanGroup(std::move(Small));
  return Orders;
}

} // namespace parsleyring
