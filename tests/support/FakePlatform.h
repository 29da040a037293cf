#ifndef PARSLEYRING_TESTS_SUPPORT_FAKEPLATFORM_H
#define PARSLEYRING_TESTS_SUPPORT_FAKEPLATFORM_H

#include "parsleyring/PlatformClient.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace parsleyring {

/// Key-value service in memory, with the failures that the platform can show.
/// Safe to use from many threads.
class FakePlatform : public PlatformClient {
public:
  std::optional<PlatformValue> read(const std::string &Key) override;
  WatchResult watch(const std::string &Key, std::uint64_t After,
                    Duration Wait) override;
  bool compareAndSwap(const std::string &Key, const std::string &Value,
                      std::uint64_t Expected) override;
  bool remove(const std::string &Key, std::uint64_t Expected) override;

  /// Sets a value without a condition, as an operator does by hand.
  void put(const std::string &Key, const std::string &Value);
  /// While true, each call fails with NoEffect; waiting watches fail at once.
  void setOutage(bool IsDown);
  /// The next writes take effect, but their callers get Unknown.
  void loseAnswers(unsigned Writes);
  /// The next writes have no effect, and their callers get Unknown.
  void loseWrites(unsigned Writes);
  /// Runs once, before the next write of Key takes effect and outside of the
  /// lock; orders the writes of two clients in one thread.
  void beforeNextWrite(const std::string &Key, std::function<void()> Hook);

  /// Calls that reached the service since the start.
  std::uint64_t reads() const;
  std::uint64_t writes() const;
  /// Bytes of the values that were read and written.
  std::uint64_t bytesMoved() const;

private:
  void failIfDown() const;
  bool write(const std::string &Key, const std::optional<std::string> &Value,
             std::uint64_t Expected);

  mutable std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, PlatformValue> m_Values;
  std::map<std::string, std::function<void()>> m_Hooks;
  std::uint64_t m_Index = 1;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Bytes = 0;
  unsigned m_LostAnswers = 0;
  unsigned m_LostWrites = 0;
  bool m_IsDown = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_FAKEPLATFORM_H
