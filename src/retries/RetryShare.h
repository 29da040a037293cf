#ifndef PARSLEYRING_RETRIES_RETRYSHARE_H
#define PARSLEYRING_RETRIES_RETRYSHARE_H

#include "parsleyring/Types.h"

#include <deque>

namespace parsleyring {

/// Bound on the retries of all VMs together: in each window, a ratio of the
/// requests plus a fixed number.
struct RetryBound {
  double m_Ratio = 0;
  double m_FixedRetries = 0;
  Duration m_Window{};
};

/// This VM's share of a RetryBound. The VMs keep to the bound without
/// communicating.
class RetryShare {
public:
  RetryShare(const RetryBound &Bound, Time StartedAt)
      : m_Bound(Bound), m_StartedAt(StartedAt) {}

  /// Sets the number of VMs among which the fixed number is divided; a smaller
  /// number than before is ignored.
  void setVMCount(std::size_t VMCount);
  void noteRequest(Time Now);
  /// Takes one retry; returns false if the share of the window is used up.
  bool tryTake(Time Now);
  /// Number of retries that are left in the window that ends at Now.
  double remaining(Time Now);

private:
  void removeExpired(Time Now);

  RetryBound m_Bound;
  Time m_StartedAt;
  std::size_t m_VMCount = 0;
  std::deque<Time> m_Requests;
  std::deque<Time> m_Retries;
};

} // namespace parsleyring

#endif // PARSLEYRING_RETRIES_RETRYSHARE_H
