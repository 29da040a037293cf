#ifndef PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H
#define PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H

#include "placement/LayoutPlanner.h"

#include <vector>

namespace parsleyring {

/// Measures the requests that a layout can serve: the memory that it offers to
/// paths over all layers, and the slots of the engines where paths begin.
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

  /// Number of requests of usual size that fit into Megabytes, summed over the
  /// layers; 0 if the model does not state their usual size.
  static double requestsInMemory(const EngineModel &Model, double Megabytes);
  /// Number of requests that the slots of the cards with the first layer allow;
  /// infinite if one of these does not state its slots.
  static double requestsInSlots(const std::vector<PlacementCard> &Cards);
  /// Number of requests of usual size that paths can serve at the same time;
  /// 0 if the model does not state their usual size.
  static double servableRequests(const EngineModel &Model,
                                 const std::vector<PlacementCard> &Cards);
  /// True if Card is one of at most two of the Cards with the first layer.
  /// Without it, the loss of one more card would leave no place where paths can
  /// begin. Always false for cards without slots and for models that do not
  /// state the usual size of requests.
  static bool needsFirstLayers(const EngineModel &Model,
                               const std::vector<PlacementCard> &Cards,
                               const PlacementCard &Card);
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_LAYOUTQUALITY_H
