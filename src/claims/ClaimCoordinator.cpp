#include "claims/ClaimCoordinator.h"

#include <algorithm>

namespace parsleyring {

static constexpr Duration MinRetryDelay = std::chrono::milliseconds(20);
static constexpr Duration MaxRetryDelay = std::chrono::seconds(1);
// The key-value service limits values to 1 MB; the margin leaves room for a
// batch of new entries.
static constexpr std::size_t MaxShardBytes = 900 * 1000;
static constexpr std::size_t NonceCharacters = 24;

static ClaimSettled makeSettlement(RequestNumber Request, ClaimResult Result,
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
  if (!Key.m_Error.empty()) {
    Outputs.push_back(makeSettlement(Request.m_Request,
                                     ClaimResult::KeyRejected, Key.m_Error));
    return;
  }
  PendingClaim Claim;
  Claim.m_Request = Request;
  Claim.m_Key = Key.m_Key;
  Claim.m_Nonce = newNonce();
  ShardWork &Work = m_Shards[Key.m_Key.m_Shard];
  Work.m_Claims.push_back(std::move(Claim));
  startNextRead(Now, Key.m_Key.m_Shard, Work, Outputs);
}

void ClaimCoordinator::end(Time Now, const EndClaim &End,
                           std::vector<ClaimOutput> &Outputs) {
  auto Grant = m_Granted.find(End.m_Request);
  if (Grant == m_Granted.end())
    return;
  PendingEnd Change{Grant->second, End.m_End, End.m_Status};
  m_Granted.erase(Grant);
  std::string ShardKey = Change.m_Claim.m_Key.m_Shard;
  ShardWork &Work = m_Shards[ShardKey];
  Work.m_Ends.push_back(std::move(Change));
  startNextRead(Now, ShardKey, Work, Outputs);
}

void ClaimCoordinator::startNextRead(Time Now, const std::string &ShardKey,
                                     ShardWork &Work,
                                     std::vector<ClaimOutput> &Outputs) {
  if (Work.m_IsCallInFlight || Now < Work.m_NextCallAt ||
      (Work.m_Claims.empty() && Work.m_Ends.empty()))
    return;
  Work.m_IsCallInFlight = true;
  Outputs.push_back(ReadShard{ShardKey});
}

void ClaimCoordinator::shardRead(Time Now, const std::string &ShardKey,
                                 const std::optional<PlatformValue> &Value,
                                 std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[ShardKey];
  Work.m_IsCallInFlight = false;
  ClaimShard Shard;
  try {
    Shard = ClaimShard::fromText(Value ? Value->m_Value : std::string());
  } catch (const ClaimShardError &) {
    // An unreadable shard does not tell which keys are claimed, so no claim is
    // granted; the claims fail at their deadlines.
    delayNextCall(Now, Work);
    return;
  }
  settleFromShard(Now, Shard, Work, Outputs);
  settleExpired(Now, Work, Outputs);
  if (Work.m_Claims.empty() && Work.m_Ends.empty())
    return;
  writeShard(Now, ShardKey, Work, std::move(Shard),
             Value ? Value->m_ModifyIndex : 0, Outputs);
}

/// Settles the claims that the shard just read already decides: own writes
/// whose answer was lost, and keys that another request claimed.
void ClaimCoordinator::settleFromShard(Time Now, const ClaimShard &Shard,
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
      recordGrant(Now, Claim);
      Outputs.push_back(
          makeSettlement(Claim.m_Request.m_Request, ClaimResult::Granted, {}));
    } else if (Claim.m_IsAbandoned) {
      // The uncertain write may still take effect. The claim stays in the list
      // until a later write of this shard succeeds, which makes the expected
      // index of the uncertain write out of date.
      if (Claim.m_IsWriteUncertain)
        Rest.push_back(std::move(Claim));
    } else if (!Entry || Entry->m_State == ClaimState::Released) {
      Rest.push_back(std::move(Claim));
    } else {
      Outputs.push_back(ExistingClaim{Claim.m_Request, *Entry});
    }
  }
  Work.m_Claims = std::move(Rest);
}

void ClaimCoordinator::writeShard(Time Now, const std::string &ShardKey,
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
    const ClaimEntry *Existing = Shard.find(Claim.m_Key.m_Hash);
    // Another claim of this batch already wrote an entry for the key.
    if (Existing && Existing->m_State != ClaimState::Released)
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
  if (Text.size() > MaxShardBytes) {
    // Claims with an uncertain earlier write are not refused, since their entry
    // may already be in the shard; the next read shows whether it is.
    std::vector<PendingClaim> Rest;
    for (PendingClaim &Claim : Work.m_Claims) {
      Claim.m_IsInWrite = false;
      if (Claim.m_IsAbandoned || Claim.m_IsWriteUncertain)
        Rest.push_back(std::move(Claim));
      else
        Outputs.push_back(makeSettlement(Claim.m_Request.m_Request,
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
  Outputs.push_back(SwapShard{ShardKey, std::move(Text), Index});
}

void ClaimCoordinator::shardSwapped(Time Now, const std::string &ShardKey,
                                    bool IsWritten,
                                    std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[ShardKey];
  Work.m_IsCallInFlight = false;
  if (!IsWritten) {
    // Another VM wrote the shard first. Retry without delay: the conflict shows
    // that the service works.
    startNextRead(Now, ShardKey, Work, Outputs);
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
      // The caller was told that the call was not run, so an entry written now
      // is released. Earlier writes can no longer take effect.
      if (Claim.m_IsInWrite)
        Work.m_Ends.push_back(
            {{Claim.m_Key, Claim.m_Nonce}, ClaimFinalState::Released, 0});
    } else if (Claim.m_IsInWrite) {
      recordGrant(Now, Claim);
      Outputs.push_back(
          makeSettlement(Claim.m_Request.m_Request, ClaimResult::Granted, {}));
    } else {
      // The claim was left out of the write because an earlier claim of the
      // batch has the same key.
      Claim.m_IsWriteUncertain = false;
      Repeated.push_back(std::move(Claim));
    }
  }
  Work.m_Claims.insert(Work.m_Claims.begin(),
                       std::make_move_iterator(Repeated.begin()),
                       std::make_move_iterator(Repeated.end()));
  startNextRead(Now, ShardKey, Work, Outputs);
}

void ClaimCoordinator::readFailed(Time Now, const std::string &ShardKey,
                                  std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[ShardKey];
  Work.m_IsCallInFlight = false;
  delayNextCall(Now, Work);
  settleExpired(Now, Work, Outputs);
}

void ClaimCoordinator::swapFailed(Time Now, const std::string &ShardKey,
                                  PlatformError::Kind Kind,
                                  std::vector<ClaimOutput> &Outputs) {
  ShardWork &Work = m_Shards[ShardKey];
  Work.m_IsCallInFlight = false;
  (void)Kind; // After any error the shard is read before the next write.
  delayNextCall(Now, Work);
  settleExpired(Now, Work, Outputs);
}

void ClaimCoordinator::delayNextCall(Time Now, ShardWork &Work) {
  Work.m_RetryDelay =
      std::clamp(Work.m_RetryDelay * 2, MinRetryDelay, MaxRetryDelay);
  Work.m_NextCallAt = Now + Work.m_RetryDelay;
}

void ClaimCoordinator::settleExpired(Time Now, ShardWork &Work,
                                     std::vector<ClaimOutput> &Outputs) {
  for (auto Claim = Work.m_Claims.begin(); Claim != Work.m_Claims.end();) {
    if (Claim->m_IsAbandoned || Now < Claim->m_Request.m_Deadline) {
      ++Claim;
      continue;
    }
    Outputs.push_back(
        makeSettlement(Claim->m_Request.m_Request, ClaimResult::Unavailable,
                       "the key-value service did not settle the claim "
                       "in time"));
    // A claim stays in the list while a call is in flight or its write is
    // uncertain, since the in-flight counts refer to list positions.
    if (Claim->m_IsWriteUncertain || Work.m_IsCallInFlight) {
      Claim->m_IsAbandoned = true;
      ++Claim;
    } else {
      Claim = Work.m_Claims.erase(Claim);
    }
  }
}

void ClaimCoordinator::recordGrant(Time Now, const PendingClaim &Claim) {
  m_Granted[Claim.m_Request.m_Request] = {Claim.m_Key, Claim.m_Nonce};
  m_Grants.emplace_back(Now, Claim.m_Request.m_Request);
}

/// Removes grants whose call was never reported as ended, because its outcome
/// is unknown. Their entries in the shard have expired too.
void ClaimCoordinator::removeExpiredGrants(Time Now) {
  while (!m_Grants.empty() &&
         m_Grants.front().first + ClaimEntryLifetime < Now) {
    m_Granted.erase(m_Grants.front().second);
    m_Grants.pop_front();
  }
}

void ClaimCoordinator::tick(Time Now, std::vector<ClaimOutput> &Outputs) {
  removeExpiredGrants(Now);
  for (auto Shard = m_Shards.begin(); Shard != m_Shards.end();) {
    ShardWork &Work = Shard->second;
    settleExpired(Now, Work, Outputs);
    startNextRead(Now, Shard->first, Work, Outputs);
    bool IsIdle =
        !Work.m_IsCallInFlight && Work.m_Claims.empty() && Work.m_Ends.empty();
    Shard = IsIdle ? m_Shards.erase(Shard) : std::next(Shard);
  }
}

std::size_t ClaimCoordinator::grantedCount() const { return m_Granted.size(); }

std::size_t ClaimCoordinator::pendingCount() const {
  std::size_t Count = 0;
  for (const auto &[ShardKey, Work] : m_Shards)
    Count += Work.m_Claims.size() + Work.m_Ends.size();
  return Count;
}

} // namespace parsleyring
