#ifndef PARSLEYRING_ROUTING_SLOTDIVISION_H
#define PARSLEYRING_ROUTING_SLOTDIVISION_H

#include "routing/StageGraph.h"

#include <vector>

namespace parsleyring {

/// Divides the slots of contended endpoints between the routers.
///
/// All routers see the same reports, late. If each of them filled the slots
/// that a report shows as free, an endpoint would get several times what it can
/// serve while others idle. Each router therefore takes only its part of the
/// free slots of an endpoint: in proportion to its own use, with a small part
/// divided equally, so that a router that starts gets slots as well.
class SlotDivision {
public:
  SlotDivision(Time Now, std::uint32_t Routers)
      : m_Now(Now), m_Routers(Routers) {}

  /// Sets m_HasFreeSlot of the options, which are in the order of their first
  /// layer, and raises their cost beyond this router's part.
  void apply(std::vector<StageOption> &Options) const;

private:
  void applyToGroup(std::vector<StageOption> &Options, std::size_t First,
                    std::size_t End) const;
  /// This router's part of the slots of an endpoint, given the requests of this
  /// router and of the other ones at all endpoints of the boundary.
  double slots(const Endpoint &Candidate, double Own, double Others) const;

  Time m_Now;
  std::uint32_t m_Routers;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_SLOTDIVISION_H
