#ifndef PARSLEYRING_RETRIES_RETRYBUDGET_H
#define PARSLEYRING_RETRIES_RETRYBUDGET_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Bounds the retries of one pool to a fraction of its requests plus a small
/// minimum rate, so that retries do not overload a failing pool.
class RetryBudget {
public:
  explicit RetryBudget(double RetriesPerRequest);

  void setRetriesPerRequest(double RetriesPerRequest) {
    m_RetriesPerRequest = RetriesPerRequest;
  }
  /// Counts a request received for the pool.
  void noteRequest(Time Now);
  /// Takes one retry from the budget; returns false if none is left.
  bool tryTake(Time Now);

private:
  void refill(Time Now);

  double m_RetriesPerRequest;
  double m_Tokens;
  Time m_RefilledAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_RETRIES_RETRYBUDGET_H
