#ifndef PARSLEYRING_ROUTING_COSTMODEL_H
#define PARSLEYRING_ROUTING_COSTMODEL_H

#include "routing/EndpointTable.h"
#include "routing/RoutePlanner.h"

namespace parsleyring {

/// Estimated time that a request spends at one endpoint, by component.
struct StageEstimate {
  double m_WaitMicros = 0;    ///< Until a slot is free.
  double m_PrefillMicros = 0; ///< Of the tokens not in the prefix cache.
  double m_TokenMicros = 0;   ///< Per generated token.
};

/// Estimates the cost of one query at endpoints and on links.
class CostModel {
public:
  CostModel(Time Now, const RouteQuery &Query, const LinkTable &Links,
            std::size_t OwnDomain);

  StageEstimate estimate(const Endpoint &Candidate) const;
  /// Time of the whole request at an endpoint; Load (requests per slot)
  /// increases its service time.
  double stageMicros(const StageEstimate &Estimate, double Load) const;
  /// Cost of the link between two stages for all generated tokens. They also
  /// cross the link from the last stage to the first, which streams them to the
  /// router.
  double hopMicros(std::size_t From, std::size_t To) const {
    return m_ExpectedTokens * m_Links.oneWayMicros(From, To);
  }
  /// Cost of sending the request to the first stage and receiving the stream.
  double entryMicros(std::size_t To) const {
    return m_Links.oneWayMicros(m_OwnDomain, To) +
           m_Links.oneWayMicros(To, m_OwnDomain);
  }
  std::size_t domainCount() const { return m_Links.domainCount(); }

private:
  Time m_Now;
  const RouteQuery &m_Query;
  const LinkTable &m_Links;
  std::size_t m_OwnDomain;
  double m_ExpectedTokens; ///< Estimated length of the answer.
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_COSTMODEL_H
