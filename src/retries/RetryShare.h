#ifndef PARSLEYRING_RETRIES_RETRYSHARE_H
#define PARSLEYRING_RETRIES_RETRYSHARE_H

#include "parsleyring/Types.h"

#include <deque>

namespace parsleyring {

/// A bound on the retries of all VMs together: in each window, a ratio of the
/// requests plus a fixed number.
struct RetryBound {
  double m_Ratio = 0;
  double m_FixedRetries = 0;
  Duration m_Window{};
};

/// This VM's share of the bound. The VMs keep to it without talking to each
/// other.
class RetryShare {
public:
  RetryShare(const RetryBound &Bound, Time StartedAt)
      : m_Bound(Bound), m_StartedAt(StartedAt) {}

  /// VMs among which the fixed number is divided.
  void setVMs(std::size_t VMs);
  void noteRequest(Time Now);
  /// Takes one retry; false if the share of the window is used up.
  bool tryTake(Time Now);
  /// Retries that are left in the window that ends now.
  double remaining(Time Now);

private:
  void forget(Time Now);

  RetryBound m_Bound;
  Time m_StartedAt;
  std::size_t m_VMs = 0;
  std::deque<Time> m_Requests;
  std::deque<Time> m_Retries;
};

} // namespace parsleyring

#endif // PARSLEYRING_RETRIES_RETRYSHARE_H
