#include "placement/LayoutQuality.h"

#include <algorithm>

namespace parsleyring {

// The search for the largest flow halves its range this often.
static constexpr int SearchSteps = 20;

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

// Serves each layer from the cards that hold it, those whose range ends first
// before the others, which later layers may need.
static bool canCarry(const EngineModel &Model,
                     const std::vector<const PlacementCard *> &ByEnd,
                     double Flow) {
  std::vector<double> Left;
  for (const PlacementCard *Card : ByEnd)
    Left.push_back(requestMemory(Model, *Card, Card->m_Layers));
  for (std::uint32_t Layer = 0; Layer < Model.m_Layers; ++Layer) {
    double Missing = Flow;
    for (std::size_t Index = 0; Index < ByEnd.size() && Missing > 0; ++Index) {
      const LayerRange &Held = ByEnd[Index]->m_Layers;
      if (Layer < Held.m_First || Layer >= Held.m_End)
        continue;
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
  std::vector<const PlacementCard *> ByEnd;
  double Most = 0;
  for (const PlacementCard &Card : Cards) {
    if (Card.isEmpty())
      continue;
    ByEnd.push_back(&Card);
    Most += requestMemory(Model, Card, Card.m_Layers);
  }
  std::stable_sort(ByEnd.begin(), ByEnd.end(),
                   [](const PlacementCard *Left, const PlacementCard *Right) {
                     return Left->m_Layers.m_End < Right->m_Layers.m_End;
                   });
  double Low = 0;
  double High = Most / std::max(1u, Model.m_Layers);
  for (int Step = 0; Step < SearchSteps; ++Step) {
    double Middle = (Low + High) / 2;
    (canCarry(Model, ByEnd, Middle) ? Low : High) = Middle;
  }
  return Low;
}

double LayoutQuality::bound(const EngineModel &Model,
                            const std::vector<PlacementCard> &Cards,
                            std::uint32_t Copies) {
  double Memory = 0;
  for (const PlacementCard &Card : Cards)
    Memory += Card.m_MemoryMegabytes;
  return std::max(0.0,
                  Memory / Model.m_Layers - Model.m_LayerMegabytes * Copies);
}

} // namespace parsleyring
