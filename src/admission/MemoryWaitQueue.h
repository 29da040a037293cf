#ifndef PARSLEYRING_ADMISSION_MEMORYWAITQUEUE_H
#define PARSLEYRING_ADMISSION_MEMORYWAITQUEUE_H

#include "admission/MemoryBudget.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace parsleyring {

/// Something that waits for memory of a MemoryBudget.
class MemoryWaiter {
public:
  virtual ~MemoryWaiter() = default;
  /// Goes on if there is room, or gives up. Returns false if it still waits.
  virtual bool retryReceipt(Time Now) = 0;
  /// Refuses a stalled request in favor of this one. Returns false if there is
  /// none.
  virtual bool refuseStalled(Time Now) = 0;
};

/// Wakes those that wait for memory when some is released, and on each tick.
class MemoryWaitQueue {
public:
  using Task = std::function<void()>;

  /// Post runs a task later, outside of the current call; Guard runs a task and
  /// handles its exceptions. Budgets must outlive this object.
  MemoryWaitQueue(std::vector<MemoryBudget *> Budgets,
                  std::function<Time()> Now, std::function<void(Task)> Post,
                  std::function<void(const Task &)> Guard);
  ~MemoryWaitQueue();
  MemoryWaitQueue(const MemoryWaitQueue &) = delete;
  MemoryWaitQueue &operator=(const MemoryWaitQueue &) = delete;

  void add(std::weak_ptr<MemoryWaiter> Waiter);
  /// Retries all. Requests that have stalled make room for those that wait.
  void tick();
  std::size_t size() const { return m_Waiting.size(); }

  /// Number of waiters that one wake-up retries, so that the event loop is not
  /// held up. The others are retried by the next wake-up or tick.
  static constexpr std::size_t MaxRetriesPerWake = 8;

private:
  void scheduleWake();
  void wake();
  /// Retries the first one, which goes to the end if it still waits. Returns
  /// true if it no longer waits.
  bool retryFirst(bool MayRefuseStalled);

  const std::vector<MemoryBudget *> m_Budgets;
  const std::function<Time()> m_Now;
  const std::function<void(Task)> m_Post;
  const std::function<void(const Task &)> m_Guard;
  std::deque<std::weak_ptr<MemoryWaiter>> m_Waiting;
  bool m_IsWakeScheduled = false;
  /// Lets posted tasks find out that this object is gone.
  std::shared_ptr<char> m_AliveToken = std::make_shared<char>();
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_MEMORYWAITQUEUE_H
