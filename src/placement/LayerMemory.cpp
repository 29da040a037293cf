#include "placement/LayerMemory.h"

#include "placement/LayoutQuality.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace parsleyring {

// Greatest part of a card's memory that layers may take.
static constexpr double MaxLayerMemoryFraction = 0.9;
// Per layer, as a fraction of the cards' memory divided by the number of
// layers. A layer with less request memory than this counts almost as little as
// a layer without a holder.
static constexpr double MinMemoryFraction = 0.02;
// Weight of the request memory of a layer, by number of cards that hold the
// layer. The memory of a single holder is lost with the card and counts less.
static constexpr std::array<double, 4> HolderWeights = {0, 0.25, 0.75, 0.92};

LayerMemory::LayerMemory(const EngineModel &Model,
                         const std::vector<PlacementCard> &Cards)
    : m_Model(Model), m_Megabytes(Model.m_Layers), m_Holders(Model.m_Layers) {
  for (const PlacementCard &Card : Cards) {
    m_MinMegabytes +=
        MinMemoryFraction * Card.m_MemoryMegabytes / Model.m_Layers;
    add(Card, Card.m_Layers);
  }
}

std::uint32_t LayerMemory::maxLayers(const EngineModel &Model,
                                     const PlacementCard &Card) {
  double Layers =
      Card.m_MemoryMegabytes * MaxLayerMemoryFraction / Model.m_LayerMegabytes;
  // Not finite if the model does not state the size of a layer.
  return static_cast<std::uint32_t>(
      std::max(0.0, std::min<double>(Model.m_Layers, Layers)));
}

void LayerMemory::adjust(const PlacementCard &Card, LayerRange Layers,
                         int Sign) {
  double CardMegabytes = LayoutQuality::memoryPerLayer(m_Model, Card, Layers);
  for (std::uint32_t Layer = Layers.m_First;
       Layer < std::min(Layers.m_End, m_Model.m_Layers); ++Layer) {
    m_Megabytes[Layer] += Sign * CardMegabytes;
    m_Holders[Layer] += Sign;
  }
}

void LayerMemory::add(const PlacementCard &Card, LayerRange Layers) {
  adjust(Card, Layers, 1);
}

void LayerMemory::remove(const PlacementCard &Card, LayerRange Layers) {
  adjust(Card, Layers, -1);
}

double LayerMemory::mean() const {
  return std::accumulate(m_Megabytes.begin(), m_Megabytes.end(), 0.0) /
         std::max(1U, m_Model.m_Layers);
}

bool LayerMemory::hasUncoveredLayer() const {
  return std::find(m_Holders.begin(), m_Holders.end(), 0) != m_Holders.end();
}

std::vector<LayerRange> LayerMemory::uncoveredRanges() const {
  std::vector<LayerRange> Ranges;
  for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer) {
    if (m_Holders[Layer] != 0)
      continue;
    if (Ranges.empty() || Ranges.back().m_End != Layer)
      Ranges.push_back({Layer, Layer});
    Ranges.back().m_End = Layer + 1;
  }
  return Ranges;
}

bool LayerMemory::isRedundant(LayerRange Layers) const {
  for (std::uint32_t Layer = Layers.m_First; Layer < Layers.m_End; ++Layer)
    if (m_Holders[Layer] <= 1)
      return false;
  return Layers.m_End > Layers.m_First;
}

// A path needs memory at every layer, so memory has the more utility the less a
// layer has.
double LayerMemory::utilityOf(double Megabytes, int Holders) const {
  auto WeightIndex = std::min<std::size_t>(static_cast<std::size_t>(Holders),
                                           HolderWeights.size() - 1);
  double WeightedMegabytes =
      Megabytes * HolderWeights[WeightIndex] + m_MinMegabytes;
  return -1 / (WeightedMegabytes * WeightedMegabytes);
}

double LayerMemory::utility() const {
  double Sum = 0;
  for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer)
    Sum += utilityOf(m_Megabytes[Layer], m_Holders[Layer]);
  return Sum;
}

LayerRange LayerMemory::mostUsefulRange(const PlacementCard &Card) const {
  LayerRange Best;
  double BestGain = 0;
  std::vector<double> Gains(m_Model.m_Layers);
  for (std::uint32_t Length = 1; Length <= maxLayers(m_Model, Card); ++Length) {
    double CardMegabytes =
        LayoutQuality::memoryPerLayer(m_Model, Card, {0, Length});
    for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer)
      Gains[Layer] =
          utilityOf(m_Megabytes[Layer] + CardMegabytes, m_Holders[Layer] + 1) -
          utilityOf(m_Megabytes[Layer], m_Holders[Layer]);
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

} // namespace parsleyring
