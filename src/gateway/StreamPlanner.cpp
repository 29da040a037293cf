#include "gateway/StreamPlanner.h"

#include <algorithm>

namespace parsleyring {

double StreamPlanner::answerTokensLeft() const {
  const auto &Engine = m_Job.m_Service->m_Engine;
  double PerEvent = Engine ? Engine->m_TokensPerEvent : 1;
  return std::max(PerEvent,
                  m_Fields.m_AnswerTokens - m_Progress.m_Events * PerEvent);
}

PathQuery StreamPlanner::pathQuery() const {
  PathQuery Query;
  Query.m_PromptTokens = m_Fields.m_PromptTokens;
  Query.m_AnswerTokens = answerTokensLeft();
  Query.m_FailureDomain = m_Context.failureDomain();
  Query.m_LoadFactor = m_Context.loadFactor();
  Query.m_Excluded = m_ExcludedEndpoints;
  return Query;
}

// The engines at which a path can begin: only these get a request.
std::vector<FleetTable::Handle> StreamPlanner::firstEngines() const {
  Time Now = m_Context.now();
  std::vector<FleetTable::Handle> Result;
  for (const FleetTable::Handle &Engine :
       m_Context.fleet().endpointsOfService(m_Job.m_Service->m_Name))
    if (Engine->canServe(Now) && Engine->m_Entry.m_Layers.m_First == 0 &&
        Engine->m_Entry.m_Layers.m_End > 0)
      Result.push_back(Engine);
  return Result;
}

LimitedCapacity StreamPlanner::limitedCapacity() const {
  return LimitedCapacity::after(
      m_Context.admissionQueue(m_Job.m_Service->m_Name).size(), firstEngines(),
      m_Context.now());
}

std::optional<Time> StreamPlanner::restEnd() const {
  const EngineModel &Model = *m_Job.m_Service->m_Engine;
  PathQuery Query = pathQuery();
  Query.m_Layers = {0, Model.m_Layers};
  return LayerPathPlanner::restEnd(
      Model, m_Context.fleet().endpointsOfService(m_Job.m_Service->m_Name),
      Query, m_Context.now());
}

void StreamPlanner::exclude(const FleetTable::Handle &Endpoint) {
  if (std::find(m_ExcludedEndpoints.begin(), m_ExcludedEndpoints.end(),
                Endpoint) == m_ExcludedEndpoints.end())
    m_ExcludedEndpoints.push_back(Endpoint);
}

void StreamPlanner::noteDemand(const LayerPath &Path) {
  if (!Path.empty() && !m_IsDemandCounted)
    Path.front().m_Endpoint->m_LimitShare.noteDemand(m_Context.now());
}

// Engines that state a limit are left to the requests that already wait.
bool StreamPlanner::mayBegin(FleetEndpoint &Engine,
                             const LimitedWait *Wait) const {
  if (Wait)
    return Wait->allows(Engine, m_Context.limitUsers(), m_Context.random(),
                        m_Context.now());
  bool IsOvertaking =
      Engine.m_Limit.rate() &&
      !m_Context.admissionQueue(m_Job.m_Service->m_Name).empty();
  return Engine.isWithinLimit(m_Context.limitUsers(), m_Context.random(),
                              m_Context.now()) &&
         !IsOvertaking;
}

// A new path, or a new part of one, reads all tokens so far.
LayerPath StreamPlanner::planWithinLinks(const PathQuery &Query) {
  LinkUse Use = m_Progress.m_Events > 0 ? LinkUse::Begun
                : m_Job.m_Priority <= 0 ? LinkUse::Urgent
                                        : LinkUse::Ordinary;
  double TokensSoFar =
      m_Fields.m_PromptTokens +
      m_Progress.m_Events * m_Job.m_Service->m_Engine->m_TokensPerEvent;
  return m_Links.plan(Query, Use, TokensSoFar + answerTokensLeft());
}

LayerPath
StreamPlanner::planPath(const std::vector<FleetTable::Handle> &OpenEngines,
                        const LimitedWait *Wait) {
  PathQuery Query = pathQuery();
  const EngineModel &Model = *m_Job.m_Service->m_Engine;
  Query.m_Layers = {0, Model.m_Layers};
  auto Plan = [&] { return planWithinLinks(Query); };
  LayerPath Path = Plan();
  if (Path.empty() && !m_ExcludedEndpoints.empty()) {
    // An endpoint that was silent or failed may be sound again.
    Query.m_Excluded = OpenEngines;
    Path = Plan();
  }
  bool IsAllowed = Path.empty() || mayBegin(*Path.front().m_Endpoint, Wait);
  noteDemand(Path);
  m_IsLimited = false;
  if (!IsAllowed) {
    for (const FleetTable::Handle &Engine : firstEngines())
      if (!mayBegin(*Engine, Wait))
        Query.m_NotFirst.push_back(Engine);
    Path = Plan();
    noteDemand(Path);
    m_IsLimited = Path.empty();
  }
  // A waiting request is planned again and again.
  m_IsDemandCounted = true;
  return Path;
}

LayerPath StreamPlanner::planReplacement(const LayerPath &Path,
                                         std::size_t Index,
                                         const LayerPath &NewPath) {
  PathQuery Query = pathQuery();
  Query.m_PromptTokens += m_Progress.m_Events;
  Query.m_Layers = Path[Index].m_Layers;
  Query.m_FailureDomain = Path[Index - 1].m_Endpoint->m_Entry.m_FailureDomain;
  for (const PathStage &Part : Path)
    Query.m_Excluded.push_back(Part.m_Endpoint);
  for (const PathStage &Part : NewPath)
    Query.m_Excluded.push_back(Part.m_Endpoint);
  if (Index + 1 < Path.size())
    Query.m_NextEndpoint = Path[Index + 1].m_Endpoint;
  return planWithinLinks(Query);
}

} // namespace parsleyring
