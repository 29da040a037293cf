#ifndef PARSLEYRING_ROUTING_LOADESTIMATE_H
#define PARSLEYRING_ROUTING_LOADESTIMATE_H

#include "parsleyring/Types.h"

#include <deque>

namespace parsleyring {

/// Estimates how many requests of all VMs an endpoint has. Reports lag, so the
/// estimate is the last report, plus the requests of this VM that started, and
/// minus those that ended, since the time of the report.
class LoadEstimate {
public:
  /// OneWay is the link delay: a request sent now arrives that much later, and
  /// a request whose end is seen now ended that much earlier.
  void noteStarted(Time Now, Duration OneWay);
  void noteEnded(Time Now, Duration OneWay);
  void noteReport(Time Now, Time ReportedAt, std::uint32_t Requests);
  /// True for a report older than the last one. Reports that are passed on by
  /// peers can arrive out of order.
  bool isOutdated(Time Now, Time ReportedAt) const {
    return hasReport(Now) && ReportedAt < m_ReportedAt;
  }
  /// The endpoint refused a request because it was full.
  void noteRefused(Time Now);
  /// A new process serves the endpoint: drops the last report and refusal.
  void resetReport();

  std::uint32_t outstanding() const { return m_Outstanding; }
  double requests(Time Now) const;
  /// Requests of this VM, and of all others, at the time of the report.
  double ownAtReport() const;
  double othersAtReport(Time Now) const;
  bool isRefusing(Time Now) const { return Now < m_RefusingUntil; }
  bool hasReport(Time Now) const;

private:
  struct Change {
    Time m_At; ///< When the endpoint saw the change.
    int m_Delta = 0;
  };

  void noteChange(Time Now, Change Latest);

  std::uint32_t m_Outstanding = 0;
  std::deque<Change> m_Changes;
  Time m_ReportedAt = Time::min();
  std::uint32_t m_ReportedRequests = 0;
  int m_ChangeSinceReport = 0;
  Time m_RefusingUntil = Time::min();
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_LOADESTIMATE_H
