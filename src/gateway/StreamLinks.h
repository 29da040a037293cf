#ifndef PARSLEYRING_GATEWAY_STREAMLINKS_H
#define PARSLEYRING_GATEWAY_STREAMLINKS_H

#include "admission/LimitedCapacity.h"
#include "admission/LinkRoom.h"
#include "gateway/ForwardContext.h"
#include "routing/LayerPathPlanner.h"

#include <vector>

namespace parsleyring {

/// Plans the paths of one stream over the links between failure domains for
/// which this VM has credit, and takes the credit of its crossings.
class StreamLinks {
public:
  StreamLinks(ForwardContext &Context, const ServiceRule &Service)
      : m_Context(Context), m_Service(Service) {}
  StreamLinks(const StreamLinks &) = delete;
  StreamLinks &operator=(const StreamLinks &) = delete;

  /// Finds a path, or a section of one, that crosses no link without credit.
  /// Each crossing sends the state of Tokens tokens.
  LayerPath plan(PathQuery Query, LinkUse Use, double Tokens);
  /// True if only links without credit kept the last plan() from a path.
  bool isLimited() const { return m_IsLimited; }
  /// The crossings of the last planned path; if isLimited(), of the path that
  /// would be used if there were credit.
  const std::vector<LinkCrossing> &crossings() const { return m_Crossings; }

  /// Takes the credit of crossings that are made now; ends the wait.
  void take(const std::vector<LinkCrossing> &Crossings);
  /// Returns the credit of crossings that were not made.
  void giveBack(std::vector<LinkCrossing> &Crossings);

  /// Reserves the credit that is due for crossings(). Returns false if it is
  /// due too late for a request that must be sent by Until. endWait() must be
  /// called when the wait ends without take().
  bool beginWait(Time Until);
  /// Returns the reserved credit, if any.
  void endWait() { giveBack(m_Reserved); }
  /// When a request like this one can be sent, and how many per second then.
  LimitedCapacity capacity() const;

private:
  LinkRoom &room() const;
  bool isOpen(const LinkCrossing &Crossing);
  std::vector<LinkCrossing> crossingsOf(const LayerPath &Path,
                                        const PathQuery &Query, LinkUse Use,
                                        double Tokens) const;
  void noteDemand();

  ForwardContext &m_Context;
  const ServiceRule &m_Service;
  std::vector<LinkCrossing> m_Crossings;
  std::vector<LinkCrossing> m_Reserved;
  Time m_PromisedAt{}; ///< When the reserved credit is due.
  bool m_IsLimited = false;
  /// The crossings of the next attempt are counted in the demand.
  bool m_IsDemandCounted = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMLINKS_H
