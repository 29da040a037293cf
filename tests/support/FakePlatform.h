#ifndef PARSLEYRING_TESTS_SUPPORT_FAKEPLATFORM_H
#define PARSLEYRING_TESTS_SUPPORT_FAKEPLATFORM_H

#include "parsleyring/PlatformClient.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace parsleyring {

/// An in-memory key-value service that can simulate failures of the platform.
/// Thread-safe.
class FakePlatform : public PlatformClient {
public:
  std::optional<PlatformValue> read(const std::string &Key) override;
  WatchResult watch(const std::string &Key, std::uint64_t After,
                    Duration Wait) override;
  bool compareAndSwap(const std::string &Key, const std::string &Value,
                      std::uint64_t Expected) override;
  bool remove(const std::string &Key, std::uint64_t Expected) override;

  /// Sets a value unconditionally, as an operator would by hand.
  void put(const std::string &Key, const std::string &Value);
  /// While IsDown, each call fails with NoEffect; blocked watches fail at once.
  void setOutage(bool IsDown);
  /// The next Writes writes take effect, but fail with Unknown.
  void loseAnswers(unsigned Writes);
  /// The next Writes writes have no effect, and fail with Unknown.
  void loseWrites(unsigned Writes);
  /// Hook runs once, without the lock, before the next write of Key takes
  /// effect. Lets one thread interleave the writes of two clients.
  void beforeNextWrite(const std::string &Key, std::function<void()> Hook);

  /// Calls that reached the service, not counting those during an outage.
  std::uint64_t reads() const;
  std::uint64_t writes() const;
  /// Total bytes of the values that were read and written.
  std::uint64_t bytesTransferred() const;

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
