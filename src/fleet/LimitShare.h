#ifndef PARSLEYRING_FLEET_LIMITSHARE_H
#define PARSLEYRING_FLEET_LIMITSHARE_H

#include "fleet/DemandShare.h"

namespace parsleyring {

/// The VMs among which the limit of an endpoint is divided.
struct LimitUsers {
  /// Requests per second that other VMs would send, as far as they report it.
  double m_ReportedDemand = 0;
  /// Number by which a known demand is multiplied, to account for VMs that do
  /// not report theirs; at least 1.
  double m_LoadFactor = 1;
  std::size_t m_VMs = 1; ///< All of them, with this one.
  Duration m_LimitAge{}; ///< Since this VM knows that there is a limit.
};

/// This VM's share of the number of requests per second that an endpoint
/// accepts from all VMs together. The limit is divided in proportion to the
/// requests that each VM would send without it, which the VMs report to each
/// other. The share is a rate of credit: each request takes one credit.
class LimitShare {
public:
  /// Records a request that this VM sends to the endpoint, or would send if the
  /// limit allowed it; to be called after update().
  void noteDemand(Time Now) { m_Share.note(1, Now); }
  /// Requests per second.
  double demand(Time Now) const { return m_Share.demand(Now); }

  /// Updates the credit under Limit; to be called before the following
  /// functions. Random (0 to 1) keeps VMs with small shares from sending at the
  /// same time.
  void update(double Limit, const LimitUsers &Users, double Random, Time Now);
  /// Forgets the credit, since there is no limit any more.
  void stop() { m_IsStarted = false; }
  /// True if the endpoint may get a request of this VM now.
  bool hasCredit() const { return m_IsDemandBelowLimit || m_Credit >= 1; }
  void noteSent() { m_Credit -= 1; }
  double credit() const { return m_Credit; }
  /// Requests per second.
  double rate() const { return m_Share.rate(); }

private:
  void start(double Random, Time Now);
  void divide(double Limit, const LimitUsers &Users, Time Now);

  DemandShare m_Share;
  double m_Credit = 0; ///< Requests; negative if too many have been sent.
  bool m_IsStarted = false;
  bool m_IsDemandBelowLimit = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_LIMITSHARE_H
