#ifndef PARSLEYRING_ROUTING_SLOWDOWNESTIMATE_H
#define PARSLEYRING_ROUTING_SLOWDOWNESTIMATE_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// How much slower than configured the routes through an endpoint are: moving
/// average of the observed over the expected token interval. Without samples
/// the ratio decays to 1, so that a slow endpoint is tried again.
class SlowdownEstimate {
public:
  void addSample(Time Now, double Ratio);
  double ratio(Time Now) const;

private:
  double m_Excess = 0; ///< Ratio minus 1.
  Time m_SampledAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_SLOWDOWNESTIMATE_H
