#ifndef PARSLEYRING_ENDPOINTS_ATTEMPTRUNNER_H
#define PARSLEYRING_ENDPOINTS_ATTEMPTRUNNER_H

#include "endpoints/EndpointAttempt.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace parsleyring {

/// Thread pool of bounded size for attempts; each thread runs one at a time.
/// start() and cancel() do not block.
class AttemptRunner {
public:
  using EndCallback = std::function<void(AttemptNumber, AttemptReport)>;

  AttemptRunner(std::size_t MaxThreads, EndCallback OnEnd);
  ~AttemptRunner();

  /// Queues the attempt. OnEnd is called once for each started attempt.
  void start(AttemptNumber Number, std::shared_ptr<EndpointAttempt> Attempt);
  /// No effect on an attempt that has ended.
  void cancel(AttemptNumber Number);
  /// Cancels all attempts and joins the threads.
  void stop();

  std::size_t attemptCount() const;

private:
  void runWorker();

  const std::size_t m_MaxThreads;
  const EndCallback m_OnEnd;
  mutable std::mutex m_Mutex;
  std::condition_variable m_HasWork;
  std::unordered_map<AttemptNumber, std::shared_ptr<EndpointAttempt>>
      m_Attempts; ///< Queued and running.
  std::deque<AttemptNumber> m_Queued;
  std::vector<std::thread> m_Threads;
  std::size_t m_IdleThreads = 0;
  bool m_IsStopping = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_ATTEMPTRUNNER_H
