#include "routing/EndpointHealth.h"

#include <algorithm>

namespace parsleyring {

static constexpr Duration MinQuarantine = std::chrono::seconds(30);
static constexpr Duration MaxQuarantine = std::chrono::minutes(10);
/// A quarantine that begins this long after the end of the last one has the
/// shortest length again.
static constexpr Duration QuarantineResetTime = std::chrono::minutes(10);
static constexpr Duration MinBackoff = std::chrono::seconds(1);
static constexpr Duration MaxBackoff = std::chrono::seconds(16);

bool EndpointHealth::canServe(Time Now) const {
  if (isQuarantined(Now) && !isStallQuarantined(Now))
    return false;
  return !isUnavailable() || (Now >= m_UnavailableUntil && !m_HasProbe);
}

Duration EndpointHealth::quarantine(Time Now, QuarantineReason Reason) {
  // A wrong result takes precedence over stalls.
  if (!isQuarantined(Now) || Reason == QuarantineReason::WrongResult)
    m_Reason = Reason;
  if (isQuarantined(Now))
    return m_QuarantinedUntil - Now;
  bool IsRepeated = m_QuarantineLength > Duration::zero() &&
                    Now - m_QuarantinedUntil < QuarantineResetTime;
  m_QuarantineLength = IsRepeated
                           ? std::min(2 * m_QuarantineLength, MaxQuarantine)
                           : MinQuarantine;
  m_QuarantinedUntil = Now + m_QuarantineLength;
  return m_QuarantineLength;
}

void EndpointHealth::noteStarted(AttemptNumber Attempt) {
  if (!isUnavailable() || m_HasProbe)
    return;
  m_ProbeAttempt = Attempt;
  m_HasProbe = true;
}

void EndpointHealth::noteEnded(AttemptNumber Attempt) {
  if (m_HasProbe && m_ProbeAttempt == Attempt)
    m_HasProbe = false;
}

void EndpointHealth::noteFailure(Time Now, Time AttemptStartedAt) {
  if (AttemptStartedAt > m_FailedAt)
    extendBackoff(Now);
}

void EndpointHealth::noteTimeout(Time Now, AttemptNumber Attempt) {
  if (m_HasProbe && m_ProbeAttempt == Attempt)
    extendBackoff(Now);
}

void EndpointHealth::extendBackoff(Time Now) {
  m_Backoff =
      isUnavailable() ? std::min(2 * m_Backoff, MaxBackoff) : MinBackoff;
  m_FailedAt = Now;
  m_UnavailableUntil = Now + m_Backoff;
  m_HasProbe = false;
}

void EndpointHealth::noteSuccess(Time AttemptStartedAt) {
  if (AttemptStartedAt <= m_FailedAt)
    return;
  m_Backoff = Duration::zero();
  m_HasProbe = false;
}

void EndpointHealth::noteRestarted(Time Now) {
  m_QuarantinedUntil = std::min(m_QuarantinedUntil, Now);
  m_Backoff = Duration::zero();
  m_HasProbe = false;
}

} // namespace parsleyring
