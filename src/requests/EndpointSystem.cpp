#include "requests/EndpointSystem.h"

#include "requests/AuditRecords.h"

namespace parsleyring {

void EndpointSystem::loadReported(Context &Call, const LoadReported &Report) {
  m_State.m_Planner.noteLoad(Call.m_Now, Report);
  if (Report.m_IsDraining)
    endpointLeaving(Call, {Report.m_Endpoint, Report.m_Incarnation,
                           LeavingSign::LoadReport});
}

void EndpointSystem::endpointLeaving(Context &Call,
                                     const EndpointLeaving &Leaving) {
  if (!m_State.m_Planner.markLeaving(Call.m_Now, Leaving.m_Endpoint,
                                     Leaving.m_Incarnation))
    return;
  std::string Incarnation =
      Leaving.m_Incarnation.empty()
          ? currentIncarnation(Call.m_Now, Leaving.m_Endpoint)
          : Leaving.m_Incarnation;
  m_State.m_Counters.add(Counter::EndpointsLeaving);
  Call.add(leavingRecord(Call.m_Now, Leaving.m_Endpoint, Incarnation,
                         Leaving.m_Sign));
  // The peer that learned of it first has told all other VMs directly. If each
  // of them repeated it, the messages would grow with the square of the number
  // of VMs.
  if (Leaving.m_Sign != LeavingSign::Peer)
    Call.add(AnnounceLeaving{Leaving.m_Endpoint, Incarnation});
}

void EndpointSystem::peersChanged(Context &Call, const PeersChanged &Change) {
  m_State.m_Accounts.setPeers(Change);
  m_State.m_Planner.setRouterCount(Change.m_LivePeers + 1);
  m_State.m_Planner.setUnreachableDomains(Change.m_UnreachableDomains);
  Call.add(membershipRecord(Call.m_Now, Change));
}

void EndpointSystem::quarantine(Context &Call, const std::string &Endpoint,
                                const std::string &Reason,
                                RequestNumber Number) {
  Duration Length = m_State.m_Planner.quarantine(Call.m_Now, Endpoint);
  m_State.m_Counters.add(Counter::Quarantines);
  Call.add(quarantineRecord(Call.m_Now, Endpoint, Reason, Number, Length));
}

void EndpointSystem::noteStalled(Context &Call, const Attempt &Stalled) {
  m_State.m_Counters.add(Counter::AttemptsStalled);
  for (const std::string &Endpoint :
       m_State.m_Planner.noteStalled(Call.m_Now, Stalled.m_Number)) {
    m_State.m_Counters.add(Counter::Quarantines);
    Call.add(quarantineRecord(Call.m_Now, Endpoint, "stalls", Stalled.m_Request,
                              std::nullopt));
  }
}

std::string
EndpointSystem::currentIncarnation(Time Now,
                                   const std::string &Endpoint) const {
  for (const EndpointStatus &Status : m_State.m_Planner.status(Now))
    if (Status.m_Endpoint == Endpoint)
      return Status.m_Incarnation;
  return {};
}

} // namespace parsleyring
