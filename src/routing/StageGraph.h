#ifndef PARSLEYRING_ROUTING_STAGEGRAPH_H
#define PARSLEYRING_ROUTING_STAGEGRAPH_H

#include "routing/CostModel.h"

#include <vector>

namespace parsleyring {

/// An endpoint that can be a stage of the route.
struct StageOption {
  const Endpoint *m_Endpoint = nullptr;
  std::size_t m_Position = 0; ///< Index in the pool.
  LayerRange m_Layers;        ///< [0, 1) for a plain service.
  // Indexes of the layer boundaries where the stage begins and ends.
  std::size_t m_Begin = 0;
  std::size_t m_End = 0;
  double m_Requests = 0; ///< Estimated requests of all VMs.
  double m_Load = 0;     ///< Requests per slot.
  StageEstimate m_Estimate;
  double m_CostMicros = 0; ///< Cost that the strategy compares.
  bool m_HasFreeSlot = false;
  bool m_FailedBefore = false;
  bool m_IsStallQuarantined = false;
};

/// Which options a route may use.
struct StageFilter {
  bool m_NeedsFreeSlot = true;
  bool m_AllowsFailedBefore = false;
  bool m_AllowsUnreachable = false;
  bool m_AllowsStallQuarantined = false;
};

/// Graph whose nodes are layer boundaries and whose edges are endpoints. Every
/// path from the first to the last boundary covers each layer exactly once.
class StageGraph {
public:
  /// Options must be sorted by first layer and lie within [0, Layers).
  StageGraph(std::uint32_t Layers, std::vector<StageOption> Options);

  /// Makes the options usable that pass the filter and from whose end the last
  /// boundary can be reached, so that no choice leads into a dead end. Returns
  /// false if there is no route.
  bool select(const StageFilter &Filter);

  std::size_t boundaryCount() const { return m_BoundaryCount; }
  std::vector<StageOption> &options() { return m_Options; }
  const std::vector<StageOption> &options() const { return m_Options; }
  /// Indexes of the usable options of all boundaries, in order.
  const std::vector<std::size_t> &usable() const { return m_Usable; }
  /// Half-open index range in usable() of the options that begin at Boundary.
  std::pair<std::size_t, std::size_t> usableAt(std::size_t Boundary) const {
    return {m_UsableBegin[Boundary], m_UsableBegin[Boundary + 1]};
  }

private:
  std::vector<StageOption> m_Options;
  std::size_t m_BoundaryCount = 0;
  std::vector<std::size_t> m_Usable;
  std::vector<std::size_t> m_UsableBegin;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_STAGEGRAPH_H
