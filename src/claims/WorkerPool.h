#ifndef PARSLEYRING_CLAIMS_WORKERPOOL_H
#define PARSLEYRING_CLAIMS_WORKERPOOL_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace parsleyring {

/// Fixed-size thread pool. Starts jobs, which may block, in the order of add().
class WorkerPool {
public:
  explicit WorkerPool(int Threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  void add(std::function<void()> Job);
  /// Waits for the running jobs and discards the queued ones.
  void stop();

private:
  void run();

  std::mutex m_Mutex;
  std::condition_variable m_WorkAvailable;
  std::deque<std::function<void()>> m_Jobs;
  bool m_IsStopping = false;
  std::vector<std::thread> m_Threads;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_WORKERPOOL_H
