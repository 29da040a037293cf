#include "gateway/LeavingRecorder.h"

namespace parsleyring {

static constexpr unsigned OtherEndpointStatus = 421;

// An answer with 421 comes from another endpoint, which uses the address now,
// and says nothing about this one. The copy of an answer to another request
// counts: the same process has sent it on the same connection.
void LeavingRecorder::noteAnswer(const FleetEndpoint &Endpoint,
                                 const ResponseHead &Head,
                                 std::string_view RequestId) {
  if (Head.m_Status == OtherEndpointStatus)
    return;
  const EndpointEntry &Entry = Endpoint.m_Entry;
  switch (m_Used.m_Protocol.leavingStatement(Head)) {
  case LeavingStatement::None:
    return;
  case LeavingStatement::Invalid:
    m_Used.m_Log.write(m_Now(), "endpoint-leaving-rejected", RequestId,
                       {{"endpoint", Entry.m_Id}});
    return;
  case LeavingStatement::Leaving:
    break;
  }
  Time Now = m_Now();
  if (!m_Used.m_Fleet.noteLeaving({Entry.m_Id, Entry.m_StartTimeMs}, true, Now))
    return;
  m_Used.m_Metrics.countLeaving("answer");
  m_Used.m_Log.write(
      Now, "endpoint-leaving", RequestId,
      {{"endpoint", Entry.m_Id}, {"started_at_ms", Entry.m_StartTimeMs}});
}

void LeavingRecorder::noteTold(const EndpointIncarnation &Endpoint,
                               const std::string &By) {
  if (m_Used.m_Fleet.noteLeaving(Endpoint, false, m_Now()))
    logTold(Endpoint, By);
}

void LeavingRecorder::logTold(const EndpointIncarnation &Endpoint,
                              const std::string &By) {
  m_Used.m_Metrics.countLeaving("peer");
  m_Used.m_Log.write(m_Now(), "endpoint-leaving", "",
                     {{"endpoint", Endpoint.m_Id},
                      {"started_at_ms", Endpoint.m_StartTimeMs},
                      {"by", By}});
}

} // namespace parsleyring
