#ifndef PARSLEYRING_ROUTING_ATTEMPTTABLE_H
#define PARSLEYRING_ROUTING_ATTEMPTTABLE_H

#include "routing/EndpointTable.h"

#include <unordered_map>

namespace parsleyring {

/// What the planner knows of an attempt that is outstanding.
struct RoutedAttempt {
  /// Entries of the endpoint table; it keeps them while attempts use them.
  std::vector<Endpoint *> m_Stages;
  Time m_StartedAt;
  Time m_ProgressAt; ///< Of the last token, or of the start.
  bool m_HasToken = false;
  bool m_IsStalled = false;
  /// Token interval with unloaded endpoints.
  double m_ExpectedMicros = 0;
  double m_IntervalMicros = 0; ///< Observed, averaged.
  Duration m_RoundTrip{};      ///< Between this VM and the first stage.
};

/// Attempts that are outstanding, with their observed token intervals.
class AttemptTable {
public:
  /// Returns null if the attempt is known already.
  RoutedAttempt *add(AttemptNumber Attempt);
  RoutedAttempt *find(AttemptNumber Attempt);
  const RoutedAttempt *find(AttemptNumber Attempt) const;
  void remove(AttemptNumber Attempt) { m_Attempts.erase(Attempt); }

  /// Takes the time of a token into the averages of attempt and endpoints.
  static void noteToken(Time Now, RoutedAttempt &Attempt);
  static Duration progressTimeout(const RoutedAttempt &Attempt,
                                  Preference Weight);
  /// Stages that can be the cause of a stall.
  static std::vector<std::string> suspects(Time Now,
                                           const RoutedAttempt &Attempt);

private:
  std::unordered_map<AttemptNumber, RoutedAttempt> m_Attempts;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ATTEMPTTABLE_H
