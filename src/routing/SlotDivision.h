#ifndef PARSLEYRING_ROUTING_SLOTDIVISION_H
#define PARSLEYRING_ROUTING_SLOTDIVISION_H

#include "routing/StageGraph.h"

#include <vector>

namespace parsleyring {

/// Divides the slots of endpoints between the routers.
///
/// All routers see the same delayed reports. If each filled the slots that a
/// report shows as free, an endpoint would get several times the requests that
/// it can serve while others idle. Each router therefore takes only its share
/// of an endpoint's free slots. The share is proportional to the router's own
/// use, with a small equal share, so that a router that has just started gets
/// slots too.
class SlotDivision {
public:
  SlotDivision(Time Now, std::uint32_t Routers)
      : m_Now(Now), m_RouterCount(Routers) {}

  /// Sets m_HasFreeSlot of the options, which must be sorted by first layer,
  /// and raises the cost of those where this router exceeds its share.
  void apply(std::vector<StageOption> &Options) const;

private:
  void applyToGroup(std::vector<StageOption> &Options, std::size_t First,
                    std::size_t End) const;
  /// This router's share of the endpoint's slots. Own and Others are the
  /// requests of this router and of the others at all endpoints of the
  /// boundary.
  double slotShare(const Endpoint &Candidate, double Own, double Others) const;

  Time m_Now;
  std::uint32_t m_RouterCount;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_SLOTDIVISION_H
