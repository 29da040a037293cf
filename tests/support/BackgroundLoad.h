#ifndef PARSLEYRING_TESTS_SUPPORT_BACKGROUNDLOAD_H
#define PARSLEYRING_TESTS_SUPPORT_BACKGROUNDLOAD_H

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace parsleyring {

/// Callers that repeat a call, each in its own thread, until stop().
class BackgroundLoad {
public:
  /// Call gets the number of the caller; it must not use CppUTest's checks.
  BackgroundLoad(unsigned Callers, const std::function<void(unsigned)> &Call);
  ~BackgroundLoad();
  BackgroundLoad(const BackgroundLoad &) = delete;
  BackgroundLoad &operator=(const BackgroundLoad &) = delete;

  /// Waits for the calls in progress.
  void stop();
  /// Completed calls of each caller.
  std::vector<unsigned> rounds() const;
  /// Waits until each caller has made Count further calls. Returns false after
  /// the limit of eventually().
  bool waitForRounds(unsigned Count) const;

private:
  std::atomic<bool> m_IsStopping{false};
  std::vector<std::atomic<unsigned>> m_Rounds;
  std::vector<std::thread> m_Threads;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_BACKGROUNDLOAD_H
