#ifndef PARSLEYRING_LOAD_LOADOPTIONS_H
#define PARSLEYRING_LOAD_LOADOPTIONS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleyring {

/// A client account and its share of the calls.
struct LoadAccount {
  std::string m_Key;
  double m_Weight = 1;
};

struct LoadOptions {
  /// "IP:port" of each router's listener for callers.
  std::vector<std::string> m_Routers;
  std::vector<LoadAccount> m_Accounts;
  double m_CallsPerSecond = 10;
  double m_DurationSeconds = 10;
  /// Calls that are due before this time are left out of the percentiles and
  /// the counts of calls.
  double m_WarmUpSeconds = 0;
  std::uint64_t m_Seed = 1;
  std::string m_Model;
  std::uint32_t m_MinTokens = 8;
  std::uint32_t m_MaxTokens = 40;
  /// Each prompt begins with one of this many prefixes, of m_PrefixBytes each.
  std::uint32_t m_PrefixCount = 16;
  std::uint32_t m_PrefixBytes = 512;
  double m_ServiceShare = 0;
  std::string m_ServicePath; ///< "/services/POOL/PATH"
  /// Whether each service call has an Idempotency-Key of its own.
  bool m_UsesIdempotencyKeys = false;
  std::uint32_t m_Threads = 256;
  /// A call that is late by more than this is not sent.
  std::chrono::milliseconds m_MaxStartDelay{250};
  std::chrono::milliseconds m_CallTimeout{30000};
  /// Calls that still run this long after m_DurationSeconds are aborted.
  double m_GraceSeconds = 60;
  /// Gaps between tokens of at least this length are listed one by one.
  std::chrono::milliseconds m_MinListedGap{400};
};

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LOADOPTIONS_H
