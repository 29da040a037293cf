#ifndef PARSLEYRING_REQUESTS_WAITESTIMATE_H
#define PARSLEYRING_REQUESTS_WAITESTIMATE_H

#include "parsleyring/Types.h"

#include <map>
#include <string>

namespace parsleyring {

/// Estimates how long a new request would wait in a fair queue, from the
/// observed intervals between departures while requests were waiting.
class WaitEstimate {
public:
  void noteQueued(const std::string &Account, double Share);
  /// A request left the queue; Now only if it was dispatched.
  void noteLeft(const std::string &Account, std::optional<Time> DispatchedAt);

  /// Zero while the queue is empty or no departure was observed.
  Duration estimate(const std::string &Account, double Share) const;

private:
  struct Flow {
    std::size_t m_Waiting = 0;
    double m_Share = 1;
  };

  std::map<std::string, Flow> m_Flows;
  std::size_t m_Waiting = 0;
  double m_IntervalMicros = 0; ///< Smoothed time between departures.
  /// Last departure that left others waiting; empty if none did.
  std::optional<Time> m_LastDeparture;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_WAITESTIMATE_H
