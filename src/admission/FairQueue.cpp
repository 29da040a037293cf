#include "admission/FairQueue.h"

#include <algorithm>

namespace parsleyring {

// Lower bound of a share, since the cost is divided by the share.
static constexpr double MinShare = 1e-3;

PushResult FairQueue::push(Time, const QueueEntry &Entry) {
  PushResult Result;
  if (m_Entries.count(Entry.m_Request))
    return Result;
  if (m_Entries.size() >= m_Limit) {
    Result.m_Displaced = displaceFor(Entry);
    if (!Result.m_Displaced)
      return Result;
  }
  Flow &Account = m_Flows[Entry.m_Account];
  if (Account.m_Waiting.empty())
    Account.m_StartTag = std::max(Account.m_StartTag, m_VirtualTime);
  Account.m_Share = std::max(Entry.m_Share, MinShare);
  Position At{Entry.m_Priority, m_ArrivalCount++};
  Account.m_Waiting.emplace(At, Entry.m_Request);
  m_Entries[Entry.m_Request] = {Entry.m_Account, At, Entry.m_Cost,
                                Entry.m_Deadline};
  m_Deadlines.emplace(Entry.m_Deadline, Entry.m_Request);
  Result.m_IsQueued = true;
  return Result;
}

std::optional<RequestNumber> FairQueue::displaceFor(const QueueEntry &Entry) {
  auto WaitingPerShare = [](const Flow &Account, double Extra) {
    return (static_cast<double>(Account.m_Waiting.size()) + Extra) /
           Account.m_Share;
  };
  const Flow *Largest = nullptr;
  for (const auto &[Name, Account] : m_Flows)
    if (!Account.m_Waiting.empty() &&
        (!Largest ||
         WaitingPerShare(Account, 0) > WaitingPerShare(*Largest, 0)))
      Largest = &Account;
  if (!Largest)
    return std::nullopt;
  auto Own = m_Flows.find(Entry.m_Account);
  std::size_t OwnWaiting =
      Own == m_Flows.end() ? 0 : Own->second.m_Waiting.size();
  double OwnWaitingPerShare =
      (static_cast<double>(OwnWaiting) + 1) / std::max(Entry.m_Share, MinShare);
  // The comparison is strict, so that two accounts cannot displace each other
  // alternately.
  if (WaitingPerShare(*Largest, 0) <= OwnWaitingPerShare)
    return std::nullopt;
  RequestNumber Displaced = Largest->m_Waiting.rbegin()->second;
  erase(Displaced);
  return Displaced;
}

std::optional<RequestNumber> FairQueue::front(Time Now) const {
  const Flow *Best = nullptr;
  std::optional<RequestNumber> Next;
  for (const auto &[Name, Account] : m_Flows) {
    if (Best && Account.m_StartTag >= Best->m_StartTag)
      continue;
    auto Unexpired =
        std::find_if(Account.m_Waiting.begin(), Account.m_Waiting.end(),
                     [&](const auto &Item) {
                       return m_Entries.at(Item.second).m_Deadline > Now;
                     });
    if (Unexpired == Account.m_Waiting.end())
      continue;
    Best = &Account;
    Next = Unexpired->second;
  }
  return Next;
}

std::optional<RequestNumber> FairQueue::pop(Time Now) {
  auto Next = front(Now);
  if (!Next)
    return Next;
  const QueuedRequest &Entry = m_Entries.at(*Next);
  Flow &Account = m_Flows.at(Entry.m_Account);
  m_VirtualTime = std::max(m_VirtualTime, Account.m_StartTag);
  Account.m_StartTag += Entry.m_Cost / Account.m_Share;
  erase(*Next);
  removeIdleFlows();
  return Next;
}

bool FairQueue::remove(RequestNumber Request) {
  if (!m_Entries.count(Request))
    return false;
  erase(Request);
  removeIdleFlows();
  return true;
}

std::vector<RequestNumber> FairQueue::takeExpired(Time Now) {
  std::vector<RequestNumber> Expired;
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= Now) {
    Expired.push_back(m_Deadlines.begin()->second);
    erase(Expired.back());
  }
  if (!Expired.empty())
    removeIdleFlows();
  return Expired;
}

void FairQueue::erase(RequestNumber Request) {
  auto Found = m_Entries.find(Request);
  const QueuedRequest &Entry = Found->second;
  m_Flows.at(Entry.m_Account).m_Waiting.erase(Entry.m_Position);
  m_Deadlines.erase({Entry.m_Deadline, Request});
  m_Entries.erase(Found);
}

void FairQueue::removeIdleFlows() {
  // An idle account whose start tag is ahead of the virtual time is kept.
  // Otherwise the account could overtake the others by letting its queue run
  // empty.
  bool IsIdle = m_Entries.empty();
  for (auto At = m_Flows.begin(); At != m_Flows.end();) {
    const Flow &Account = At->second;
    bool IsRemovable = Account.m_Waiting.empty() &&
                       (IsIdle || Account.m_StartTag <= m_VirtualTime);
    At = IsRemovable ? m_Flows.erase(At) : std::next(At);
  }
  if (IsIdle)
    m_VirtualTime = 0;
}

} // namespace parsleyring
