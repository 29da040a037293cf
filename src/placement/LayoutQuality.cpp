#include "placement/LayoutQuality.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace parsleyring {

// Steps of the bisection for the largest flow.
static constexpr int BisectionSteps = 20;

static double requestMemory(const EngineModel &Model, const PlacementCard &Card,
                            LayerRange Layers) {
  return std::max(0.0,
                  Card.m_MemoryMegabytes -
                      Model.m_LayerMegabytes * (Layers.m_End - Layers.m_First));
}

double LayoutQuality::memoryPerLayer(const EngineModel &Model,
                                     const PlacementCard &Card,
                                     LayerRange Layers) {
  if (Layers.m_End <= Layers.m_First)
    return 0;
  return requestMemory(Model, Card, Layers) / (Layers.m_End - Layers.m_First);
}

namespace {

/// The cards that hold layers, with their request memory.
struct LayerHolders {
  std::vector<double> m_RequestMegabytes;
  /// Indexes of the cards that hold each layer, ordered by the end of their
  /// range.
  std::vector<std::vector<std::size_t>> m_HoldersByLayer;
};

} // namespace

static LayerHolders findLayerHolders(const EngineModel &Model,
                                     const std::vector<PlacementCard> &Cards) {
  std::vector<const PlacementCard *> ByEnd;
  for (const PlacementCard &Card : Cards)
    if (!Card.isEmpty())
      ByEnd.push_back(&Card);
  std::stable_sort(ByEnd.begin(), ByEnd.end(),
                   [](const PlacementCard *Left, const PlacementCard *Right) {
                     return Left->m_Layers.m_End < Right->m_Layers.m_End;
                   });
  LayerHolders Result;
  Result.m_HoldersByLayer.resize(Model.m_Layers);
  for (std::size_t Index = 0; Index < ByEnd.size(); ++Index) {
    const PlacementCard &Card = *ByEnd[Index];
    Result.m_RequestMegabytes.push_back(
        requestMemory(Model, Card, Card.m_Layers));
    for (std::uint32_t Layer = Card.m_Layers.m_First;
         Layer < std::min(Card.m_Layers.m_End, Model.m_Layers); ++Layer)
      Result.m_HoldersByLayer[Layer].push_back(Index);
  }
  return Result;
}

// True if paths over all layers can use Flow megabytes at each layer. Takes
// memory from the cards whose range ends first, since later layers may need the
// other cards.
static bool isFlowFeasible(const LayerHolders &AllHolders, double Flow) {
  std::vector<double> Left = AllHolders.m_RequestMegabytes;
  for (const std::vector<std::size_t> &Holders : AllHolders.m_HoldersByLayer) {
    double Missing = Flow;
    for (std::size_t Index : Holders) {
      double Used = std::min(Missing, Left[Index]);
      Left[Index] -= Used;
      Missing -= Used;
    }
    if (Missing > 1e-6)
      return false;
  }
  return true;
}

double LayoutQuality::usableMemory(const EngineModel &Model,
                                   const std::vector<PlacementCard> &Cards) {
  const LayerHolders AllHolders = findLayerHolders(Model, Cards);
  double Low = 0;
  double High = std::accumulate(AllHolders.m_RequestMegabytes.begin(),
                                AllHolders.m_RequestMegabytes.end(), 0.0) /
                std::max(1U, Model.m_Layers);
  for (int Step = 0; Step < BisectionSteps; ++Step) {
    double Middle = (Low + High) / 2;
    (isFlowFeasible(AllHolders, Middle) ? Low : High) = Middle;
  }
  return Low;
}

double LayoutQuality::requestsInMemory(const EngineModel &Model,
                                       double Megabytes) {
  double RequestBytes = Model.m_CacheBytesPerToken *
                        (Model.m_UsualPromptTokens + Model.m_UsualAnswerTokens);
  return RequestBytes > 0 ? std::max(0.0, Megabytes * 1e6 / RequestBytes) : 0;
}

double LayoutQuality::requestsInSlots(const std::vector<PlacementCard> &Cards) {
  double Slots = 0;
  for (const PlacementCard &Card : Cards)
    if (Card.holdsFirstLayer())
      Slots += Card.m_Slots > 0 ? Card.m_Slots
                                : std::numeric_limits<double>::infinity();
  return Slots;
}

double
LayoutQuality::servableRequests(const EngineModel &Model,
                                const std::vector<PlacementCard> &Cards) {
  return std::min(
      requestsInSlots(Cards),
      requestsInMemory(Model, usableMemory(Model, Cards) * Model.m_Layers));
}

bool LayoutQuality::needsFirstLayers(const EngineModel &Model,
                                     const std::vector<PlacementCard> &Cards,
                                     const PlacementCard &Card) {
  if (!Card.holdsFirstLayer() || Card.m_Slots == 0 ||
      requestsInMemory(Model, 1) == 0)
    return false;
  return std::count_if(Cards.begin(), Cards.end(),
                       [](const PlacementCard &Other) {
                         return Other.holdsFirstLayer();
                       }) <= 2;
}

} // namespace parsleyring
