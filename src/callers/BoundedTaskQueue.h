#ifndef PARSLEYRING_CALLERS_BOUNDEDTASKQUEUE_H
#define PARSLEYRING_CALLERS_BOUNDEDTASKQUEUE_H

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace parsleyring {

/// Task queue of CallerServer: one thread per connection up to a limit. Further
/// connections wait briefly for a free thread and are then served by one of a
/// few threads on which isRefusing() is true, so that they get an answer.
class BoundedTaskQueue final : public httplib::TaskQueue {
public:
  explicit BoundedTaskQueue(std::size_t MaxThreads);
  ~BoundedTaskQueue() override;

  /// Blocks the accepting thread while the queue is full.
  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

  /// True on the threads that only answer that there is no capacity.
  static bool isRefusing();
  /// True while connections wait for a thread; idle connections should be
  /// closed.
  bool isSaturated() const { return m_IsSaturated; }

private:
  struct WaitingTask {
    std::function<void()> m_Task;
    std::chrono::steady_clock::time_point m_EnqueuedAt;
  };

  void runWorker();
  void runRefusingThread();

  const std::size_t m_MaxThreads;
  std::mutex m_Mutex;
  std::condition_variable m_HasTask;
  std::condition_variable m_HasSpace;
  std::deque<WaitingTask> m_Waiting;
  std::vector<std::thread> m_Threads;
  std::vector<std::thread> m_RefusingThreads;
  std::size_t m_IdleThreads = 0;
  bool m_IsStopping = false;
  std::atomic<bool> m_IsSaturated{false};
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_BOUNDEDTASKQUEUE_H
