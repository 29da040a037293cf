#include "admission/MemoryWaitQueue.h"

#include <algorithm>

namespace parsleyring {

MemoryWaitQueue::MemoryWaitQueue(std::vector<MemoryBudget *> Budgets,
                                 std::function<Time()> Now,
                                 std::function<void(Task)> Post,
                                 std::function<void(const Task &)> Guard)
    : m_Budgets(std::move(Budgets)), m_Now(std::move(Now)),
      m_Post(std::move(Post)), m_Guard(std::move(Guard)) {
  for (MemoryBudget *Budget : m_Budgets)
    Budget->onRelease([this] { scheduleWake(); });
}

MemoryWaitQueue::~MemoryWaitQueue() {
  for (MemoryBudget *Budget : m_Budgets)
    Budget->onRelease(nullptr);
}

void MemoryWaitQueue::add(std::weak_ptr<MemoryWaiter> Waiter) {
  m_Waiting.push_back(std::move(Waiter));
}

// Posted, since memory is often released in the middle of other work, and since
// a retry may release memory itself.
void MemoryWaitQueue::scheduleWake() {
  if (m_IsWakeScheduled || m_Waiting.empty())
    return;
  m_IsWakeScheduled = true;
  m_Post([this, Alive = std::weak_ptr<char>(m_AliveToken)] {
    if (!Alive.expired())
      wake();
  });
}

void MemoryWaitQueue::wake() {
  m_IsWakeScheduled = false;
  std::size_t Count = std::min(m_Waiting.size(), MaxRetriesPerWake);
  bool HasProgress = false;
  for (; Count > 0 && !m_Waiting.empty(); --Count)
    HasProgress = retryFirst(false) || HasProgress;
  // There may be room for the others as well. Without progress, only another
  // release or the next tick changes that.
  if (HasProgress)
    scheduleWake();
}

void MemoryWaitQueue::tick() {
  for (std::size_t Count = m_Waiting.size(); Count > 0 && !m_Waiting.empty();
       --Count)
    retryFirst(true);
}

bool MemoryWaitQueue::retryFirst(bool MayRefuseStalled) {
  std::weak_ptr<MemoryWaiter> Entry = std::move(m_Waiting.front());
  m_Waiting.pop_front();
  std::shared_ptr<MemoryWaiter> Waiter = Entry.lock();
  if (!Waiter)
    return false;
  bool IsWaiting = false;
  // Nothing but this wakes the waiters, so an exception of one must not lose
  // the others.
  m_Guard([&] {
    IsWaiting = !Waiter->retryReceipt(m_Now());
    while (MayRefuseStalled && IsWaiting && Waiter->refuseStalled(m_Now()))
      IsWaiting = !Waiter->retryReceipt(m_Now());
  });
  if (IsWaiting)
    m_Waiting.push_back(std::move(Entry));
  return !IsWaiting;
}

} // namespace parsleyring
