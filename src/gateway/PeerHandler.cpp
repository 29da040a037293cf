#include "gateway/PeerHandler.h"

namespace parsleyring {

void PeerHandler::handleRequest(
    CallerRequest Request,
    const std::shared_ptr<CallerConnection> &Connection) {
  if (Request.m_Target == PeerState::Target) {
    answerState(*Connection);
    return;
  }
  auto Call = PeerItemsCall::parse(Request.m_Target);
  if (!Call) {
    Connection->answer(404, {}, "");
    return;
  }
  if (m_Used.m_StoreWatcher.hasNewerThan(Call->m_Version) ||
      Call->m_Wait == Duration::zero() || !m_Used.m_StoreWatcher.isFresh())
    answer(*Connection, Call->m_Version);
  else
    m_WaitingCalls.push_back(
        {Connection, Call->m_Version, now() + Call->m_Wait});
}

void PeerHandler::answerAll() {
  answerIf([](const WaitingCall &) { return true; });
}

void PeerHandler::answerDue(Time Now) {
  // Without recent contact to the store, all waiting calls end at once, so
  // that the other VMs can use another source.
  bool IsFresh = m_Used.m_StoreWatcher.isFresh();
  answerIf([Now, IsFresh](const WaitingCall &Entry) {
    return Now >= Entry.m_Until || !IsFresh;
  });
}

void PeerHandler::answerState(CallerConnection &Connection) {
  PeerState State{m_Used.m_Configuration.text(),
                  m_Used.m_Fleet.leavingIncarnations(),
                  m_Used.m_Fleet.statedLeaving()};
  Connection.answer(200, {{"Content-Type", "application/cbor"}},
                    State.encode());
}

void PeerHandler::answer(CallerConnection &Connection,
                         const StoreVersion &Version) {
  Connection.answer(200, {{"Content-Type", "application/cbor"}},
                    m_Used.m_StoreWatcher.itemsSince(Version).encode());
}

template <typename Condition> void PeerHandler::answerIf(Condition IsDue) {
  std::vector<WaitingCall> Remaining;
  for (WaitingCall &Entry : m_WaitingCalls) {
    if (Entry.m_Connection->isClosed())
      continue;
    if (IsDue(Entry))
      answer(*Entry.m_Connection, Entry.m_Version);
    else
      Remaining.push_back(std::move(Entry));
  }
  m_WaitingCalls = std::move(Remaining);
}

} // namespace parsleyring
