#include "admission/AdmissionQueue.h"

namespace parsleyring {

// An endpoint that was full is tried with few requests first: all of those
// that wait would fill it again and be rejected together.
static constexpr int MostPerTick = 2;

RequestNumber AdmissionQueue::add(Time Now, WaitingRequest Added) {
  RequestNumber Number = ++m_LastNumber;
  m_Waiting.emplace(Number, std::move(Added));
  if (queue(Now, Number))
    return Number;
  m_Waiting.erase(Number);
  return 0;
}

bool AdmissionQueue::queue(Time Now, RequestNumber Number) {
  auto Found = m_Waiting.find(Number);
  if (Found == m_Waiting.end())
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

void AdmissionQueue::remove(RequestNumber Number) {
  m_Queue.remove(Number);
  m_Waiting.erase(Number);
}

void AdmissionQueue::giveUp(RequestNumber Number) {
  auto Found = m_Waiting.find(Number);
  if (Found == m_Waiting.end())
    return;
  // Moved out first, since the handler may use the queue.
  auto Handler = std::move(Found->second.m_GiveUp);
  m_Waiting.erase(Found);
  Handler();
}

void AdmissionQueue::tick(Time Now) {
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
    auto Found = m_Waiting.find(*Next);
    if (Found == m_Waiting.end())
      continue;
    // Copied, since the request may leave the queue while it is sent.
    auto Try = Found->second.m_Try;
    if (Try()) {
      m_Waiting.erase(*Next);
      ++Gone;
    } else {
      Waiting.push_back(*Next);
    }
  }
  // Others may have filled the queue while requests were sent.
  for (RequestNumber Number : Waiting)
    if (!queue(Now, Number))
      giveUp(Number);
}

} // namespace parsleyring
