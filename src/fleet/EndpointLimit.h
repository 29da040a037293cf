#ifndef PARSLEYRING_FLEET_ENDPOINTLIMIT_H
#define PARSLEYRING_FLEET_ENDPOINTLIMIT_H

#include "parsleyring/Types.h"

#include <optional>
#include <string_view>

namespace parsleyring {

/// What one VM tells another one about the limit of an endpoint.
struct LimitReport {
  /// Requests per second; empty if the endpoint no longer states a limit.
  std::optional<double> m_Rate;
  Duration m_Age{}; ///< Since the answer from which the VM knows it.
};

/// The number of requests per second that an endpoint accepts from all VMs
/// together, as it states in its answers while it is in need. The newest
/// statement counts, whether this VM or another one got it.
class EndpointLimit {
public:
  /// Returns nothing unless Text is a decimal number that is not negative.
  static std::optional<double> parseRate(std::string_view Text);

  /// Records the rate that an answer states. Returns true if it is new.
  bool noteStated(double RequestsPerSecond, Time Now);
  /// Records an answer without a rate, to a request sent at SentAt. Returns
  /// true if it shows that the limit has ended.
  bool noteNotStated(Time SentAt);
  /// Applies what another VM reports. Returns true if the rate has changed.
  bool apply(const LimitReport &Report, Time Now);

  /// Requests per second; empty if the endpoint states no limit.
  std::optional<double> rate() const { return m_Newest.m_Rate; }
  /// When this VM got to know that there is a limit.
  Time knownSince() const { return m_KnownSince; }
  /// What this VM itself got from the endpoint, unless it is outdated.
  std::optional<LimitReport> ownReport(Time Now) const;

private:
  struct Statement {
    std::optional<double> m_Rate;
    Time m_At{};
  };

  Statement m_Own;    ///< From an answer to this VM.
  Statement m_Newest; ///< From an answer to any VM.
  Time m_KnownSince{};
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_ENDPOINTLIMIT_H
