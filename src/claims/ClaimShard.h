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
  /// Identifies the claim itself, so that its writer finds it again after a
  /// write whose answer was lost.
  std::string m_Nonce;
  ClaimState m_State = ClaimState::Claimed;
  int m_Status = 0; ///< HTTP status of the answer, once completed.
  Time m_ClaimedAt;
};

/// The stored value cannot be read as a claim shard.
class ClaimShardError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The claims that one value of the key-value service holds.
class ClaimShard {
public:
  /// An empty text is an empty shard. Throws ClaimShardError.
  static ClaimShard fromText(const std::string &Text);
  std::string toText() const;

  const ClaimEntry *find(const std::string &Hash) const;
  ClaimEntry *find(const std::string &Hash);
  void put(const std::string &Hash, const ClaimEntry &Entry);

  /// Removes entries that are past their lifetime.
  void removeExpired(Time Now);

  /// Changes the text even if no entry changed, so that a write that is still
  /// on its way with the old index can no longer succeed.
  void advanceGeneration() { ++m_Generation; }

  std::size_t size() const { return m_Entries.size(); }

private:
  std::map<std::string, ClaimEntry> m_Entries;
  std::uint64_t m_Generation = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_CLAIMSHARD_H
