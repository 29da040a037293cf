#ifndef PARSLEYRING_TESTS_SUPPORT_CALLERTHREADS_H
#define PARSLEYRING_TESTS_SUPPORT_CALLERTHREADS_H

#include <functional>
#include <thread>
#include <vector>

namespace parsleyring {

/// Threads that are joined by the destructor, also after a failed check.
class CallerThreads {
public:
  CallerThreads() = default;
  ~CallerThreads() { join(); }
  CallerThreads(const CallerThreads &) = delete;
  CallerThreads &operator=(const CallerThreads &) = delete;

  void add(std::function<void()> Work) {
    m_Threads.emplace_back(std::move(Work));
  }

  void join() {
    for (std::thread &Thread : m_Threads)
      Thread.join();
    m_Threads.clear();
  }

private:
  std::vector<std::thread> m_Threads;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_CALLERTHREADS_H
