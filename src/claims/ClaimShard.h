#ifndef PARSLEYRING_CLAIMS_CLAIMSHARD_H
#define PARSLEYRING_CLAIMS_CLAIMSHARD_H

#include "parsleyring/Types.h"

#include <map>
#include <stdexcept>
#include <string>

namespace parsleyring {

enum class ClaimState { Claimed, Released, Completed };

std::string_view name(ClaimState Value);

struct ClaimEntry {
  std::string m_BodyHash;
  Incarnation m_Writer;
  /// Unique id of this claim. With it the writer recognizes its own entry after
  /// a write whose answer was lost.
  std::string m_Nonce;
  ClaimState m_State = ClaimState::Claimed;
  int m_Status = 0; ///< HTTP status of the answer, if completed.
  Time m_ClaimedAt;
};

/// Thrown if a stored value is not a valid claim shard.
class ClaimShardError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Claim entries that are stored together in one value of the key-value
/// service.
class ClaimShard {
public:
  /// Parses the stored text; an empty text gives an empty shard. Throws
  /// ClaimShardError.
  static ClaimShard fromText(const std::string &Text);
  std::string toText() const;

  const ClaimEntry *find(const std::string &Hash) const;
  ClaimEntry *find(const std::string &Hash);
  void put(const std::string &Hash, const ClaimEntry &Entry);

  /// Removes entries older than ClaimEntryLifetime.
  void removeExpired(Time Now);

  /// Changes the stored text even if no entry changed, so that a successful
  /// write always advances the modify index and an earlier write still in
  /// flight fails.
  void advanceGeneration() { ++m_Generation; }

  std::size_t size() const { return m_Entries.size(); }

private:
  std::map<std::string, ClaimEntry> m_Entries;
  std::uint64_t m_Generation = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_CLAIMSHARD_H
