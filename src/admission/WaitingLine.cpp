#include "admission/WaitingLine.h"

namespace parsleyring {

// An endpoint that was full is tried with few requests first: all of those
// that wait would fill it again and be rejected together.
static constexpr int MostPerTick = 2;

RequestNumber WaitingLine::add(Time Now, Visitor Joining) {
  RequestNumber Number = ++m_LastNumber;
  m_Visitors.emplace(Number, std::move(Joining));
  if (queue(Now, Number))
    return Number;
  m_Visitors.erase(Number);
  return 0;
}

bool WaitingLine::queue(Time Now, RequestNumber Number) {
  auto Found = m_Visitors.find(Number);
  if (Found == m_Visitors.end())
    return false;
  QueueEntry Entry;
  Entry.m_Request = Number;
  Entry.m_Account = Found->second.m_Account;
  Entry.m_Priority = Found->second.m_Priority;
  Entry.m_Deadline = Found->second.m_Until;
  PushResult Result = m_Queue.push(Now, Entry);
  if (Result.m_Displaced)
    giveUp(*Result.m_Displaced);
  return Result.m_IsQueued;
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
  // A request that has no path, because it must not use some endpoints again,
  // does not hold up the others.
  std::vector<RequestNumber> Waiting;
  int Gone = 0;
  while (Gone < MostPerTick) {
    auto Next = m_Queue.pop(Now);
    if (!Next)
      break;
    auto Found = m_Visitors.find(*Next);
    if (Found == m_Visitors.end())
      continue;
    // Copied, since the request may leave the line while it is sent.
    auto Try = Found->second.m_Try;
    if (Try()) {
      m_Visitors.erase(*Next);
      ++Gone;
    } else {
      Waiting.push_back(*Next);
    }
  }
  // Others may have taken the places while requests were sent.
  for (RequestNumber Number : Waiting)
    if (!queue(Now, Number))
      giveUp(Number);
}

} // namespace parsleyring
