#ifndef PARSLEYRING_ADMISSION_ACCOUNTTABLE_H
#define PARSLEYRING_ADMISSION_ACCOUNTTABLE_H

#include "parsleyring/Events.h"

#include <map>
#include <string>
#include <unordered_map>

namespace parsleyring {

enum class AdmissionResult {
  Admitted,
  RateLimited,        ///< Over the account's requests per second.
  OutstandingLimited, ///< Over the account's limit on outstanding requests.
  UnknownAccount,     ///< Not in the configuration in force.
};

struct AdmissionDecision {
  AdmissionResult m_Result = AdmissionResult::Admitted;
  Duration m_RetryAfter{}; ///< Zero if admitted.
};

/// Enforces the rate and outstanding limits of the client accounts. The limits
/// hold over all VMs together; each VM enforces a part of them that it derives
/// from the number of live peers and from the peers' outstanding requests.
class AccountTable {
public:
  void apply(const Document &Configuration);
  void setPeers(const PeersChanged &Peers);

  /// Takes one token of the account's rate if the request is admitted. The
  /// caller reports an admitted request with noteStarted().
  AdmissionDecision admit(Time Now, const std::string &Account);
  void noteStarted(Time Now, const std::string &Account);
  void noteEnded(Time Now, const std::string &Account);

  std::uint32_t outstanding(const std::string &Account) const;
  /// Usage for the digests to the peers: for each active account, the peak
  /// number of outstanding requests in the current and the previous interval.
  /// The current number alone would miss requests that are shorter than the
  /// interval of the digests.
  std::map<std::string, std::uint32_t> usage(Time Now);

private:
  struct Limits {
    double m_RequestsPerSecond = 0;
    std::uint32_t m_MaxOutstanding = 0;
  };

  /// State of an account that is in use; dropped when it is idle and its token
  /// bucket is full.
  struct AccountUsage {
    std::uint32_t m_Outstanding = 0;
    double m_Tokens = 0;
    Time m_RefilledAt{};
    // Peak number of outstanding requests in the current and the last interval.
    std::uint32_t m_Peak = 0;
    std::uint32_t m_LastPeak = 0;
    Time m_IntervalStart{};
    std::uint32_t m_OutstandingAtStart = 0;
  };

  AccountUsage &usageOf(Time Now, const std::string &Account);
  /// Refills the token bucket up to Now. Returns this VM's part of the
  /// account's rate, in requests per second.
  double refill(Time Now, AccountUsage &Usage, const Limits &Limit,
                std::uint32_t Peers) const;
  /// True if the token bucket is full. Such a bucket need not be stored, since
  /// a new one starts full.
  bool isBucketFull(Time Now, const std::string &Account,
                    AccountUsage &Usage) const;
  static void advanceInterval(Time Now, AccountUsage &Usage);
  std::uint32_t peerOutstanding(const std::string &Account) const;
  double rateFraction(const AccountUsage &Usage, std::uint32_t Peers) const;
  std::uint32_t outstandingLimit(const AccountUsage &Usage, const Limits &Limit,
                                 std::uint32_t Peers) const;

  std::unordered_map<std::string, Limits> m_Limits;
  std::map<std::string, AccountUsage> m_UsageByAccount;
  std::map<std::string, std::uint32_t> m_PeerOutstanding;
  std::uint32_t m_VMCount = 1;
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_ACCOUNTTABLE_H
