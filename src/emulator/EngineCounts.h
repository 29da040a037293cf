#ifndef PARSLEYRING_EMULATOR_ENGINECOUNTS_H
#define PARSLEYRING_EMULATOR_ENGINECOUNTS_H

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace parsleyring {

/// What an engine did, for the tests. Safe to use from many threads.
class EngineCounts {
public:
  /// Also prints "started REQUEST", so that the record outlives the process.
  void noteStart(const std::string &Request);
  void noteRefusal();
  void noteCancel();
  using Clock = std::chrono::steady_clock;

  /// The engine computed its layers for a token in an attempt of a request.
  struct Run {
    std::uint32_t m_Epoch = 0;
    Clock::time_point m_Begin;
    Clock::time_point m_End;
  };
  void noteToken(const std::string &Request, std::uint32_t Position,
                 const Run &Computed);

  /// {starts, refusals, cancels, tokens, last_start_ms, requests: {ID: {starts,
  /// positions: {POSITION: {LAYERS: times}}, runs: {POSITION: [[epoch,
  /// begin_us, end_us]]}}}}. The times of runs are of the machine's steady
  /// clock. With Request, only that request is listed. LastStartMillis also
  /// counts requests taken in from other engines.
  std::string json(const std::string &Layers, const std::string &Request,
                   std::int64_t LastStartMillis) const;

private:
  struct PerRequest {
    std::uint32_t m_Starts = 0;
    std::map<std::uint32_t, std::vector<Run>> m_Computed;
  };

  mutable std::mutex m_Mutex;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_Cancels = 0;
  std::uint64_t m_Tokens = 0;
  std::map<std::string, PerRequest> m_Requests;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_ENGINECOUNTS_H
