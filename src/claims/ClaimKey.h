#ifndef PARSLEYRING_CLAIMS_CLAIMKEY_H
#define PARSLEYRING_CLAIMS_CLAIMKEY_H

#include "parsleyring/Types.h"

#include <string>

namespace parsleyring {

/// Time after which a claim entry is removed from its shard.
inline constexpr Duration ClaimEntryLifetime = std::chrono::hours(25);
/// Maximum age of a UUIDv7 key. Shorter than ClaimEntryLifetime, so that the
/// entry of the key's first use still exists when the key is accepted.
inline constexpr Duration MaxClaimKeyAge = std::chrono::hours(24);
/// Maximum time that a UUIDv7 key may lie ahead of this VM's clock.
inline constexpr Duration MaxClaimKeyLead = std::chrono::minutes(5);
inline constexpr std::size_t MaxClaimKeyBytes = 255;

/// Location of a claim entry in the platform's key-value service.
struct ClaimKey {
  std::string m_Shard; ///< Key-value service key of the shard.
  std::string m_Hash;  ///< Hash of (account, idempotency key).
};

/// Result of makeClaimKey(); m_Error is empty if the key is valid.
struct ClaimKeyResult {
  ClaimKey m_Key;
  std::string m_Error;
};

/// Maps an idempotency key to its claim location. A UUID version 7 contains a
/// timestamp, so its claim goes to a shard of that time span, which stays
/// small; any other key goes to one of a fixed set of shards that hold the
/// claims of the last 25 h.
ClaimKeyResult makeClaimKey(Time Now, const std::string &Account,
                            const std::string &IdempotencyKey);

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_CLAIMKEY_H
