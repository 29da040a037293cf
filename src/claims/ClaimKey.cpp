#include "claims/ClaimKey.h"

namespace parsleyring {

static constexpr std::uint64_t ShardCount = 64;
static constexpr std::chrono::minutes BucketLength(10);
// Bucket numbers wrap around, so that shard values are reused and never need to
// be deleted. The wrap-around period must exceed the time span of acceptable
// keys (24 h 5 min); the remainder allows for clock differences between VMs.
static constexpr std::uint64_t BucketCount = 160;
static constexpr std::size_t HashCharacters = 32;
static constexpr std::size_t UuidCharacters = 36;
static constexpr std::size_t UuidVersionOffset = 14;

static bool isHexDigit(char Character) {
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'a' && Character <= 'f') ||
         (Character >= 'A' && Character <= 'F');
}

static bool isUuid(std::string_view Text) {
  if (Text.size() != UuidCharacters)
    return false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    bool IsHyphenPosition =
        Index == 8 || Index == 13 || Index == 18 || Index == 23;
    if (IsHyphenPosition ? Text[Index] != '-' : !isHexDigit(Text[Index]))
      return false;
  }
  return true;
}

/// Timestamp of a UUID version 7 (RFC 9562): milliseconds in the first 48 bits.
static std::optional<Time> uuidTime(std::string_view Text) {
  if (!isUuid(Text) || Text[UuidVersionOffset] != '7')
    return std::nullopt;
  std::string Digits =
      std::string(Text.substr(0, 8)) + std::string(Text.substr(9, 4));
  return Time(std::chrono::milliseconds(std::stoull(Digits, nullptr, 16)));
}

static std::uint64_t shardNumber(const std::string &Hash) {
  return std::stoull(Hash.substr(0, 8), nullptr, 16) % ShardCount;
}

ClaimKeyResult makeClaimKey(Time Now, const std::string &Account,
                            const std::string &IdempotencyKey) {
  ClaimKeyResult Result;
  if (IdempotencyKey.empty() || IdempotencyKey.size() > MaxClaimKeyBytes) {
    Result.m_Error = "Idempotency-Key must have 1 to 255 bytes";
    return Result;
  }
  // An account name cannot contain the separator, so different (account, key)
  // pairs never give the same text.
  std::string Identity = Account;
  Identity += '\0';
  Identity += IdempotencyKey;
  Result.m_Key.m_Hash = sha256Hex(Identity).substr(0, HashCharacters);
  std::string Shard = std::to_string(shardNumber(Result.m_Key.m_Hash));

  std::optional<Time> KeyTime = uuidTime(IdempotencyKey);
  if (!KeyTime) {
    Result.m_Key.m_Shard = "claims/o/" + Shard;
    return Result;
  }
  if (*KeyTime < Now - MaxClaimKeyAge) {
    Result.m_Error = "the UUIDv7 in Idempotency-Key is older than 24 h";
    return Result;
  }
  if (*KeyTime > Now + MaxClaimKeyLead) {
    Result.m_Error = "the UUIDv7 in Idempotency-Key is more than 5 min ahead";
    return Result;
  }
  std::uint64_t Bucket =
      static_cast<std::uint64_t>(KeyTime->time_since_epoch() / BucketLength);
  Result.m_Key.m_Shard =
      "claims/t" + std::to_string(Bucket % BucketCount) + "/" + Shard;
  return Result;
}

} // namespace parsleyring
