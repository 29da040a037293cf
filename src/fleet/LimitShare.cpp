#include "fleet/LimitShare.h"

namespace parsleyring {

// Part of the limit that is used. The rest covers that the VMs learn of each
// other's demand with a delay.
static constexpr double UsableFraction = 0.9;
// Requests per second that all VMs together send at least, since only an answer
// shows that an endpoint accepts more again.
static constexpr double MinLimit = 0.2;
// The least demand that is divided equally, in requests per second.
static constexpr double MinBaseDemand = 0.01;
// Credit that a VM without requests saves, in seconds of its share.
static constexpr double MaxCreditSeconds = 1;
// With a smaller maximum, part of the credit for a request would be lost when
// the next one is sent.
static constexpr double MinMaxCredit = 2;
// Too many requests reached the endpoint shortly before the limit was known.
// For RepaymentSeconds it gets fewer by this part of the excess, if need be
// none.
static constexpr double RepaymentSeconds = 4;
static constexpr double RepaidFraction = 1.0 / 3;
// Longest time without requests after too many of them, in seconds.
static constexpr double MaxDebtSeconds = 3;

void LimitShare::divide(double Limit, const LimitUsers &Users, Time Now) {
  double VMs = static_cast<double>(std::max<std::size_t>(1, Users.m_VMs));
  double Demand = demand(Now);
  double Total = (Demand + Users.m_ReportedDemand) * Users.m_LoadFactor;
  // Until they report, the other VMs are assumed to need as much as this one,
  // with the request that is about to be sent.
  bool HaveReported = Users.m_LimitAge >= DemandShare::ReportDelay;
  if (!HaveReported)
    Total = std::max(Total, (Demand + RateEstimate::RatePerEvent) * VMs);
  m_IsDemandBelowLimit = HaveReported && Total <= UsableFraction * Limit;
  Limit = std::max(Limit, MinLimit);
  if (std::chrono::duration<double>(Users.m_LimitAge).count() <
      RepaymentSeconds)
    Limit -= std::max(0.0, Total - Limit) * RepaidFraction;
  m_Share.divide(UsableFraction * std::max(0.0, Limit), Total, MinBaseDemand,
                 VMs, Now);
}

void LimitShare::start(double Random, Time Now) {
  m_IsStarted = true;
  m_Credit = Random + m_Share.creditPerDemand();
  m_Share.startEarning(Now);
}

void LimitShare::update(double Limit, const LimitUsers &Users, double Random,
                        Time Now) {
  divide(Limit, Users, Now);
  // Credit that is saved meanwhile would let all VMs send at the same time as
  // soon as the limit is too low.
  if (m_IsDemandBelowLimit) {
    m_IsStarted = false;
    return;
  }
  if (m_IsStarted)
    m_Credit += m_Share.takeEarned(Now);
  else
    start(Random, Now);
  m_Credit = std::clamp(m_Credit, -rate() * MaxDebtSeconds,
                        std::max(MinMaxCredit, rate() * MaxCreditSeconds));
}

} // namespace parsleyring
