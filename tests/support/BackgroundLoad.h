#ifndef PARSLEYRING_TESTS_SUPPORT_BACKGROUNDLOAD_H
#define PARSLEYRING_TESTS_SUPPORT_BACKGROUNDLOAD_H

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace parsleyring {

/// Caller threads that each repeat a call until stop().
class BackgroundLoad {
public:
  /// Call receives the index of the caller, and must not use CppUTest checks,
  /// since it runs in another thread.
  BackgroundLoad(unsigned Callers, const std::function<void(unsigned)> &Call);
  ~BackgroundLoad();
  BackgroundLoad(const BackgroundLoad &) = delete;
  BackgroundLoad &operator=(const BackgroundLoad &) = delete;

  /// Starts no further calls, and waits for those in progress.
  void stop();
  /// Number of completed calls of each caller.
  std::vector<unsigned> completedCalls() const;
  /// Waits until each caller has completed Count further calls. Returns false
  /// after the limit of eventually().
  bool waitForCalls(unsigned Count) const;

private:
  std::atomic<bool> m_IsStopping{false};
  std::vector<std::atomic<unsigned>> m_CompletedCalls;
  std::vector<std::thread> m_Threads;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_BACKGROUNDLOAD_H
