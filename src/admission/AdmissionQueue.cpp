#include "admission/AdmissionQueue.h"

#include "core/ScopeGuard.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace parsleyring {

// Ticks per second.
static constexpr double TickRate = 25;

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
  Entry.m_Priority = 0;
  Entry.m_Deadline = Found->second.m_Until;
  std::int32_t Priority = Found->second.m_Priority;
  bool HasPlace = makeRoom(Priority);
  FairQueue &Queue = m_Queues.try_emplace(Priority, 0).first->second;
  Queue.setLimit(Queue.size() + (HasPlace ? 1 : 0));
  PushResult Result = Queue.push(Now, Entry);
  if (Result.m_Displaced)
    drop(*Result.m_Displaced);
  return Result.m_IsQueued;
}

// Returns false if only a request of the same priority may be displaced.
bool AdmissionQueue::makeRoom(std::int32_t Priority) {
  std::size_t Queued = 0;
  for (const auto &[Each, Queue] : m_Queues)
    Queued += Queue.size();
  if (Queued < m_MaxLength)
    return true;
  std::size_t Kept = m_MaxLength / KeptPlacesPart;
  std::size_t Lower = 0;
  std::size_t Own = 0;
  FairQueue *Lowest = nullptr;
  FairQueue *Largest = nullptr;
  for (auto &[Each, Queue] : m_Queues) {
    if (Each < Priority)
      Lower += Queue.size();
    if (Each <= Priority)
      Own += Queue.size();
    if (!Lowest && Each < Priority && Queue.size() > 0)
      Lowest = &Queue;
    if (Each > Priority && (!Largest || Queue.size() > Largest->size()))
      Largest = &Queue;
  }
  std::optional<RequestNumber> Displaced;
  if (Lowest && Lower > Kept)
    Displaced = Lowest->displace();
  else if (Largest && Own < Kept)
    Displaced = Largest->displace();
  if (Displaced)
    drop(*Displaced);
  return Displaced.has_value();
}

void AdmissionQueue::remove(RequestNumber Number) {
  auto Found = m_Waiting.find(Number);
  if (Found == m_Waiting.end())
    return;
  auto Queue = m_Queues.find(Found->second.m_Priority);
  if (Queue != m_Queues.end())
    Queue->second.remove(Number);
  m_Waiting.erase(Found);
}

void AdmissionQueue::drop(RequestNumber Number) {
  auto Found = m_Waiting.find(Number);
  // A request that is being sent is dropped afterwards, if it was not sent.
  if (Found == m_Waiting.end() || Number == m_Trying)
    return;
  // Moved out first, since the handler may use this queue.
  auto Handler = std::move(Found->second.m_OnDropped);
  m_Waiting.erase(Found);
  Handler();
}

void AdmissionQueue::setRate(double RequestsPerSecond, Duration Wait) {
  double Seconds = std::chrono::duration<double>(Wait).count();
  double Length = std::clamp(std::ceil(RequestsPerSecond * Seconds),
                             static_cast<double>(MinMaxLength),
                             static_cast<double>(MaxMaxLength));
  m_MaxLength = static_cast<std::size_t>(Length);
  double PerTick = std::min(std::ceil(RequestsPerSecond / TickRate), Length);
  m_SendsPerTick = std::max(MinSendsPerTick, static_cast<int>(PerTick));
}

std::size_t AdmissionQueue::sizeFrom(std::int32_t Priority) const {
  return std::count_if(m_Waiting.begin(), m_Waiting.end(),
                       [Priority](const auto &Each) {
                         return Each.second.m_Priority >= Priority;
                       });
}

// Of each other account, as many requests are sent before as of this one.
std::size_t AdmissionQueue::sizeBefore(std::int32_t Priority,
                                       const std::string &Account) const {
  std::size_t Higher = 0;
  std::map<std::string, std::size_t> Same;
  for (const auto &[Number, Each] : m_Waiting) {
    Higher += Each.m_Priority > Priority;
    if (Each.m_Priority == Priority)
      ++Same[Each.m_Account];
  }
  std::size_t Own = Same[Account];
  std::size_t Size = Higher + Own;
  for (const auto &[Name, Count] : Same)
    if (Name != Account)
      Size += std::min(Count, Own + 1);
  return Size;
}

std::map<std::int32_t, std::size_t> AdmissionQueue::sizesByPriority() const {
  std::map<std::int32_t, std::size_t> Sizes;
  for (const auto &[Number, Each] : m_Waiting)
    ++Sizes[Each.m_Priority];
  return Sizes;
}

bool AdmissionQueue::trySend(Time Now, RequestNumber Number) {
  auto Found = m_Waiting.find(Number);
  if (Found == m_Waiting.end())
    return false;
  std::int32_t Priority = Found->second.m_Priority;
  // Copied, since the request may be removed from the queue during the call.
  auto TrySend = Found->second.m_TrySend;
  m_Trying = Number;
  ScopeGuard EndTrial([this] { m_Trying = 0; });
  bool IsSent = TrySend();
  m_Trying = 0;
  auto Queue = m_Queues.find(Priority);
  if (IsSent) {
    m_Waiting.erase(Number);
    if (Queue != m_Queues.end())
      Queue->second.take(Number);
    return true;
  }
  // Requests added during the call may have displaced it.
  bool IsQueued = Queue != m_Queues.end() && Queue->second.contains(Number);
  if (!IsQueued && !enqueue(Now, Number))
    drop(Number);
  return false;
}

void AdmissionQueue::tick(Time Now) {
  std::vector<RequestNumber> Expired;
  for (auto Each = m_Queues.begin(); Each != m_Queues.end();) {
    for (RequestNumber Number : Each->second.takeExpired(Now))
      Expired.push_back(Number);
    Each = Each->second.size() == 0 ? m_Queues.erase(Each) : std::next(Each);
  }
  for (RequestNumber Number : Expired)
    drop(Number);
  // Requests by priority, lowest first. All of them are tried, so that a
  // request without a path, because some endpoints are excluded for it, does
  // not block the others.
  std::deque<std::deque<RequestNumber>> Order;
  for (const auto &[Priority, Queue] : m_Queues) {
    std::vector<RequestNumber> Numbers = Queue.order(Now);
    Order.emplace_back(Numbers.begin(), Numbers.end());
  }
  int Sent = 0;
  while (Sent < m_SendsPerTick && !Order.empty()) {
    bool IsLowestTurn = m_Sends == LowestPriorityTurn - 1;
    auto &Next = IsLowestTurn ? Order.front() : Order.back();
    if (Next.empty()) {
      IsLowestTurn ? Order.pop_front() : Order.pop_back();
      continue;
    }
    RequestNumber Number = Next.front();
    Next.pop_front();
    if (trySend(Now, Number)) {
      m_Sends = (m_Sends + 1) % LowestPriorityTurn;
      ++Sent;
    }
  }
}

} // namespace parsleyring
