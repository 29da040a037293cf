#include "callers/BoundedTaskQueue.h"

namespace parsleyring {

using std::chrono::steady_clock;

static constexpr std::size_t RefusingThreadCount = 4;
/// Connections queued for a thread; further ones stay in the kernel's backlog.
static constexpr std::size_t MaxWaitingTasks = 1024;
/// Delay before a caller is refused, so that idle connections can be closed.
static constexpr std::chrono::milliseconds RefusalDelay(250);

static thread_local bool IsRefusingThread = false;

bool BoundedTaskQueue::isRefusing() { return IsRefusingThread; }

BoundedTaskQueue::BoundedTaskQueue(std::size_t MaxThreads)
    : m_MaxThreads(MaxThreads) {
  for (std::size_t Index = 0; Index < RefusingThreadCount; ++Index)
    m_RefusingThreads.emplace_back([this] { runRefusingThread(); });
}

BoundedTaskQueue::~BoundedTaskQueue() { shutdown(); }

void BoundedTaskQueue::enqueue(std::function<void()> Task) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_HasSpace.wait(Lock, [this] {
    return m_IsStopping || m_Waiting.size() < MaxWaitingTasks;
  });
  m_Waiting.push_back({std::move(Task), steady_clock::now()});
  if (m_IdleThreads >= m_Waiting.size()) {
    m_HasTask.notify_all();
    return;
  }
  if (m_Threads.size() < m_MaxThreads) {
    m_Threads.emplace_back([this] { runWorker(); });
    return;
  }
  m_IsSaturated = true;
  m_HasTask.notify_all();
}

void BoundedTaskQueue::runWorker() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    ++m_IdleThreads;
    m_HasTask.wait(Lock, [this] { return m_IsStopping || !m_Waiting.empty(); });
    --m_IdleThreads;
    if (m_Waiting.empty())
      return;
    WaitingTask Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    if (m_Waiting.empty())
      m_IsSaturated = false;
    m_HasSpace.notify_one();
    Lock.unlock();
    Next.m_Task();
    Next.m_Task = nullptr;
    Lock.lock();
  }
}

void BoundedTaskQueue::runRefusingThread() {
  IsRefusingThread = true;
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    m_HasTask.wait(Lock, [this] {
      return m_IsStopping || (m_IsSaturated && !m_Waiting.empty());
    });
    if (m_IsStopping)
      return; // The workers drain the queue.
    auto Due = m_Waiting.front().m_EnqueuedAt + RefusalDelay;
    if (steady_clock::now() < Due) {
      m_HasTask.wait_until(Lock, Due, [this] { return m_IsStopping; });
      continue;
    }
    WaitingTask Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    if (m_Waiting.empty())
      m_IsSaturated = false;
    m_HasSpace.notify_one();
    Lock.unlock();
    Next.m_Task();
    Next.m_Task = nullptr;
    Lock.lock();
  }
}

void BoundedTaskQueue::shutdown() {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_IsStopping = true;
  }
  m_HasTask.notify_all();
  m_HasSpace.notify_all();
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
  for (std::thread &Thread : m_RefusingThreads)
    if (Thread.joinable())
      Thread.join();
}

} // namespace parsleyring
