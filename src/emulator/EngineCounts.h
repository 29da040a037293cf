#ifndef PARSLEYRING_EMULATOR_ENGINECOUNTS_H
#define PARSLEYRING_EMULATOR_ENGINECOUNTS_H

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
  /// The engine computed its layers for the token at Position.
  void noteToken(const std::string &Request, std::uint32_t Position);

  /// {starts, refusals, cancels, tokens, last_start_ms, requests: {ID: {starts,
  /// positions: {POSITION: {LAYERS: times}}}}}. With Request, only that request
  /// is listed. LastStartMillis also counts requests taken in from other
  /// engines.
  std::string json(const std::string &Layers, const std::string &Request,
                   std::int64_t LastStartMillis) const;

private:
  struct PerRequest {
    std::uint32_t m_Starts = 0;
    std::map<std::uint32_t, std::uint32_t> m_Computed;
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
