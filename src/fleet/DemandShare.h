#ifndef PARSLEYRING_FLEET_DEMANDSHARE_H
#define PARSLEYRING_FLEET_DEMANDSHARE_H

#include "fleet/RateEstimate.h"

namespace parsleyring {

/// The demand of this VM for something of which all VMs together may use a
/// limited rate, and the credit that it earns with its demand. The rate is
/// divided in proportion to the demand of each VM.
class DemandShare {
public:
  void note(double Amount, Time Now) { m_Demand.note(Now, Amount); }
  /// Amount per second.
  double demand(Time Now) const { return m_Demand.rate(Now); }

  /// Divides Rate by the demand of all VMs, Total. MinBaseDemand is the least
  /// demand that is divided equally.
  void divide(double Rate, double Total, double MinBaseDemand, double VMs,
              Time Now) {
    m_BaseDemand = std::max(Total * BaseFraction, MinBaseDemand) / VMs;
    m_CreditPerDemand = Rate / (Total + m_BaseDemand * VMs);
    m_Rate = m_CreditPerDemand * (demand(Now) + m_BaseDemand);
  }
  double creditPerDemand() const { return m_CreditPerDemand; }
  /// Credit per second.
  double rate() const { return m_Rate; }

  /// Starts to count the credit that is earned.
  void startEarning(Time Now) {
    m_CountedDemand = m_Demand.smoothedCount(Now);
    m_EarnedAt = Now;
  }
  /// Demand since credit was last earned, on average.
  double averageDemand(Time Now) const {
    double Seconds = std::chrono::duration<double>(Now - m_EarnedAt).count();
    return Seconds > 0
               ? (m_Demand.smoothedCount(Now) - m_CountedDemand) / Seconds
               : demand(Now);
  }
  /// Returns the credit that was earned since the last call.
  double takeEarned(Time Now) {
    double Seconds = std::chrono::duration<double>(Now - m_EarnedAt).count();
    double Counted = m_CountedDemand;
    startEarning(Now);
    return m_CreditPerDemand *
           (m_CountedDemand - Counted + m_BaseDemand * std::max(0.0, Seconds));
  }

  /// Part of the rate that is divided equally, so that a VM without recent
  /// demand has a share. It is computed as an additional demand of all VMs.
  static constexpr double BaseFraction = 0.05;
  /// Reports of a new demand take up to this long to arrive, also from other
  /// failure domains.
  static constexpr Duration ReportDelay = std::chrono::milliseconds(1000);

private:
  RateEstimate m_Demand;
  double m_CreditPerDemand = 0;
  /// Demand that is added to that of each VM.
  double m_BaseDemand = 0;
  double m_Rate = 0;
  double m_CountedDemand = 0; ///< Smoothed count of demand at m_EarnedAt.
  Time m_EarnedAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_DEMANDSHARE_H
