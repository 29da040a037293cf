#ifndef PARSLEYRING_PLACEMENT_LAYERMEMORY_H
#define PARSLEYRING_PLACEMENT_LAYERMEMORY_H

#include "placement/LayoutPlanner.h"

#include <vector>

namespace parsleyring {

/// What cards have for requests at each layer, if each card spreads its memory
/// evenly over its layers, and its utility.
class LayerMemory {
public:
  LayerMemory(const EngineModel &Model,
              const std::vector<PlacementCard> &Cards);

  /// The card gets or gives up Layers.
  void add(const PlacementCard &Card, LayerRange Layers);
  void remove(const PlacementCard &Card, LayerRange Layers);

  /// Megabytes of the average layer.
  double mean() const;
  bool hasUncoveredLayer() const;
  /// True if each of Layers has another holder than the card that asks.
  bool isSpare(LayerRange Layers) const;
  /// Negative; nearer to 0 is better.
  double utility() const;
  /// The layers at which the memory of an empty card has most utility.
  LayerRange mostUsefulRange(const PlacementCard &Card) const;

  /// How many layers a card may hold, so that it keeps some requests.
  static std::uint32_t maxLayers(const EngineModel &Model,
                                 const PlacementCard &Card);

private:
  double utilityOf(double Megabytes, int Holders) const;
  void change(const PlacementCard &Card, LayerRange Layers, int Sign);

  const EngineModel &m_Model;
  std::vector<double> m_Megabytes; ///< By layer.
  std::vector<int> m_Holders;      ///< By layer.
  double m_Floor = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYERMEMORY_H
