#include "placement/LayoutPlanner.h"

#include "placement/LayoutQuality.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

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
// Share of the mean memory for each layer below which a layer is as bad as one
// without a holder.
static constexpr double FloorShare = 0.02;
// Growing or shrinking a range has to add this much to the usable memory.
static constexpr double LeastResizeGain = 1.15;
// A card that changes to a range without its former layers serves nothing until
// its requests have ended and it has loaded, about 8 s. So it has to add more,
// and must not be missed meanwhile.
static constexpr double LeastMoveGain = 1.4;
static constexpr double LeastLeftByMove = 0.85;
// Moves whose effect on the usable memory is worked out, which takes longest.
static constexpr std::size_t ComparedMoves = 8;
// A move towards a hole takes at least this much of what it costs away.
static constexpr double HoleMoveShare = 0.95;
// No card is filled further with layers, so that it can keep some requests.
static constexpr double MaxLayerShare = 0.9;

namespace {

/// The cards of a group of failure domains that hold whole copies together.
class GroupPlan {
public:
  GroupPlan(const EngineModel &Model, std::vector<PlacementCard> Cards)
      : m_Model(Model), m_Cards(std::move(Cards)) {}

  std::vector<PlacementOrder> plan();
  /// The move of one card that helps most; empty if none is worth it.
  std::vector<PlacementOrder> planMove();

private:
  double memory() const;
  std::uint32_t copies() const;
  std::uint32_t maxLayers(const PlacementCard &Card) const;
  std::vector<int> coverage() const;
  std::vector<double> requestMemory() const;
  LayerRange neediestRange(const PlacementCard &Card) const;
  void planChains();
  void planChain(std::vector<PlacementCard *> &Chain);
  bool isSpare(const PlacementCard &Card, LayerRange Range) const;
  double worth(double Megabytes, int Holders) const;
  double totalWorth() const;
  std::vector<LayerRange> otherRanges(PlacementCard &Card);
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

// Megabytes for requests at each layer, if each card spreads its own evenly.
std::vector<double> GroupPlan::requestMemory() const {
  std::vector<double> Memory(m_Model.m_Layers);
  for (const PlacementCard &Card : m_Cards)
    for (std::uint32_t Layer = Card.m_Layers.m_First;
         Layer < Card.m_Layers.m_End && Layer < m_Model.m_Layers; ++Layer)
      Memory[Layer] +=
          LayoutQuality::memoryPerLayer(m_Model, Card, Card.m_Layers);
  return Memory;
}

// What the memory of a layer is worth. A path needs memory at every layer, so
// it is worth the more the less there is. What a single card holds is lost with
// it and counts less.
double GroupPlan::worth(double Megabytes, int Holders) const {
  double Share = 1 - 0.75 * std::pow(3, 1 - Holders);
  double Safe = Megabytes * Share + FloorShare * memory() / m_Model.m_Layers;
  return -1 / (Safe * Safe);
}

double GroupPlan::totalWorth() const {
  const std::vector<double> Memory = requestMemory();
  const std::vector<int> Holders = coverage();
  double Sum = 0;
  for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer)
    Sum += worth(Memory[Layer], Holders[Layer]);
  return Sum;
}

// The range at which the card's memory is worth most.
LayerRange GroupPlan::neediestRange(const PlacementCard &Card) const {
  const std::vector<double> Memory = requestMemory();
  const std::vector<int> Holders = coverage();
  LayerRange Best;
  double BestGain = 0;
  for (std::uint32_t Length = 1; Length <= maxLayers(Card); ++Length) {
    double Own = LayoutQuality::memoryPerLayer(m_Model, Card, {0, Length});
    std::vector<double> Gains;
    for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer)
      Gains.push_back(worth(Memory[Layer] + Own, Holders[Layer] + 1) -
                      worth(Memory[Layer], Holders[Layer]));
    double Gain = 0;
    for (std::uint32_t End = 1; End <= m_Model.m_Layers; ++End) {
      Gain += Gains[End - 1];
      if (End > Length)
        Gain -= Gains[End - 1 - Length];
      if (End >= Length && Gain > BestGain) {
        BestGain = Gain;
        Best = {End - Length, End};
      }
    }
  }
  return Best;
}

// True if each layer of Range has another holder than the card.
bool GroupPlan::isSpare(const PlacementCard &Card, LayerRange Range) const {
  std::vector<int> Holders = coverage();
  for (std::uint32_t Layer = Range.m_First; Layer < Range.m_End; ++Layer)
    if (Holders[Layer] <= 1)
      return false;
  return !Card.isEmpty();
}

// Ranges that a card could hold instead: longer or shorter ones, for which it
// need not stop serving, and any other if it can be spared.
std::vector<LayerRange> GroupPlan::otherRanges(PlacementCard &Card) {
  const LayerRange Held = Card.m_Layers;
  std::vector<LayerRange> Ranges;
  for (std::uint32_t Count : {1U, 2U, 4U, 8U, 16U}) {
    bool CanGrow = Held.m_End - Held.m_First + Count <= maxLayers(Card);
    if (CanGrow && Held.m_First >= Count)
      Ranges.push_back({Held.m_First - Count, Held.m_End});
    if (CanGrow && Held.m_End + Count <= m_Model.m_Layers)
      Ranges.push_back({Held.m_First, Held.m_End + Count});
    if (Held.m_End - Held.m_First <= Count)
      continue;
    if (isSpare(Card, {Held.m_First, Held.m_First + Count}))
      Ranges.push_back({Held.m_First + Count, Held.m_End});
    if (isSpare(Card, {Held.m_End - Count, Held.m_End}))
      Ranges.push_back({Held.m_First, Held.m_End - Count});
  }
  if (isSpare(Card, Held)) {
    double Usable = LayoutQuality::usableMemory(m_Model, m_Cards);
    Card.m_Layers = {};
    if (LayoutQuality::usableMemory(m_Model, m_Cards) >=
        Usable * LeastLeftByMove)
      Ranges.push_back(neediestRange(Card));
    Card.m_Layers = Held;
  }
  return Ranges;
}

std::vector<PlacementOrder> GroupPlan::planMove() {
  const double Usable = LayoutQuality::usableMemory(m_Model, m_Cards);
  const std::vector<double> Memory = requestMemory();
  double Mean = std::accumulate(Memory.begin(), Memory.end(), 0.0) /
                std::max(1U, m_Model.m_Layers);
  // Nothing could add enough to it.
  if (Usable * LeastResizeGain >= Mean)
    return {};
  struct Move {
    double m_Worth;
    PlacementCard *m_Card;
    LayerRange m_Layers;
  };
  std::vector<Move> Moves;
  const double Worth = totalWorth();
  for (PlacementCard &Card : m_Cards) {
    if (Card.isEmpty())
      continue;
    for (const LayerRange &Range : otherRanges(Card)) {
      const LayerRange Held = Card.m_Layers;
      Card.m_Layers = Range;
      double Moved = totalWorth();
      Card.m_Layers = Held;
      if (Moved > Worth)
        Moves.push_back({Moved, &Card, Range});
    }
  }
  std::sort(Moves.begin(), Moves.end(),
            [](const Move &Left, const Move &Right) {
              return Left.m_Worth > Right.m_Worth;
            });
  if (Moves.size() > ComparedMoves)
    Moves.resize(ComparedMoves);
  const Move *Best = nullptr;
  double Most = Usable;
  for (const Move &Each : Moves) {
    const LayerRange Held = Each.m_Card->m_Layers;
    Each.m_Card->m_Layers = Each.m_Layers;
    double Moved = LayoutQuality::usableMemory(m_Model, m_Cards);
    Each.m_Card->m_Layers = Held;
    bool IsResize = Each.m_Layers.m_First < Held.m_End &&
                    Held.m_First < Each.m_Layers.m_End;
    double Least = Usable * (IsResize ? LeastResizeGain : LeastMoveGain);
    if (Moved > Most && Moved >= Least) {
      Most = Moved;
      Best = &Each;
    }
  }
  // A hole can take several moves, of which only the last one adds memory.
  bool HasHole = Usable < 1;
  if (!Best && HasHole && !Moves.empty() &&
      Moves.front().m_Worth > Worth * HoleMoveShare)
    Best = &Moves.front();
  if (!Best)
    return {};
  return {{Best->m_Card->m_Endpoint, Best->m_Layers}};
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
      if (!Card.isEmpty() && isSpare(Card, Card.m_Layers) &&
          (!Spare || Card.m_MemoryMegabytes < Spare->m_MemoryMegabytes))
        Spare = &Card;
    }
    if (!Spare)
      return;
    Spare->m_Layers = {};
    order(*Spare, neediestRange(*Spare));
  }
}

std::vector<PlacementOrder> GroupPlan::plan() {
  bool AreAllEmpty =
      std::all_of(m_Cards.begin(), m_Cards.end(),
                  [](const PlacementCard &Card) { return Card.isEmpty(); });
  if (AreAllEmpty)
    planChains();
  for (PlacementCard &Card : m_Cards)
    if (Card.isEmpty() && maxLayers(Card) > 0)
      order(Card, neediestRange(Card));
  closeHoles();
  return m_Orders;
}

/// Failure domains that hold whole copies each, and all others together.
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
    for (PlacementOrder &Order : GroupPlan(Model, std::move(Group)).planMove())
      Orders.push_back(std::move(Order));
  return Orders;
}

} // namespace parsleyring
