#ifndef PARSLEYRING_ROUTING_COSTMODEL_H
#define PARSLEYRING_ROUTING_COSTMODEL_H

#include "routing/EndpointTable.h"
#include "routing/RoutePlanner.h"

namespace parsleyring {

/// Parts of the estimated time that a request spends at one endpoint.
struct StageEstimate {
  double m_WaitMicros = 0;    ///< Until a slot is free.
  double m_PrefillMicros = 0; ///< Without the cached prefix.
  double m_TokenMicros = 0;   ///< Each generated token.
};

/// Estimates what one query costs at endpoints and on links.
class CostModel {
public:
  CostModel(Time Now, const RouteQuery &Query, const LinkTable &Links,
            std::size_t OwnDomain);

  StageEstimate estimate(const Endpoint &Candidate) const;
  /// Time of the whole request at an endpoint, weighted with its load.
  double stageMicros(const StageEstimate &Estimate, double Load) const;
  /// Cost of the link that the generated tokens take from stage to stage, and
  /// from the last stage back to the first, which streams them to the router.
  double hopMicros(std::size_t From, std::size_t To) const {
    return m_Tokens * m_Links.oneWayMicros(From, To);
  }
  /// Cost of sending the request to a first stage and of getting the stream.
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
  double m_Tokens; ///< Expected number of generated tokens.
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_COSTMODEL_H
