#ifndef PARSLEYRING_FLEET_ENDPOINTLIMIT_H
#define PARSLEYRING_FLEET_ENDPOINTLIMIT_H

#include "parsleyring/Types.h"

#include <optional>
#include <string_view>

namespace parsleyring {

/// The number of requests per second that an endpoint accepts from all VMs
/// together, as it states in its answers while it is in need.
class EndpointLimit {
public:
  /// Returns nothing unless Text is a decimal number that is not negative.
  static std::optional<double> parseRate(std::string_view Text);

  /// Records the rate that an answer states. Returns true if it is new.
  bool noteStated(double RequestsPerSecond, Time Now);
  /// Records an answer without a rate, to a request sent at SentAt. Returns
  /// true if it shows that the limit has ended.
  bool noteNotStated(Time SentAt);

  /// Requests per second; empty if the endpoint states no limit.
  std::optional<double> rate() const { return m_Rate; }

private:
  std::optional<double> m_Rate;
  Time m_StatedAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_ENDPOINTLIMIT_H
