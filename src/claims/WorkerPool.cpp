#include "claims/WorkerPool.h"

namespace parsleyring {

WorkerPool::WorkerPool(int Threads) {
  for (int Index = 0; Index < Threads; ++Index)
    m_Threads.emplace_back([this] { run(); });
}

WorkerPool::~WorkerPool() { stop(); }

void WorkerPool::add(std::function<void()> Job) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Jobs.push_back(std::move(Job));
  }
  m_WorkAvailable.notify_one();
}

void WorkerPool::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsStopping = true;
  }
  m_WorkAvailable.notify_all();
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
}

void WorkerPool::run() {
  for (;;) {
    std::function<void()> Job;
    {
      std::unique_lock<std::mutex> Lock(m_Mutex);
      m_WorkAvailable.wait(Lock,
                           [this] { return m_IsStopping || !m_Jobs.empty(); });
      if (m_IsStopping)
        return;
      Job = std::move(m_Jobs.front());
      m_Jobs.pop_front();
    }
    Job();
  }
}

} // namespace parsleyring
