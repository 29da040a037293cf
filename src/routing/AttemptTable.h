#ifndef PARSLEYRING_ROUTING_ATTEMPTTABLE_H
#define PARSLEYRING_ROUTING_ATTEMPTTABLE_H

#include "routing/EndpointTable.h"

#include <unordered_map>

namespace parsleyring {

/// Progress of an outstanding attempt.
struct RoutedAttempt {
  /// Endpoint of each stage in route order. The EndpointTable keeps an entry
  /// while attempts use the endpoint.
  std::vector<Endpoint *> m_Stages;
  Time m_StartedAt;
  Time m_ProgressAt; ///< Time of the last token, or of the start.
  bool m_HasToken = false;
  bool m_IsStalled = false;
  /// Token interval of the route if its endpoints are unloaded.
  double m_ExpectedMicros = 0;
  double m_IntervalMicros = 0; ///< Moving average of observed intervals.
  Duration m_RoundTrip{};      ///< Between this VM and the first stage.
};

/// Outstanding attempts with their observed token intervals.
class AttemptTable {
public:
  /// Returns null if the table already has the attempt.
  RoutedAttempt *add(AttemptNumber Attempt);
  RoutedAttempt *find(AttemptNumber Attempt);
  const RoutedAttempt *find(AttemptNumber Attempt) const;
  void remove(AttemptNumber Attempt) { m_Attempts.erase(Attempt); }

  /// Adds the arrival of a token at Now to the averages of the attempt and of
  /// its endpoints.
  static void noteToken(Time Now, RoutedAttempt &Attempt);
  /// Longest time without a token before the attempt counts as stalled.
  static Duration progressTimeout(const RoutedAttempt &Attempt,
                                  Preference Preferred);
  /// Names of the endpoints that may have caused the attempt's stall; empty if
  /// one of its endpoints is in quarantine already.
  static std::vector<std::string> stallSuspects(Time Now,
                                                const RoutedAttempt &Attempt);

private:
  std::unordered_map<AttemptNumber, RoutedAttempt> m_Attempts;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ATTEMPTTABLE_H
