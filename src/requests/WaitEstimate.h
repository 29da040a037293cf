#ifndef PARSLEYRING_REQUESTS_WAITESTIMATE_H
#define PARSLEYRING_REQUESTS_WAITESTIMATE_H

#include "parsleyring/Types.h"

#include <map>
#include <string>

namespace parsleyring {

/// Estimates how long a new request would wait in a fair queue. Uses the
/// observed intervals between departures that left other requests queued.
class WaitEstimate {
public:
  void noteQueued(const std::string &Account, double Share);
  /// DispatchedAt is empty if the request left the queue without a dispatch.
  void noteDequeued(const std::string &Account,
                    std::optional<Time> DispatchedAt);

  /// Zero if the queue is empty or no interval was observed yet.
  Duration estimate(const std::string &Account, double Share) const;

private:
  /// The queued requests of one account.
  struct Flow {
    std::size_t m_Waiting = 0;
    double m_Share = 1;
  };

  std::map<std::string, Flow> m_Flows;
  std::size_t m_Waiting = 0;
  double m_AverageIntervalMicros = 0; ///< Moving average; 0: none yet.
  /// Last dispatch that left others queued; empty if the queue ran empty.
  std::optional<Time> m_LastDeparture;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_WAITESTIMATE_H
