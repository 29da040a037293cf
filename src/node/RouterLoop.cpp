#include "node/RouterLoop.h"

#include <glog/logging.h>

namespace parsleyring {

RouterLoop::RouterLoop(const RouterOptions &Options, const NodeClock &Clock,
                       Executor Execute, Observer Observe)
    : m_Clock(Clock), m_Execute(std::move(Execute)),
      m_Observe(std::move(Observe)), m_Router(Options) {}

RouterLoop::~RouterLoop() { stop(); }

void RouterLoop::post(LoopInput Input) {
  std::unique_lock<std::mutex> Lock(m_InputMutex);
  m_Inputs.push_back(std::move(Input));
  if (m_IsHandling)
    return;
  m_IsHandling = true;
  while (!m_Inputs.empty()) {
    LoopInput Next = std::move(m_Inputs.front());
    m_Inputs.pop_front();
    Lock.unlock();
    handle(Next);
    Lock.lock();
  }
  m_IsHandling = false;
}

void RouterLoop::handle(LoopInput &Input) {
  std::lock_guard<std::mutex> Guard(m_RouterMutex);
  Time Now = m_Clock.now();
  try {
    if (m_Observe)
      m_Observe(Now, Input.m_Event);
    m_Actions.clear();
    m_Router.handle(Now, Input.m_Event, m_Actions);
  } catch (const std::exception &Error) {
    // The actions added so far are still executed, since the Router's state
    // already reflects them.
    LOG(ERROR) << "handling event " << name(Input.m_Event)
               << " failed: " << Error.what();
  }
  for (const Action &Next : m_Actions) {
    try {
      m_Execute(Now, Next, Input);
    } catch (const std::exception &Error) {
      LOG(ERROR) << "action of event " << name(Input.m_Event)
                 << " failed: " << Error.what();
    }
  }
}

void RouterLoop::start() {
  m_TickThread = std::thread([this] { runTicks(); });
}

void RouterLoop::runTicks() {
  auto Next = std::chrono::steady_clock::now();
  std::unique_lock<std::mutex> Lock(m_TickMutex);
  while (!m_IsStopping) {
    Lock.unlock();
    post(Tick{});
    Lock.lock();
    // Ticks missed while the process was paused are skipped.
    Next = std::max(Next + TickInterval, std::chrono::steady_clock::now());
    m_Stopped.wait_until(Lock, Next, [this] { return m_IsStopping; });
  }
}

void RouterLoop::stop() {
  {
    std::lock_guard<std::mutex> Guard(m_TickMutex);
    m_IsStopping = true;
  }
  m_Stopped.notify_all();
  if (m_TickThread.joinable())
    m_TickThread.join();
}

RouterCounters RouterLoop::counters() const {
  std::lock_guard<std::mutex> Guard(m_RouterMutex);
  return m_Router.counters();
}

ConfigurationVersion RouterLoop::configurationVersion() const {
  std::lock_guard<std::mutex> Guard(m_RouterMutex);
  return m_Router.configurationVersion();
}

bool RouterLoop::hasRequestsInProgress() const {
  std::lock_guard<std::mutex> Guard(m_RouterMutex);
  return m_Router.hasRequestsInProgress();
}

} // namespace parsleyring
