#include "requests/EndpointSystem.h"

#include "requests/AuditRecords.h"

namespace parsleyring {

void EndpointSystem::loadReported(EventContext &Context,
                                  const LoadReported &Report) {
  m_State.m_Planner.noteLoad(Context.m_Now, Report);
  if (Report.m_IsDraining)
    endpointLeaving(Context, {Report.m_Endpoint, Report.m_Incarnation,
                              LeavingSource::LoadReport});
}

void EndpointSystem::endpointLeaving(EventContext &Context,
                                     const EndpointLeaving &Leaving) {
  if (!m_State.m_Planner.markLeaving(Context.m_Now, Leaving.m_Endpoint,
                                     Leaving.m_Incarnation))
    return;
  std::string Incarnation =
      Leaving.m_Incarnation.empty()
          ? currentIncarnation(Context.m_Now, Leaving.m_Endpoint)
          : Leaving.m_Incarnation;
  m_State.m_Counters.add(Counter::EndpointsLeaving);
  Context.add(leavingRecord(Context.m_Now, Leaving.m_Endpoint, Incarnation,
                            Leaving.m_Source));
  // A notice from a peer is not announced again: the VM that learned of it
  // first has told all other VMs directly. If each VM repeated the notice, the
  // number of messages would grow with the square of the number of VMs.
  if (Leaving.m_Source != LeavingSource::Peer)
    Context.add(AnnounceLeaving{Leaving.m_Endpoint, Incarnation});
}

void EndpointSystem::peersChanged(EventContext &Context,
                                  const PeersChanged &Change) {
  m_State.m_Accounts.setPeers(Change);
  m_State.m_Planner.setRouterCount(Change.m_LivePeers + 1);
  m_State.m_Planner.setUnreachableDomains(Change.m_UnreachableDomains);
  Context.add(membershipRecord(Context.m_Now, Change));
}

void EndpointSystem::quarantine(EventContext &Context,
                                const std::string &Endpoint,
                                const std::string &Reason,
                                RequestNumber Number) {
  Duration Length = m_State.m_Planner.quarantine(Context.m_Now, Endpoint);
  m_State.m_Counters.add(Counter::Quarantines);
  Context.add(
      quarantineRecord(Context.m_Now, Endpoint, Reason, Number, Length));
}

void EndpointSystem::noteStalled(EventContext &Context,
                                 const Attempt &Stalled) {
  m_State.m_Counters.add(Counter::AttemptsStalled);
  for (const std::string &Endpoint :
       m_State.m_Planner.noteStalled(Context.m_Now, Stalled.m_Number)) {
    m_State.m_Counters.add(Counter::Quarantines);
    Context.add(quarantineRecord(Context.m_Now, Endpoint, "stalls",
                                 Stalled.m_Request, std::nullopt));
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
