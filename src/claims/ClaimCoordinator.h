#ifndef PARSLEYRING_CLAIMS_CLAIMCOORDINATOR_H
#define PARSLEYRING_CLAIMS_CLAIMCOORDINATOR_H

#include "claims/ClaimKey.h"
#include "claims/ClaimShard.h"

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"
#include "parsleyring/PlatformClient.h"

#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace parsleyring {

/// Output: read a shard value; answered by shardRead() or readFailed().
struct ReadShard {
  std::string m_Shard;
};

/// Output: compare-and-swap a shard value; answered by shardSwapped() or
/// swapFailed().
struct SwapShard {
  std::string m_Shard;
  std::string m_Value;
  std::uint64_t m_Expected = 0;
};

/// Output: another request claimed the key earlier; m_Entry is that claim.
struct ExistingClaim {
  RequestClaim m_Request;
  ClaimEntry m_Entry;
};

using ClaimOutput =
    std::variant<ReadShard, SwapShard, ClaimSettled, ExistingClaim>;

/// Decides claims by compare-and-swap on shard values. Deterministic: the
/// caller executes the outputs and passes in the results and the current time.
///
/// Each shard has at most one platform call in flight. Claims and ends that
/// arrive meanwhile are batched into the next write, so the number of writes
/// does not grow with the number of claims.
class ClaimCoordinator {
public:
  ClaimCoordinator(const Incarnation &Self, std::uint64_t Seed);

  void request(Time Now, const RequestClaim &Request,
               std::vector<ClaimOutput> &Outputs);
  void end(Time Now, const EndClaim &End, std::vector<ClaimOutput> &Outputs);

  void shardRead(Time Now, const std::string &Shard,
                 const std::optional<PlatformValue> &Value,
                 std::vector<ClaimOutput> &Outputs);
  void readFailed(Time Now, const std::string &Shard,
                  std::vector<ClaimOutput> &Outputs);
  void shardSwapped(Time Now, const std::string &Shard, bool IsWritten,
                    std::vector<ClaimOutput> &Outputs);
  void swapFailed(Time Now, const std::string &Shard, PlatformError::Kind Kind,
                  std::vector<ClaimOutput> &Outputs);

  /// Settles claims whose deadline has passed and retries failed calls.
  void tick(Time Now, std::vector<ClaimOutput> &Outputs);

  /// Number of claims and claim ends that are not yet written.
  std::size_t pendingCount() const;
  /// Number of granted claims whose call has not ended.
  std::size_t grantedCount() const;

private:
  /// A claim of this VM that is not settled yet.
  struct PendingClaim {
    RequestClaim m_Request;
    ClaimKey m_Key;
    std::string m_Nonce;
    /// The write in flight contains the nonce.
    bool m_IsInWrite = false;
    /// A write that contains the nonce was sent and may still take effect.
    bool m_IsWriteUncertain = false;
    /// The caller was already told that the call was not run.
    bool m_IsAbandoned = false;
  };

  /// A granted claim whose call has not ended.
  struct GrantedClaim {
    ClaimKey m_Key;
    std::string m_Nonce;
  };

  /// A state change of this VM's own entry that still has to be written.
  struct PendingEnd {
    GrantedClaim m_Claim;
    ClaimFinalState m_End = ClaimFinalState::Completed;
    int m_Status = 0;
  };

  struct ShardWork {
    std::vector<PendingClaim> m_Claims;
    std::vector<PendingEnd> m_Ends;
    /// Number of entries at the front of m_Claims and m_Ends that are part of
    /// the write in flight.
    std::size_t m_ClaimsInWrite = 0;
    std::size_t m_EndsInWrite = 0;
    bool m_IsCallInFlight = false;
    Time m_NextCallAt{};
    Duration m_RetryDelay{};
  };

  void startNextRead(Time Now, const std::string &ShardKey, ShardWork &Work,
                     std::vector<ClaimOutput> &Outputs);
  void settleFromShard(Time Now, const ClaimShard &Shard, ShardWork &Work,
                       std::vector<ClaimOutput> &Outputs);
  void writeShard(Time Now, const std::string &ShardKey, ShardWork &Work,
                  ClaimShard Shard, std::uint64_t Index,
                  std::vector<ClaimOutput> &Outputs);
  void delayNextCall(Time Now, ShardWork &Work);
  void settleExpired(Time Now, ShardWork &Work,
                     std::vector<ClaimOutput> &Outputs);
  void recordGrant(Time Now, const PendingClaim &Claim);
  void removeExpiredGrants(Time Now);
  std::string newNonce();

  Incarnation m_Self;
  std::uint64_t m_Seed;
  std::uint64_t m_NonceCount = 0;
  std::map<std::string, ShardWork> m_Shards;
  std::map<RequestNumber, GrantedClaim> m_Granted;
  /// Grants by time; may contain claims that have ended.
  std::deque<std::pair<Time, RequestNumber>> m_Grants;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_CLAIMCOORDINATOR_H
