#ifndef PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H
#define PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H

#include "placement/LayoutPlanner.h"

#include <vector>

namespace parsleyring {

/// Measures the request memory that a layout offers to paths over all layers.
class LayoutQuality {
public:
  /// Request memory that Card has for each of Layers while it holds them, in
  /// megabytes.
  static double memoryPerLayer(const EngineModel &Model,
                               const PlacementCard &Card, LayerRange Layers);

  /// Request memory that paths over all layers can use at the same time, in
  /// megabytes per layer: the largest flow through the layers. Memory beyond it
  /// at single layers cannot be used.
  static double usableMemory(const EngineModel &Model,
                             const std::vector<PlacementCard> &Cards);
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H
