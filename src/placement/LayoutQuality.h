#ifndef PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H
#define PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H

#include "placement/LayoutPlanner.h"

#include <vector>

namespace parsleyring {

/// How much request memory a layout offers to whole paths.
class LayoutQuality {
public:
  /// Memory of Card for requests beside Layers, for each of them. Megabytes.
  static double memoryPerLayer(const EngineModel &Model,
                               const PlacementCard &Card, LayerRange Layers);

  /// Request memory that paths over all layers can use at the same time, for
  /// each layer in megabytes: the largest flow through the layers. What the
  /// other layers have beyond it is of no use.
  static double usableMemory(const EngineModel &Model,
                             const std::vector<PlacementCard> &Cards);
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H
