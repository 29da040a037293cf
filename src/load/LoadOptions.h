#ifndef PARSLEYRING_LOAD_LOADOPTIONS_H
#define PARSLEYRING_LOAD_LOADOPTIONS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleyring {

/// A client account that sends a part of the load.
struct LoadAccount {
  std::string m_Key;
  double m_Weight = 1;
};

struct LoadOptions {
  std::vector<std::string> m_Routers; ///< "IP:port" for callers.
  std::vector<LoadAccount> m_Accounts;
  double m_CallsPerSecond = 10;
  double m_Seconds = 10;
  /// Calls that are due before this time count neither in the percentiles nor
  /// in the totals.
  double m_WarmUpSeconds = 0;
  std::uint64_t m_Seed = 1;
  std::string m_Model;
  std::uint32_t m_LeastTokens = 8;
  std::uint32_t m_MostTokens = 40;
  /// Prompts begin with one of this many texts of m_PrefixBytes.
  std::uint32_t m_Prefixes = 16;
  std::uint32_t m_PrefixBytes = 512;
  double m_ServiceShare = 0;
  std::string m_ServicePath; ///< "/services/POOL/PATH"
  /// Each service call has an Idempotency-Key of its own.
  bool m_HasKeys = false;
  std::uint32_t m_Threads = 256;
  /// A call that would start later than this after its time is not sent.
  std::chrono::milliseconds m_StartLimit{250};
  std::chrono::milliseconds m_CallLimit{30000};
  /// Calls are broken off this long after the last arrival is due.
  double m_GraceSeconds = 60;
  /// Gaps between tokens from here on are listed one by one.
  std::chrono::milliseconds m_ListedGap{400};
};

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LOADOPTIONS_H
