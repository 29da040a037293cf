#include "routing/LoadEstimate.h"

#include <algorithm>

namespace parsleyring {

/// A report older than this says nothing about the present load.
static constexpr Duration MaxReportAge = std::chrono::seconds(10);
/// How long a full endpoint gets no request after a refusal. Short, since slots
/// may become free before the next report.
static constexpr Duration RefusalDuration = std::chrono::milliseconds(100);

void LoadEstimate::noteStarted(Time Now, Duration OneWay) {
  ++m_Outstanding;
  noteChange(Now, {Now + OneWay, 1});
}

void LoadEstimate::noteEnded(Time Now, Duration OneWay) {
  if (m_Outstanding > 0)
    --m_Outstanding;
  noteChange(Now, {Now - OneWay, -1});
}

void LoadEstimate::noteChange(Time Now, Change Latest) {
  while (!m_Changes.empty() && Now - m_Changes.front().m_At > MaxReportAge)
    m_Changes.pop_front();
  m_Changes.push_back(Latest);
  if (Latest.m_At > m_ReportedAt)
    m_ChangeSinceReport += Latest.m_Delta;
}

void LoadEstimate::noteReport(Time Now, Time ReportedAt,
                              std::uint32_t Requests) {
  // The clock of another VM may be ahead.
  ReportedAt = std::min(ReportedAt, Now);
  if (isOutdated(Now, ReportedAt))
    return;
  m_ReportedAt = ReportedAt;
  m_ReportedRequests = Requests;
  m_Changes.erase(std::remove_if(m_Changes.begin(), m_Changes.end(),
                                 [&](const Change &Item) {
                                   return Item.m_At <= ReportedAt;
                                 }),
                  m_Changes.end());
  m_ChangeSinceReport = 0;
  for (const Change &Item : m_Changes)
    m_ChangeSinceReport += Item.m_Delta;
}

void LoadEstimate::noteRefused(Time Now) {
  m_RefusingUntil = Now + RefusalDuration;
}

void LoadEstimate::resetReport() {
  m_ReportedAt = Time::min();
  m_RefusingUntil = Time::min();
}

bool LoadEstimate::hasReport(Time Now) const {
  return m_ReportedAt != Time::min() && Now - m_ReportedAt <= MaxReportAge;
}

double LoadEstimate::requests(Time Now) const {
  double Own = m_Outstanding;
  if (!hasReport(Now))
    return Own;
  return std::max(Own, static_cast<double>(m_ReportedRequests) +
                           m_ChangeSinceReport);
}

double LoadEstimate::ownAtReport() const {
  return std::max(0.0,
                  static_cast<double>(m_Outstanding) - m_ChangeSinceReport);
}

double LoadEstimate::othersAtReport(Time Now) const {
  return hasReport(Now) ? std::max(0.0, m_ReportedRequests - ownAtReport()) : 0;
}

} // namespace parsleyring
