#include "admission/AccountTable.h"

#include <algorithm>

namespace parsleyring {

/// Depth of the token bucket, in seconds of the rate. Bounds the burst.
static constexpr double BurstSeconds = 1;
/// Fraction of the rate that is divided equally between the VMs; the rest
/// follows their usage. Without the equal fraction, the VM that first gets an
/// account's requests would keep the others at zero; with it, equal demand
/// converges to equal rates.
static constexpr double EqualRateFraction = 0.2;
/// Interval of the digests between failure domains, so the usage of the peers
/// is known with about this delay.
static constexpr Duration UsageInterval = std::chrono::seconds(1);
static constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(100);
static constexpr Duration LongestRetryAfter = std::chrono::seconds(60);
static constexpr Duration OutstandingRetryAfter = std::chrono::seconds(1);

void AccountTable::apply(const Document &Configuration) {
  m_Limits.clear();
  m_Limits.reserve(Configuration.m_Accounts.size());
  for (const ClientAccount &Account : Configuration.m_Accounts)
    m_Limits[Account.m_Name] = {Account.m_RequestsPerSecond,
                                Account.m_MaxOutstanding};
}

void AccountTable::setPeers(const PeersChanged &Peers) {
  m_VMCount = Peers.m_LivePeers + 1;
  m_PeerOutstanding = Peers.m_PeerOutstanding;
}

std::uint32_t AccountTable::peerOutstanding(const std::string &Account) const {
  auto Found = m_PeerOutstanding.find(Account);
  return Found == m_PeerOutstanding.end() ? 0 : Found->second;
}

void AccountTable::advanceInterval(Time Now, AccountUsage &Usage) {
  if (Now - Usage.m_IntervalStart < UsageInterval)
    return;
  bool IsNext = Now - Usage.m_IntervalStart < 2 * UsageInterval;
  Usage.m_LastPeak = IsNext ? Usage.m_Peak : Usage.m_Outstanding;
  Usage.m_Peak = Usage.m_Outstanding;
  Usage.m_OutstandingAtStart = Usage.m_Outstanding;
  Usage.m_IntervalStart = Now;
}

AccountTable::AccountUsage &AccountTable::usageOf(Time Now,
                                                  const std::string &Account) {
  auto [Found, IsNew] = m_UsageByAccount.try_emplace(Account);
  AccountUsage &Usage = Found->second;
  if (IsNew) {
    // Time zero, so that the first refill fills the bucket.
    Usage.m_RefilledAt = Time();
    Usage.m_IntervalStart = Now;
  }
  advanceInterval(Now, Usage);
  return Usage;
}

double AccountTable::refill(Time Now, AccountUsage &Usage, const Limits &Limit,
                            std::uint32_t Peers) const {
  double Rate = Limit.m_RequestsPerSecond * rateFraction(Usage, Peers);
  double Seconds =
      std::chrono::duration<double>(Now - Usage.m_RefilledAt).count();
  Usage.m_RefilledAt = std::max(Usage.m_RefilledAt, Now);
  Usage.m_Tokens = std::min(std::max(Rate * BurstSeconds, 1.0),
                            Usage.m_Tokens + Rate * std::max(Seconds, 0.0));
  return Rate;
}

double AccountTable::rateFraction(const AccountUsage &Usage,
                                  std::uint32_t Peers) const {
  if (Peers == 0)
    return 1;
  double Own = std::max(Usage.m_Peak, Usage.m_LastPeak);
  return EqualRateFraction / m_VMCount +
         (1 - EqualRateFraction) * Own / (Own + Peers);
}

std::uint32_t AccountTable::outstandingLimit(const AccountUsage &Usage,
                                             const Limits &Limit,
                                             std::uint32_t Peers) const {
  std::uint32_t EqualPart = std::max(Limit.m_MaxOutstanding / m_VMCount, 1U);
  std::uint32_t Start = Usage.m_OutstandingAtStart;
  std::uint32_t InUse = Start + Peers;
  if (InUse >= Limit.m_MaxOutstanding)
    return std::max(EqualPart, Start);
  // In one interval a VM may take its equal part of the free requests, or
  // double its own outstanding requests, or take half of the free requests if
  // no other VM uses the account. All VMs together can exceed the limit for one
  // interval; strict parts would refuse requests below the limit whenever they
  // are not spread evenly.
  std::uint32_t Free = Limit.m_MaxOutstanding - InUse;
  std::uint32_t Growth = std::max(Free / m_VMCount, std::min(Free, Start));
  if (Peers == 0)
    Growth = std::max(Growth, (Free + 1) / 2);
  return std::max(EqualPart, Start + Growth);
}

AdmissionDecision AccountTable::admit(Time Now, const std::string &Account) {
  auto Found = m_Limits.find(Account);
  if (Found == m_Limits.end())
    return {AdmissionResult::UnknownAccount, LongestRetryAfter};
  const Limits &Limit = Found->second;
  std::uint32_t Peers = peerOutstanding(Account);
  AccountUsage &Usage = usageOf(Now, Account);

  double Rate = refill(Now, Usage, Limit, Peers);
  if (Usage.m_Outstanding >= outstandingLimit(Usage, Limit, Peers))
    return {AdmissionResult::OutstandingLimited, OutstandingRetryAfter};
  if (Usage.m_Tokens < 1) {
    // A refused request counts as demand, as an admitted one does.
    Usage.m_Peak = std::max(Usage.m_Peak, 1U);
    double Wait = Rate > 0 ? (1 - Usage.m_Tokens) / Rate : 1e6;
    Duration RetryAfter(static_cast<std::int64_t>(std::min(Wait, 1e6) * 1e6));
    return {AdmissionResult::RateLimited,
            std::clamp(RetryAfter, ShortestRetryAfter, LongestRetryAfter)};
  }
  Usage.m_Tokens -= 1;
  return {};
}

void AccountTable::noteStarted(Time Now, const std::string &Account) {
  AccountUsage &Usage = usageOf(Now, Account);
  ++Usage.m_Outstanding;
  Usage.m_Peak = std::max(Usage.m_Peak, Usage.m_Outstanding);
}

void AccountTable::noteEnded(Time Now, const std::string &Account) {
  AccountUsage &Usage = usageOf(Now, Account);
  if (Usage.m_Outstanding > 0)
    --Usage.m_Outstanding;
}

std::uint32_t AccountTable::outstanding(const std::string &Account) const {
  auto Found = m_UsageByAccount.find(Account);
  return Found == m_UsageByAccount.end() ? 0 : Found->second.m_Outstanding;
}

bool AccountTable::isBucketFull(Time Now, const std::string &Account,
                                AccountUsage &Usage) const {
  auto Found = m_Limits.find(Account);
  if (Found == m_Limits.end())
    return true;
  double Rate = refill(Now, Usage, Found->second, peerOutstanding(Account));
  return Usage.m_Tokens >= std::max(Rate * BurstSeconds, 1.0);
}

std::map<std::string, std::uint32_t> AccountTable::usage(Time Now) {
  std::map<std::string, std::uint32_t> Result;
  for (auto At = m_UsageByAccount.begin(); At != m_UsageByAccount.end();) {
    AccountUsage &Usage = At->second;
    advanceInterval(Now, Usage);
    std::uint32_t Peak = std::max(Usage.m_Peak, Usage.m_LastPeak);
    if (Peak > 0)
      Result[At->first] = Peak;
    At = Peak == 0 && isBucketFull(Now, At->first, Usage)
             ? m_UsageByAccount.erase(At)
             : std::next(At);
  }
  return Result;
}

} // namespace parsleyring
