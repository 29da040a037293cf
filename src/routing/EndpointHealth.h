#ifndef PARSLEYRING_ROUTING_ENDPOINTHEALTH_H
#define PARSLEYRING_ROUTING_ENDPOINTHEALTH_H

#include "parsleyring/Types.h"

namespace parsleyring {

enum class QuarantineReason {
  WrongResult, ///< Computed layers wrongly; must not be used.
  Stalls,      ///< Silent or slow; used if there is no other route.
};

/// Quarantine of an endpoint, and its unavailability (backoff) after connection
/// failures.
class EndpointHealth {
public:
  /// True unless the endpoint is quarantined for a wrong result or unavailable.
  /// An unavailable endpoint can serve one probe after its backoff. Quarantine
  /// for stalls is not considered.
  bool canServe(Time Now) const;
  bool isQuarantined(Time Now) const { return Now < m_QuarantinedUntil; }
  /// Quarantined only because of stalls.
  bool isStallQuarantined(Time Now) const {
    return isQuarantined(Now) && m_Reason == QuarantineReason::Stalls;
  }
  bool isUnavailable() const { return m_Backoff > Duration::zero(); }

  /// Returns how long the endpoint gets no new requests. A quarantine in force
  /// is not extended, because many streams can report the same fault.
  Duration quarantine(Time Now, QuarantineReason Reason);

  /// The first attempt started on an unavailable endpoint becomes the probe.
  void noteStarted(AttemptNumber Attempt);
  void noteEnded(AttemptNumber Attempt);
  /// Ignores attempts that started before the last failure: they report that
  /// same failure.
  void noteFailure(Time Now, Time AttemptStartedAt);
  /// The attempt got no answer in time; a failure only if it is the probe.
  void noteTimeout(Time Now, AttemptNumber Attempt);
  /// Ends the unavailability if the attempt started after the last failure. A
  /// stream from before the failure proves nothing.
  void noteSuccess(Time AttemptStartedAt);
  /// A new process serves the endpoint: ends quarantine and backoff. The next
  /// quarantine still doubles the last one.
  void noteRestarted(Time Now);

private:
  void extendBackoff(Time Now);

  Time m_QuarantinedUntil = Time::min();
  Duration m_QuarantineLength{};
  QuarantineReason m_Reason = QuarantineReason::WrongResult;

  Duration m_Backoff{}; ///< Length of the backoff; zero if available.
  Time m_FailedAt = Time::min();
  Time m_UnavailableUntil = Time::min();
  AttemptNumber m_ProbeAttempt = 0;
  bool m_HasProbe = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ENDPOINTHEALTH_H
