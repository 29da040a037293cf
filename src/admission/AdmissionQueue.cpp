#include "admission/AdmissionQueue.h"

namespace parsleyring {

// Few requests are sent per tick: if all waiting requests were sent at once,
// they would fill the endpoint again and be rejected together.
static constexpr int MaxSendsPerTick = 2;

RequestNumber AdmissionQueue::add(Time Now, WaitingRequest Request) {
  RequestNumber Number = ++m_LastNumber;
  m_Waiting.emplace(Number, std::move(Request));
  if (enqueue(Now, Number))
    return Number;
  m_Waiting.erase(Number);
  return 0;
}

bool AdmissionQueue::enqueue(Time Now, RequestNumber Number) {
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
    drop(*Result.m_Displaced);
  return Result.m_IsQueued;
}

void AdmissionQueue::remove(RequestNumber Number) {
  m_Queue.remove(Number);
  m_Waiting.erase(Number);
}

void AdmissionQueue::drop(RequestNumber Number) {
  auto Found = m_Waiting.find(Number);
  if (Found == m_Waiting.end())
    return;
  // Moved out first, since the handler may use this queue.
  auto Handler = std::move(Found->second.m_OnDropped);
  m_Waiting.erase(Found);
  Handler();
}

void AdmissionQueue::tick(Time Now) {
  for (RequestNumber Number : m_Queue.takeExpired(Now))
    drop(Number);
  // Requests that cannot be sent are set aside, so that a request without a
  // path, because some endpoints are excluded for it, does not block the
  // others.
  std::vector<RequestNumber> Unsent;
  int Sent = 0;
  while (Sent < MaxSendsPerTick) {
    auto Next = m_Queue.pop(Now);
    if (!Next)
      break;
    auto Found = m_Waiting.find(*Next);
    if (Found == m_Waiting.end())
      continue;
    // Copied, since the request may be removed from the queue during the call.
    auto TrySend = Found->second.m_TrySend;
    if (TrySend()) {
      m_Waiting.erase(*Next);
      ++Sent;
    } else {
      Unsent.push_back(*Next);
    }
  }
  // Requests added during the calls may have filled the queue.
  for (RequestNumber Number : Unsent)
    if (!enqueue(Now, Number))
      drop(Number);
}

} // namespace parsleyring
