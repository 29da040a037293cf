#ifndef PARSLEYRING_PLACEMENT_LAYERMEMORY_H
#define PARSLEYRING_PLACEMENT_LAYERMEMORY_H

#include "placement/LayoutPlanner.h"

#include <vector>

namespace parsleyring {

/// Request memory of a group of cards at each layer, if each card spreads its
/// memory evenly over its layers, and the utility of that memory.
class LayerMemory {
public:
  LayerMemory(const EngineModel &Model,
              const std::vector<PlacementCard> &Cards);

  /// Adds or removes the request memory that Card has while it holds Layers.
  void add(const PlacementCard &Card, LayerRange Layers);
  void remove(const PlacementCard &Card, LayerRange Layers);

  /// Mean request memory per layer, in megabytes.
  double mean() const;
  bool hasUncoveredLayer() const;
  /// The ranges of layers without a holder, in order.
  std::vector<LayerRange> uncoveredRanges() const;
  /// True if each of Layers has at least two holders, so that one of them can
  /// drop it; false for an empty range.
  bool isRedundant(LayerRange Layers) const;
  /// Sum over the layers; negative, and closer to 0 is better.
  double utility() const;
  /// The range of layers whose utility gains most if the empty Card holds it.
  LayerRange mostUsefulRange(const PlacementCard &Card) const;

  /// Greatest number of layers that leaves Card some memory for requests.
  static std::uint32_t maxLayers(const EngineModel &Model,
                                 const PlacementCard &Card);

private:
  double utilityOf(double Megabytes, int Holders) const;
  void adjust(const PlacementCard &Card, LayerRange Layers, int Sign);

  const EngineModel &m_Model;
  std::vector<double> m_Megabytes; ///< By layer.
  std::vector<int> m_Holders;      ///< By layer.
  double m_MinMegabytes = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYERMEMORY_H
