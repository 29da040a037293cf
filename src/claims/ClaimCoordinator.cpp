#include "claims/ClaimCoordinator.h"

#include <algorithm>

namespace parsleyring {

static constexpr Duration FirstRetryDelay = std::chrono::milliseconds(20);
static constexpr Duration LongestRetryDelay = std::chrono::seconds(1);
// Values of the key-value service are limited to 1 MB; one batch of new
// entries must still fit.
static constexpr std::size_t LargestShardBytes = 900 * 1000;
static constexpr std::size_t NonceCharacters = 24;

static ClaimSettled settled(RequestNumber Request, ClaimResult Result,
                            const std::string &Detail) {
  ClaimSettled Settlement;
  Settlement.m_Request = Request;
  Settlement.m_Result = Result;
  Settlement.m_Detail = Detail;
  return Settlement;
}

ClaimCoordinator::ClaimCoordinator(const Incarnation &Self, std::uint64_t Seed)
    : m_Self(Self), m_Seed(Seed) {}

std::string ClaimCoordinator::newNonce() {
  std::string Source = m_Self.m_VM + "/" + std::to_string(m_Self.m_Number) +
                       "/" + std::to_string(m_Seed) + "/" +
                       std::to_string(++m_NonceCount);
  return sha256Hex(Source).substr(0, NonceCharacters);
}

void ClaimCoordinator::request(Time Now, const RequestClaim &Request,
                               std::vector<ClaimOutput> &Outputs) {
  ClaimKeyResult Key =
      makeClaimKey(Now, Request.m_Account, Request.m_IdempotencyKey);
  if (!Key.m_Problem.empty()) {
    Outputs.push_back(
        settled(Request.m_Request, ClaimResult::KeyRejected, Key.m_Problem));
    return;
  }
  PendingClaim Claim;
  Claim.m_Request = Request;
  Claim.m_Key = Key.m_Key;
  Claim.m_Nonce = newNonce();
  ShardWork &Work = m_Shards[Key.m_Key.m_Shard];
  Work.m_Claims.push_back(std::move(Claim));
  startCall(Now, Key.m_Key.m_Shard, Work, Outputs);
}

void ClaimCoordinator::end(Time Now, const EndClaim &End,
                           std::vector<ClaimOutput> &Outputs) {
  auto Held = m_Held.find(End.m_Request);
  if (Held == m_Held.end())
    return;
  PendingEnd Change{Held->second, End.m_End, End.m_Status};
  m_Held.erase(Held);
  std::string Name = Change.m_Claim.m_Key.m_Shard;
  ShardWork &Work = m_Shards[Name];
  Work.m_Ends.push_back(std::move(Change));
  startCall(Now, Name, Work, Outputs);
}

void ClaimCoordinator::startCall(Time Now, const std::string &Name,
                                 ShardWork &Work,
                                 std::vector<ClaimOutput> &Outputs) {
  if (Work.m_IsCallInFlight || Now < Work.m_NextCallAt ||
      (Work.m_Claims.empty() && Work.m_Ends.empty()))
    return;
  Work.m_IsCallInFlight = true;
  Outputs.push_back(ReadShard{Name});
}

void ClaimCoordinator::shardRead(Time Now, const std::string &Name,
                                 const std::optional<PlatformValue> &Value,
                                 std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[Name];
  Work.m_IsCallInFlight = false;
  ClaimShard Shard;
  try {
    Shard = ClaimShard::fromText(Value ? Value->m_Value : std::string());
  } catch (const ClaimShardError &) {
    // Nothing can be said about the keys in the shard, so nothing is granted;
    // the claims end at their deadlines.
    delayNextCall(Now, Work);
    return;
  }
  settleAgainst(Now, Shard, Work, Outputs);
  expire(Now, Work, Outputs);
  if (Work.m_Claims.empty() && Work.m_Ends.empty())
    return;
  writeShard(Now, Name, Work, std::move(Shard),
             Value ? Value->m_ModifyIndex : 0, Outputs);
}

/// Settles what the value read decides already: own writes whose answer was
/// lost, and keys that another request holds.
void ClaimCoordinator::settleAgainst(Time Now, const ClaimShard &Shard,
                                     ShardWork &Work,
                                     std::vector<ClaimOutput> &Outputs) {
  std::vector<PendingClaim> Rest;
  for (PendingClaim &Claim : Work.m_Claims) {
    const ClaimEntry *Entry = Shard.find(Claim.m_Key.m_Hash);
    bool IsOwn = Entry && Entry->m_Nonce == Claim.m_Nonce;
    if (IsOwn && Claim.m_IsAbandoned) {
      Work.m_Ends.push_back(
          {{Claim.m_Key, Claim.m_Nonce}, ClaimFinalState::Released, 0});
    } else if (IsOwn) {
      hold(Now, Claim);
      Outputs.push_back(
          settled(Claim.m_Request.m_Request, ClaimResult::Granted, {}));
    } else if (Claim.m_IsAbandoned) {
      // An uncertain write may still be on its way. The claim stays until a
      // later write of this shard succeeded: the expected index of the
      // earlier one is out of date from then on.
      if (Claim.m_IsWriteUncertain)
        Rest.push_back(std::move(Claim));
    } else if (!Entry || Entry->m_State == ClaimState::Released) {
      Rest.push_back(std::move(Claim));
    } else {
      Outputs.push_back(FoundClaim{Claim.m_Request, *Entry});
    }
  }
  Work.m_Claims = std::move(Rest);
}

void ClaimCoordinator::writeShard(Time Now, const std::string &Name,
                                  ShardWork &Work, ClaimShard Shard,
                                  std::uint64_t Index,
                                  std::vector<ClaimOutput> &Outputs) {
  Shard.removeExpired(Now);
  Shard.advanceGeneration();
  for (const PendingEnd &Change : Work.m_Ends) {
    ClaimEntry *Entry = Shard.find(Change.m_Claim.m_Key.m_Hash);
    if (!Entry || Entry->m_Nonce != Change.m_Claim.m_Nonce)
      continue;
    Entry->m_State = Change.m_End == ClaimFinalState::Released
                         ? ClaimState::Released
                         : ClaimState::Completed;
    Entry->m_Status = Change.m_Status;
  }
  for (PendingClaim &Claim : Work.m_Claims) {
    Claim.m_IsInWrite = false;
    if (Claim.m_IsAbandoned)
      continue;
    const ClaimEntry *Present = Shard.find(Claim.m_Key.m_Hash);
    // An earlier claim of the same batch has the same key.
    if (Present && Present->m_State != ClaimState::Released)
      continue;
    ClaimEntry Entry;
    Entry.m_BodyHash = Claim.m_Request.m_BodySha256;
    Entry.m_Writer = m_Self;
    Entry.m_Nonce = Claim.m_Nonce;
    Entry.m_ClaimedAt = Now;
    Shard.put(Claim.m_Key.m_Hash, Entry);
    Claim.m_IsInWrite = true;
  }
  std::string Text = Shard.toText();
  if (Text.size() > LargestShardBytes) {
    // A claim whose earlier write is uncertain is not refused here, since it
    // may be in the shard already; the next read tells.
    std::vector<PendingClaim> Rest;
    for (PendingClaim &Claim : Work.m_Claims) {
      Claim.m_IsInWrite = false;
      if (Claim.m_IsAbandoned || Claim.m_IsWriteUncertain)
        Rest.push_back(std::move(Claim));
      else
        Outputs.push_back(settled(Claim.m_Request.m_Request,
                                  ClaimResult::Unavailable,
                                  "the claim shard is full"));
    }
    Work.m_Claims = std::move(Rest);
    delayNextCall(Now, Work);
    return;
  }
  for (PendingClaim &Claim : Work.m_Claims)
    Claim.m_IsWriteUncertain |= Claim.m_IsInWrite;
  Work.m_ClaimsInWrite = Work.m_Claims.size();
  Work.m_EndsInWrite = Work.m_Ends.size();
  Work.m_IsCallInFlight = true;
  Outputs.push_back(SwapShard{Name, std::move(Text), Index});
}

void ClaimCoordinator::shardSwapped(Time Now, const std::string &Name,
                                    bool IsWritten,
                                    std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[Name];
  Work.m_IsCallInFlight = false;
  if (!IsWritten) {
    // Another VM wrote first. No delay: somebody made progress.
    startCall(Now, Name, Work, Outputs);
    return;
  }
  Work.m_RetryDelay = Duration::zero();
  std::vector<PendingClaim> Written(
      std::make_move_iterator(Work.m_Claims.begin()),
      std::make_move_iterator(Work.m_Claims.begin() + Work.m_ClaimsInWrite));
  Work.m_Claims.erase(Work.m_Claims.begin(),
                      Work.m_Claims.begin() + Work.m_ClaimsInWrite);
  Work.m_Ends.erase(Work.m_Ends.begin(),
                    Work.m_Ends.begin() + Work.m_EndsInWrite);
  std::vector<PendingClaim> Repeated;
  for (PendingClaim &Claim : Written) {
    if (Claim.m_IsAbandoned) {
      // The caller was told that the call was not run. If this write held the
      // entry, it exists now; earlier writes can no longer take effect.
      if (Claim.m_IsInWrite)
        Work.m_Ends.push_back(
            {{Claim.m_Key, Claim.m_Nonce}, ClaimFinalState::Released, 0});
    } else if (Claim.m_IsInWrite) {
      hold(Now, Claim);
      Outputs.push_back(
          settled(Claim.m_Request.m_Request, ClaimResult::Granted, {}));
    } else {
      // Not in the write, since an earlier claim of the batch has its key.
      Claim.m_IsWriteUncertain = false;
      Repeated.push_back(std::move(Claim));
    }
  }
  Work.m_Claims.insert(Work.m_Claims.begin(),
                       std::make_move_iterator(Repeated.begin()),
                       std::make_move_iterator(Repeated.end()));
  startCall(Now, Name, Work, Outputs);
}

void ClaimCoordinator::readFailed(Time Now, const std::string &Name,
                                  std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[Name];
  Work.m_IsCallInFlight = false;
  delayNextCall(Now, Work);
  expire(Now, Work, Outputs);
}

void ClaimCoordinator::swapFailed(Time Now, const std::string &Name,
                                  PlatformError::Kind Kind,
                                  std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[Name];
  Work.m_IsCallInFlight = false;
  (void)Kind; // In each case the shard is read back before the next write.
  delayNextCall(Now, Work);
  expire(Now, Work, Outputs);
}

void ClaimCoordinator::delayNextCall(Time Now, ShardWork &Work) {
  Work.m_RetryDelay =
      std::clamp(Work.m_RetryDelay * 2, FirstRetryDelay, LongestRetryDelay);
  Work.m_NextCallAt = Now + Work.m_RetryDelay;
}

void ClaimCoordinator::expire(Time Now, ShardWork &Work,
                              std::vector<ClaimOutput> &Outputs) {
  for (auto Claim = Work.m_Claims.begin(); Claim != Work.m_Claims.end();) {
    if (Claim->m_IsAbandoned || Now < Claim->m_Request.m_Deadline) {
      ++Claim;
      continue;
    }
    Outputs.push_back(settled(Claim->m_Request.m_Request,
                              ClaimResult::Unavailable,
                              "the key-value service did not settle the claim "
                              "in time"));
    // A claim that is part of a write keeps its place until that write is
    // settled: the counts of the write in flight refer to it.
    if (Claim->m_IsWriteUncertain || Work.m_IsCallInFlight) {
      Claim->m_IsAbandoned = true;
      ++Claim;
    } else {
      Claim = Work.m_Claims.erase(Claim);
    }
  }
}

void ClaimCoordinator::hold(Time Now, const PendingClaim &Claim) {
  m_Held[Claim.m_Request.m_Request] = {Claim.m_Key, Claim.m_Nonce};
  m_Grants.emplace_back(Now, Claim.m_Request.m_Request);
}

/// A claim whose outcome stays unknown is never ended; its entry in the shard
/// has expired by then as well.
void ClaimCoordinator::forgetOldClaims(Time Now) {
  while (!m_Grants.empty() &&
         m_Grants.front().first + ClaimEntryLifetime < Now) {
    m_Held.erase(m_Grants.front().second);
    m_Grants.pop_front();
  }
}

void ClaimCoordinator::tick(Time Now, std::vector<ClaimOutput> &Outputs) {
  forgetOldClaims(Now);
  for (auto Shard = m_Shards.begin(); Shard != m_Shards.end();) {
    ShardWork &Work = Shard->second;
    expire(Now, Work, Outputs);
    startCall(Now, Shard->first, Work, Outputs);
    bool IsIdle =
        !Work.m_IsCallInFlight && Work.m_Claims.empty() && Work.m_Ends.empty();
    Shard = IsIdle ? m_Shards.erase(Shard) : std::next(Shard);
  }
}

std::size_t ClaimCoordinator::heldCount() const { return m_Held.size(); }

std::size_t ClaimCoordinator::pendingCount() const {
  std::size_t Count = 0;
  for (const auto &[Name, Work] : m_Shards)
    Count += Work.m_Claims.size() + Work.m_Ends.size();
  return Count;
}

} // namespace parsleyring
