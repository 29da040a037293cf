#ifndef PARSLEYRING_FLEET_ENDPOINTREST_H
#define PARSLEYRING_FLEET_ENDPOINTREST_H

#include "parsleyring/Types.h"

#include <optional>
#include <string_view>

namespace parsleyring {

/// A time for which an endpoint wants no requests from this VM, as it states
/// when it rejects one.
class EndpointRest {
public:
  /// Reads the time from now on that an HTTP Retry-After field states: a number
  /// of seconds or a date. AnsweredAt is the time of the answer by the clock of
  /// the endpoint, for dates. Returns nothing if Text is malformed or states no
  /// time. At most MaxStated.
  static std::optional<Duration> parse(std::string_view Text, Time AnsweredAt);
  /// Reads an HTTP date.
  static std::optional<Time> parseDate(std::string_view Text);

  /// Records that an answer states a rest of Stated. Returns true if the
  /// endpoint did not rest before.
  bool noteStated(Duration Stated, Time Now);
  /// Records that a request is sent to the endpoint, which does not rest.
  void noteSent(Time Now);
  /// Records that the endpoint has accepted a request that was sent at SentAt.
  void noteAccepted(Time SentAt, Time Now);
  /// Returns true once after each rest, when its stated time is over or the
  /// endpoint has accepted a request.
  bool takeEnd(Time Now);

  bool isResting(Time Now) const { return Now < m_Until; }
  /// When this VM sends a request again.
  Time until() const { return m_Until; }

  /// After this much of a longer rest, requests test whether the endpoint still
  /// rests: values that are too large by mistake, such as milliseconds, would
  /// exclude it for hours.
  static constexpr Duration MaxUntested = std::chrono::minutes(10);
  /// Tests of one rest; an endpoint may get no more requests while it rests.
  static constexpr int MaxTests = 2;
  /// Longer times are read as this one, which is longer than an endpoint runs.
  static constexpr Duration MaxStated = std::chrono::hours(24 * 365);

private:
  Time m_Until{};
  Time m_StatedUntil{}; ///< Later than m_Until if the endpoint is tested.
  Time m_StatedAt{};    ///< Of the newest statement.
  int m_Tests = 0;
  bool m_IsEndPending = false; ///< takeEnd() has not reported the end.
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_ENDPOINTREST_H
