#ifndef PARSLEYRING_RETRIES_RETRYBUDGET_H
#define PARSLEYRING_RETRIES_RETRYBUDGET_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Bounds the retries of one pool, so that a failing pool does not get more
/// load from retries than a fraction of its requests plus a small floor.
class RetryBudget {
public:
  explicit RetryBudget(double GainPerRequest);

  void setGain(double GainPerRequest) { m_GainPerRequest = GainPerRequest; }
  /// Counts a request received for the pool.
  void noteRequest(Time Now);
  /// Takes one retry from the budget; false if none is left.
  bool tryTake(Time Now);

private:
  void fill(Time Now);

  double m_GainPerRequest;
  double m_Tokens;
  Time m_FilledAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_RETRIES_RETRYBUDGET_H
