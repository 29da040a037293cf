#include "admission/WaitingLine.h"

namespace parsleyring {

// An endpoint that was full is tried with few requests first: all of those
// that wait would fill it again and be rejected together.
static constexpr int MostPerTick = 2;

RequestNumber WaitingLine::add(Time Now, Visitor Joining) {
  RequestNumber Number = ++m_LastNumber;
  QueueEntry Entry;
  Entry.m_Request = Number;
  Entry.m_Account = Joining.m_Account;
  Entry.m_Priority = Joining.m_Priority;
  Entry.m_Deadline = Joining.m_Until;
  PushResult Result = m_Queue.push(Now, Entry);
  if (!Result.m_IsQueued)
    return 0;
  m_Visitors.emplace(Number, std::move(Joining));
  if (Result.m_Displaced)
    giveUp(*Result.m_Displaced);
  return Number;
}

void WaitingLine::remove(RequestNumber Number) {
  m_Queue.remove(Number);
  m_Visitors.erase(Number);
}

void WaitingLine::giveUp(RequestNumber Number) {
  auto Found = m_Visitors.find(Number);
  if (Found == m_Visitors.end())
    return;
  // Moved out first, since the handler may use the line.
  auto Handler = std::move(Found->second.m_GiveUp);
  m_Visitors.erase(Found);
  Handler();
}

void WaitingLine::tick(Time Now) {
  for (RequestNumber Number : m_Queue.takeExpired(Now))
    giveUp(Number);
  for (int Count = 0; Count < MostPerTick; ++Count) {
    auto Next = m_Queue.front(Now);
    if (!Next)
      return;
    // Copied, since the request may leave the line while it is sent.
    auto Try = m_Visitors.at(*Next).m_Try;
    if (!Try())
      return;
    if (m_Queue.front(Now) == Next)
      m_Queue.pop(Now);
    remove(*Next);
  }
}

} // namespace parsleyring
