#ifndef PARSLEYRING_RETRIES_RETRYSHARE_H
#define PARSLEYRING_RETRIES_RETRYSHARE_H

#include "parsleyring/Types.h"

#include <deque>

namespace parsleyring {

/// This VM's share of a bound on the retries of all VMs together: in each
/// window, a ratio of the requests plus a fixed number.
class RetryShare {
public:
  /// FixedRetries is the share of this VM in the fixed number.
  RetryShare(double Ratio, double FixedRetries, Duration Window)
      : m_Ratio(Ratio), m_FixedRetries(FixedRetries), m_Window(Window) {}

  void setFixedRetries(double Value) { m_FixedRetries = Value; }
  void noteRequest(Time Now);
  /// Takes one retry; false if the share of the window is used up.
  bool tryTake(Time Now);
  /// Retries that are left in the window that ends now.
  double remaining(Time Now);

private:
  void forget(Time Now);

  double m_Ratio;
  double m_FixedRetries;
  Duration m_Window;
  std::deque<Time> m_Requests;
  std::deque<Time> m_Retries;
};

} // namespace parsleyring

#endif // PARSLEYRING_RETRIES_RETRYSHARE_H
