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

/// Read a shard value; answered by shardRead() or readFailed().
struct ReadShard {
  std::string m_Shard;
};

/// Compare-and-swap a shard value; answered by shardSwapped() or swapFailed().
struct SwapShard {
  std::string m_Shard;
  std::string m_Value;
  std::uint64_t m_Expected = 0;
};

/// The key was claimed before by another request; m_Entry tells by whom.
struct FoundClaim {
  RequestClaim m_Request;
  ClaimEntry m_Entry;
};

using ClaimOutput =
    std::variant<ReadShard, SwapShard, ClaimSettled, FoundClaim>;

/// Decides claims with compare-and-swap on shard values. Deterministic: the
/// caller executes the outputs and reports back with the present time.
///
/// Each shard has at most one platform call in flight; what arrives meanwhile
/// goes into the next write, so the number of writes does not grow with the
/// number of claims.
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

  /// Settles claims whose deadline passed and repeats failed calls.
  void tick(Time Now, std::vector<ClaimOutput> &Outputs);

  /// Claims and changes of claims that are not written yet.
  std::size_t pendingCount() const;
  /// Granted claims whose call has not ended.
  std::size_t heldCount() const;

private:
  /// A claim of this VM on its way into a shard.
  struct PendingClaim {
    RequestClaim m_Request;
    ClaimKey m_Key;
    std::string m_Nonce;
    /// The write in flight holds the nonce.
    bool m_IsInWrite = false;
    /// A write that holds the nonce was sent and may still take effect.
    bool m_IsWriteUncertain = false;
    /// The caller was told that the call was not run.
    bool m_IsAbandoned = false;
  };

  /// A granted claim whose call has not ended.
  struct HeldClaim {
    ClaimKey m_Key;
    std::string m_Nonce;
  };

  /// A change of an own entry that waits to be written.
  struct PendingEnd {
    HeldClaim m_Claim;
    ClaimFinalState m_End = ClaimFinalState::Completed;
    int m_Status = 0;
  };

  struct ShardWork {
    std::vector<PendingClaim> m_Claims;
    std::vector<PendingEnd> m_Ends;
    /// Number of entries at the front of m_Claims and m_Ends that the write
    /// in flight covers.
    std::size_t m_ClaimsInWrite = 0;
    std::size_t m_EndsInWrite = 0;
    bool m_IsCallInFlight = false;
    Time m_NextCallAt{};
    Duration m_RetryDelay{};
  };

  void startCall(Time Now, const std::string &Name, ShardWork &Work,
                 std::vector<ClaimOutput> &Outputs);
  void settleAgainst(Time Now, const ClaimShard &Shard, ShardWork &Work,
                     std::vector<ClaimOutput> &Outputs);
  void writeShard(Time Now, const std::string &Name, ShardWork &Work,
                  ClaimShard Shard, std::uint64_t Index,
                  std::vector<ClaimOutput> &Outputs);
  void delayNextCall(Time Now, ShardWork &Work);
  void expire(Time Now, ShardWork &Work, std::vector<ClaimOutput> &Outputs);
  void hold(Time Now, const PendingClaim &Claim);
  void forgetOldClaims(Time Now);
  std::string newNonce();

  Incarnation m_Self;
  std::uint64_t m_Seed;
  std::uint64_t m_NonceCount = 0;
  std::map<std::string, ShardWork> m_Shards;
  std::map<RequestNumber, HeldClaim> m_Held;
  /// Claims in the order of their grants; some are no longer held.
  std::deque<std::pair<Time, RequestNumber>> m_Grants;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_CLAIMCOORDINATOR_H
