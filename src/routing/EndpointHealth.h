#ifndef PARSLEYRING_ROUTING_ENDPOINTHEALTH_H
#define PARSLEYRING_ROUTING_ENDPOINTHEALTH_H

#include "parsleyring/Types.h"

namespace parsleyring {

enum class QuarantineReason {
  WrongResult, ///< It computed layers wrongly; it must not be used.
  Stalls,      ///< It is silent or slow; it may be better than nothing.
};

/// Quarantine of an endpoint, and its unavailability after connect failures.
class EndpointHealth {
public:
  /// May get new work, as far as quarantine for stalls does not forbid it:
  /// neither quarantined for a wrong result nor unavailable, or unavailable but
  /// due for its probe.
  bool canServe(Time Now) const;
  bool isQuarantined(Time Now) const { return Now < m_QuarantinedUntil; }
  /// Quarantined only because of stalls.
  bool isStallQuarantined(Time Now) const {
    return isQuarantined(Now) && m_Reason == QuarantineReason::Stalls;
  }
  bool isUnavailable() const { return m_Backoff > Duration::zero(); }

  /// Returns how long the endpoint gets no new work. A quarantine that still
  /// lasts is not extended: many streams can report one fault.
  Duration quarantine(Time Now, QuarantineReason Reason);

  /// The first attempt after a failure becomes the probe.
  void noteStarted(AttemptNumber Attempt);
  void noteEnded(AttemptNumber Attempt);
  /// Failures of attempts older than the last failure are the same failure.
  void noteFailure(Time Now, Time AttemptStartedAt);
  /// The attempt got no answer in time. Counts as a failure if it is the probe.
  void noteTimeout(Time Now, AttemptNumber Attempt);
  /// An answer to an attempt that started after the last failure ends the
  /// unavailability; an old stream that still runs does not.
  void noteSuccess(Time AttemptStartedAt);
  /// Another process has taken over the endpoint. Only the doubling of the
  /// quarantine stays.
  void noteRestarted(Time Now);

private:
  void extendBackoff(Time Now);

  Time m_QuarantinedUntil = Time::min();
  Duration m_QuarantineTime{};
  QuarantineReason m_Reason = QuarantineReason::WrongResult;

  Duration m_Backoff{}; ///< Zero if available.
  Time m_FailedAt = Time::min();
  Time m_UnavailableUntil = Time::min();
  AttemptNumber m_Probe = 0;
  bool m_HasProbe = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ENDPOINTHEALTH_H
