#include "gateway/StreamRecovery.h"

#include <algorithm>

namespace parsleyring {

// Lower bounds of the silence after which a stream is checked.
static constexpr Duration MinFirstEventSilence = std::chrono::milliseconds(450);
static constexpr Duration MinSilence = std::chrono::milliseconds(260);
// After a pause this long, the engines of the path are asked for their pace.
static constexpr Duration SlowFirstEvent = std::chrono::milliseconds(300);
static constexpr Duration SlowEvent = std::chrono::milliseconds(130);
// A new part of a path processes all tokens so far before its next event.
static constexpr Duration MaxRepathSilence = std::chrono::milliseconds(700);
static constexpr Duration CheckInterval = std::chrono::milliseconds(250);
// A stream that is silent for this long without a known cause is resumed on a
// new path: the answer may be lost although the connection stays open. Callers
// leave a stream after a pause of two seconds.
static constexpr Duration MaxSilence = std::chrono::milliseconds(1200);
static constexpr int MaxRepaths = 3;

static int domainCrossings(const LayerPath &Path) {
  int Crossings = 0;
  for (std::size_t Index = 1; Index < Path.size(); ++Index)
    Crossings += Path[Index].m_Endpoint->m_Entry.m_FailureDomain !=
                 Path[Index - 1].m_Endpoint->m_Entry.m_FailureDomain;
  return Crossings;
}

Duration StreamRecovery::silenceLimit() const {
  if (attempt().m_IsRepathing || attempt().m_Repaths > 0)
    return MaxRepathSilence;
  if (m_Progress.m_Events == 0)
    return std::max<Duration>(MinFirstEventSilence,
                              m_Job.m_Route->m_LatencyGoal * 9 / 10);
  Duration Usual(static_cast<std::int64_t>(m_Progress.m_MeanEventGapMs * 3000));
  return std::max<Duration>(MinSilence, Usual);
}

bool StreamRecovery::hasSuspectPart(Time Now) const {
  for (const PathStage &Part : attempt().path())
    if (Part.m_Endpoint->m_SuspectUntil > Now + FleetEndpoint::RejectionPause)
      return true;
  return false;
}

// Asks the engines of a path with a long pause for their pace, as one of them
// may be slow.
void StreamRecovery::checkPaces(Duration Silence) {
  Duration Threshold = m_Progress.m_Events == 0 ? SlowFirstEvent : SlowEvent;
  if (Silence < Threshold)
    return;
  for (const PathStage &Part : attempt().path())
    m_Context.checkPace(Part.m_Endpoint);
}

void StreamRecovery::checkSilence(Time Now) {
  if (attempt().m_IsRepathing)
    return;
  Duration Silence = Now - attempt().m_LastProgressAt;
  checkPaces(Silence);
  if (m_Stream.hasEnded() || Silence < silenceLimit())
    return;
  if (Silence > MaxSilence && attempt().isTrickling()) {
    m_Planner.exclude(attempt().firstEngine());
    m_Stream.retryElsewhere("trickling");
    return;
  }
  if (hasSuspectPart(Now)) {
    replaceParts();
    return;
  }
  if (Silence > MaxSilence && Now >= attempt().m_NextMoveAt) {
    attempt().m_NextMoveAt = Now + CheckInterval;
    if (m_Stream.moveElsewhere("silent"))
      return;
  }
  if (attempt().m_IsReportRequested || Now < attempt().m_NextReportAt)
    return;
  attempt().m_IsReportRequested = true;
  attempt().m_NextReportAt = Now + CheckInterval;
  auto Self = m_Stream.self();
  m_Context.requestReport(attempt().firstEngine(),
                          [this, Self, Asked = m_Stream.attempt()](
                              const std::optional<EngineReport> &Report) {
                            Asked->m_IsReportRequested = false;
                            if (!Self->hasEnded() && Self->attempt() == Asked)
                              handleReport(Report);
                          });
}

void StreamRecovery::handleReport(const std::optional<EngineReport> &Report) {
  if (!Report) {
    // Copied, since suspect() may move this stream to another attempt.
    FleetTable::Handle First = attempt().firstEngine();
    m_Context.suspect(First, "no-report", UnresponsiveTime);
    return;
  }
  for (const EngineReport::Stalled &Stalled : Report->m_Stalled) {
    if (Stalled.m_RequestId != m_Job.m_Id)
      continue;
    FleetTable::Handle Part =
        m_Context.fleet().findByAddress(Stalled.m_Address);
    if (!Part) {
      for (const PathStage &Used : attempt().path())
        if (Used.m_Endpoint->m_Entry.m_Address == Stalled.m_Address)
          Part = Used.m_Endpoint;
    }
    if (Part)
      m_Context.suspect(Part, "stalled", UnresponsiveTime);
    return;
  }
}

void StreamRecovery::handleSuspect(const FleetTable::Handle &Endpoint) {
  if (attempt().m_HasEnded || attempt().m_IsRepathing)
    return;
  // A stream that still gets events need not leave the endpoint.
  if (attempt().uses(Endpoint) &&
      m_Context.now() - attempt().m_LastProgressAt > MinSilence / 2)
    replaceParts();
}

// Replaces the suspect parts of the path; the other parts keep the cached state
// of the request. The attempt stays as it is if nothing can be replaced.
void StreamRecovery::replaceParts() {
  Time Now = m_Context.now();
  if (Now < attempt().m_NextMoveAt)
    return;
  attempt().m_NextMoveAt = Now + CheckInterval;
  const LayerPath Path = attempt().path();
  auto IsSuspect = [&](const PathStage &Part) {
    return Part.m_Endpoint->m_SuspectUntil > Now ||
           Part.m_Endpoint->m_IsRemoved;
  };
  for (const PathStage &Part : Path)
    if (IsSuspect(Part))
      m_Planner.exclude(Part.m_Endpoint);
  if (IsSuspect(Path.front()) || attempt().m_Repaths >= MaxRepaths) {
    // The attempt counts towards the maximum unless the first engine was
    // removed from the list: a silent engine may still run the request.
    if (Path.front().m_Endpoint->m_IsRemoved)
      m_Stream.uncount(attempt());
    m_Stream.moveElsewhere("part-lost");
    return;
  }
  LayerPath NewPath;
  for (std::size_t Index = 0; Index < Path.size(); ++Index) {
    if (!IsSuspect(Path[Index])) {
      NewPath.push_back(Path[Index]);
      continue;
    }
    LayerPath Replacement = m_Planner.planReplacement(Path, Index, NewPath);
    if (Replacement.empty()) {
      m_Stream.moveElsewhere("no-detour");
      return;
    }
    NewPath.insert(NewPath.end(), Replacement.begin(), Replacement.end());
  }
  // A new part reads all tokens so far, and their state crosses the connection
  // between the domains twice. The streams of a lost engine together fill it
  // for seconds, while a whole path in one domain reads them without it.
  if (domainCrossings(NewPath) > domainCrossings(Path) &&
      m_Stream.moveElsewhere("part-lost"))
    return;
  ++attempt().m_Repaths;
  attempt().m_IsRepathing = true;
  auto Self = m_Stream.self();
  m_Context.metrics().countOrder("repath");
  m_Context.log().write(
      Now, "repath", m_Job.m_Id,
      {{"path", m_Context.protocol().pathText(NewPath)},
       {"silent_ms",
        std::int64_t((Now - attempt().m_LastProgressAt).count() / 1000)}});
  m_Context.callEndpoint(Path.front().m_Endpoint,
                         m_Context.protocol().repathCall(m_Job.m_Id, NewPath),
                         [this, Self, Ordered = m_Stream.attempt(),
                          NewPath](const CallReply &Reply) {
                           Ordered->m_IsRepathing = false;
                           if (!Self->hasEnded() && Self->attempt() == Ordered)
                             handleRepath(Reply.m_Status, NewPath);
                         });
}

void StreamRecovery::handleRepath(unsigned Status, const LayerPath &Path) {
  m_Context.log().write(m_Context.now(), "repath-answer", m_Job.m_Id,
                        {{"status", std::int64_t(Status)}});
  if (Status == 200 || Status == 202) {
    attempt().m_PathLoad.set(Path, m_Planner.tokens());
    attempt().m_LastProgressAt = m_Progress.m_LastProgressAt = m_Context.now();
    return;
  }
  m_Stream.moveElsewhere("repath-refused");
}

} // namespace parsleyring
