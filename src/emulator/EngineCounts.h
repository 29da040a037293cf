#ifndef PARSLEYRING_EMULATOR_ENGINECOUNTS_H
#define PARSLEYRING_EMULATOR_ENGINECOUNTS_H

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace parsleyring {

/// Counts what an emulated engine did, for the tests. Thread-safe.
class EngineCounts {
public:
  /// Also prints "started REQUEST": the output is kept if the process is
  /// killed.
  void recordStart(const std::string &Request);
  void recordRefusal();
  void recordCancel();
  using Clock = std::chrono::steady_clock;

  /// One computation of this engine's layers for a token of an attempt.
  struct Computation {
    std::uint32_t m_Epoch = 0;
    Clock::time_point m_Begin;
    Clock::time_point m_End;
  };
  void recordToken(const std::string &Request, std::uint32_t Position,
                   const Computation &Computed);

  /// {starts, refusals, cancels, tokens, last_start_ms, requests: {ID: {starts,
  /// positions: {POSITION: {LAYERS: times}}, runs: {POSITION: [[epoch,
  /// begin_us, end_us]]}}}}. The times of runs are those of the machine's
  /// steady clock. If Request is not empty, only that request is listed.
  /// LastStartMillis also covers requests that an earlier stage opened here.
  std::string json(const std::string &Layers, const std::string &Request,
                   std::int64_t LastStartMillis) const;

private:
  struct RequestCounts {
    std::uint32_t m_Starts = 0;
    std::map<std::uint32_t, std::vector<Computation>> m_Computations;
  };

  mutable std::mutex m_Mutex;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_Cancels = 0;
  std::uint64_t m_Tokens = 0;
  std::map<std::string, RequestCounts> m_Requests;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_ENGINECOUNTS_H
