#ifndef PARSLEYRING_CLAIMS_CLAIMKEY_H
#define PARSLEYRING_CLAIMS_CLAIMKEY_H

#include "parsleyring/Types.h"

#include <string>

namespace parsleyring {

/// Entries of claims are removed this long after the claim.
inline constexpr Duration ClaimEntryLifetime = std::chrono::hours(25);
/// Oldest UUIDv7 key that is accepted; below the lifetime of the entries, so
/// that an accepted key always finds the entry of its first use.
inline constexpr Duration OldestClaimKey = std::chrono::hours(24);
/// Clock difference to the callers that is tolerated.
inline constexpr Duration LargestKeyLead = std::chrono::minutes(5);
inline constexpr std::size_t LongestClaimKeyBytes = 255;

/// Place of a claim in the platform's key-value service.
struct ClaimKey {
  std::string m_Shard; ///< Key of the shard value.
  std::string m_Hash;  ///< Identifies (account, key) within the shard.
};

/// Result of looking at an idempotency key; m_Problem is empty if the key can
/// be claimed.
struct ClaimKeyResult {
  ClaimKey m_Key;
  std::string m_Problem;
};

/// Derives the shard from the account and the key. A UUID version 7 carries
/// its time, so its claim goes to a small shard of that time; any other key
/// goes to one of the shards that hold the last 25 h.
ClaimKeyResult makeClaimKey(Time Now, const std::string &Account,
                            const std::string &IdempotencyKey);

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_CLAIMKEY_H
