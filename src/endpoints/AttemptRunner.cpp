#include "endpoints/AttemptRunner.h"

#include <glog/logging.h>

#include <algorithm>

namespace parsleyring {

AttemptRunner::AttemptRunner(std::size_t MaxThreads, EndCallback OnEnd)
    : m_MaxThreads(MaxThreads), m_OnEnd(std::move(OnEnd)) {}

AttemptRunner::~AttemptRunner() { stop(); }

void AttemptRunner::start(AttemptNumber Number,
                          std::shared_ptr<EndpointAttempt> Attempt) {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  m_Attempts[Number] = std::move(Attempt);
  m_Queued.push_back(Number);
  if (m_IdleThreads < m_Queued.size() && m_Threads.size() < m_MaxThreads)
    m_Threads.emplace_back([this] { runWorker(); });
  else
    m_HasWork.notify_one();
}

void AttemptRunner::cancel(AttemptNumber Number) {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    auto Found = m_Attempts.find(Number);
    if (Found == m_Attempts.end())
      return;
    auto Queued = std::find(m_Queued.begin(), m_Queued.end(), Number);
    if (Queued == m_Queued.end()) {
      Found->second->cancel();
      return;
    }
    m_Queued.erase(Queued);
    m_Attempts.erase(Found);
  }
  m_OnEnd(Number,
          {AttemptResult::Cancelled, 0, "cancelled before it began", {}, {}});
}

static AttemptReport runCatchingErrors(EndpointAttempt &Attempt) {
  try {
    return Attempt.run();
  } catch (const std::exception &Error) {
    LOG(ERROR) << "attempt threw an exception: " << Error.what();
    // Part of the request may have been sent: whether it ran is unknown.
    return {AttemptResult::ConnectionLost, 0, Error.what(), {}, {}};
  }
}

void AttemptRunner::runWorker() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    ++m_IdleThreads;
    m_HasWork.wait(Lock, [this] { return m_IsStopping || !m_Queued.empty(); });
    --m_IdleThreads;
    if (m_Queued.empty())
      return;
    AttemptNumber Number = m_Queued.front();
    m_Queued.pop_front();
    std::shared_ptr<EndpointAttempt> Attempt = m_Attempts.at(Number);
    Lock.unlock();
    AttemptReport Report = runCatchingErrors(*Attempt);
    Lock.lock();
    m_Attempts.erase(Number);
    Lock.unlock();
    Attempt.reset();
    m_OnEnd(Number, std::move(Report));
    Lock.lock();
  }
}

void AttemptRunner::stop() {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_IsStopping = true;
    for (auto &[Number, Attempt] : m_Attempts)
      Attempt->cancel();
  }
  m_HasWork.notify_all();
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
}

std::size_t AttemptRunner::attemptCount() const {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Attempts.size();
}

} // namespace parsleyring
