#include "support/BackgroundLoad.h"

#include "support/Eventually.h"

namespace parsleyring {

/// Time between the calls of a caller, so that the load does not use all cores.
static constexpr std::chrono::milliseconds Pause{5};

BackgroundLoad::BackgroundLoad(unsigned Callers,
                               const std::function<void(unsigned)> &Call)
    : m_CompletedCalls(Callers) {
  for (unsigned Caller = 0; Caller < Callers; ++Caller)
    m_Threads.emplace_back([this, Call, Caller] {
      while (!m_IsStopping) {
        Call(Caller);
        ++m_CompletedCalls[Caller];
        std::this_thread::sleep_for(Pause);
      }
    });
}

BackgroundLoad::~BackgroundLoad() { stop(); }

void BackgroundLoad::stop() {
  m_IsStopping = true;
  for (std::thread &Caller : m_Threads)
    if (Caller.joinable())
      Caller.join();
}

std::vector<unsigned> BackgroundLoad::completedCalls() const {
  return {m_CompletedCalls.begin(), m_CompletedCalls.end()};
}

bool BackgroundLoad::waitForCalls(unsigned Count) const {
  std::vector<unsigned> Before = completedCalls();
  return eventually([&] {
    std::vector<unsigned> Now = completedCalls();
    for (std::size_t Caller = 0; Caller < Now.size(); ++Caller)
      if (Now[Caller] < Before[Caller] + Count)
        return false;
    return true;
  });
}

} // namespace parsleyring
