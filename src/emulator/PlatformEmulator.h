#ifndef PARSLEYRING_EMULATOR_PLATFORMEMULATOR_H
#define PARSLEYRING_EMULATOR_PLATFORMEMULATOR_H

#include "emulator/HttpServer.h"
#include "emulator/KeyValueStore.h"

#include <condition_variable>
#include <mutex>

namespace parsleyring {

struct PlatformOptions {
  std::string m_Listen;
  std::uint32_t m_WritesPerSecond = 500;
  std::uint32_t m_ReadsPerSecond = 2000;
  std::string m_SeedFile; ///< JSON object of keys and values; may be empty.
};

/// Emulates the platform's key-value service (Consul KV API), with faults that
/// are set at run time.
///
/// POST /admin/mode takes an object with any of outage (true: the connections
/// of calls and watches are closed), slow_ms (delay of each call), lost_answers
/// (number of writes that take effect but get no response) and frozen_watch
/// (true: watches become silent for good); absent fields keep their values. GET
/// /admin/counts returns the number of calls per kind.
class PlatformEmulator {
public:
  explicit PlatformEmulator(const PlatformOptions &Options);
  void run();

private:
  /// Limits the calls per second; allows a burst of one second's calls.
  struct RateLimiter {
    double m_PerSecond = 0;
    double m_Available = 0;
    KeyValueStore::Time m_RefilledAt;
    bool tryAcquire(KeyValueStore::Time Now);
  };

  void respond(const EmulatorCall &Call, HttpReply &Reply);
  void respondKeyValue(const EmulatorCall &Call, HttpReply &Reply);
  void respondSession(const EmulatorCall &Call, HttpReply &Reply);
  void respondRead(const EmulatorCall &Call, const std::string &Key,
                   HttpReply &Reply);
  void respondWrite(const EmulatorCall &Call, const std::string &Key,
                    HttpReply &Reply);
  void finishWrite(bool IsDone, HttpReply &Reply);
  void setMode(const EmulatorCall &Call);
  bool admit(const EmulatorCall &Call, HttpReply &Reply);
  void increment(const std::string &Kind) { ++m_Counts[Kind]; }

  const PlatformOptions m_Options;
  std::mutex m_Mutex;
  std::condition_variable m_StoreChanged;
  KeyValueStore m_Store;
  RateLimiter m_WriteLimiter;
  RateLimiter m_ReadLimiter;
  std::map<std::string, std::uint64_t> m_Counts;
  bool m_IsOutage = false;
  bool m_IsWatchFrozen = false;
  std::uint32_t m_SlowMillis = 0;
  /// Number of further writes that take effect but get no response.
  std::uint32_t m_LostAnswers = 0;
  HttpServer m_Server;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_PLATFORMEMULATOR_H
