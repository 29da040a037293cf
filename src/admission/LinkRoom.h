#ifndef PARSLEYRING_ADMISSION_LINKROOM_H
#define PARSLEYRING_ADMISSION_LINKROOM_H

#include "fleet/DomainLink.h"
#include "fleet/EngineModel.h"
#include "fleet/LimitShare.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleyring {

/// How a request uses the links between failure domains.
enum class LinkUse {
  Urgent,   ///< A new stream of the most urgent priority.
  Ordinary, ///< Another new stream.
  Begun,    ///< A stream that may have run; it may overdraw the share.
};

/// One crossing of a link by a request.
struct LinkCrossing {
  DomainLink m_Link;
  LinkUse m_Use = LinkUse::Urgent;
  double m_Megabits = 0;
};

/// The VMs among which a link is divided, as far as the digests tell.
struct LinkUsers {
  /// Demand of other VMs and of this VM's other services, in Mbit/s.
  double m_ReportedDemand = 0;
  /// Number by which the known demand is multiplied, to account for VMs that do
  /// not report theirs; at least 1.
  double m_LoadFactor = 1;
  std::size_t m_VMs = 1; ///< All of them, with this one.
  /// False if no other VM reports anything.
  bool m_HasReports = true;
};

/// A link from which requests are kept from now on, or not any more.
struct LinkChange {
  DomainLink m_Link;
  bool m_IsLimited = false;
};

/// This VM's share of the links between failure domains, for the requests of
/// one service. A crossing of a link takes credit for the state of the tokens
/// that is sent over it. Links without a stated rate are not limited.
class LinkRoom {
public:
  /// Sets the rate of the links and the size of a usual request.
  void configure(const EngineModel &Model);
  /// Megabits that one crossing with Tokens tokens takes.
  static double megabits(const EngineModel &Model, double Tokens);

  /// Updates the credit for Link; to be called before the following functions.
  /// Random (0 to 1) keeps the VMs from using an idle link at the same time.
  void update(const DomainLink &Link, const LinkUsers &Users, double Random,
              Time Now);
  /// Records a crossing that this VM makes, or would make if its share allowed
  /// it.
  void noteDemand(const DomainLink &Link, double Megabits, Time Now);
  /// True if a crossing may begin.
  bool mayCross(const DomainLink &Link, LinkUse Use) const;
  /// True if a crossing whose credit was taken in advance may begin.
  bool isReserveEarned(const DomainLink &Link, LinkUse Use) const;
  /// Takes the credit of a crossing. One that waits for its credit takes it in
  /// advance, so that it is not promised twice.
  void take(const DomainLink &Link, LinkUse Use, double Megabits);
  /// Returns the credit of a crossing that was not made.
  void giveBack(const DomainLink &Link, LinkUse Use, double Megabits);
  /// Time until a crossing may begin; MaxDelay if it is later or unknown.
  Duration delay(const DomainLink &Link, LinkUse Use) const;
  /// Requests of the usual size per second for which this VM gets credit.
  double requestsPerSecond(const DomainLink &Link, LinkUse Use) const;

  /// Records that a crossing was kept from Link.
  void noteLimited(const DomainLink &Link, Time Now);
  /// The links from which crossings are kept, or are not kept any more, since
  /// the last call.
  std::vector<LinkChange> takeChanges(Time Now);
  /// Mbit/s that this VM would send over Link.
  double demand(const DomainLink &Link, Time Now) const;
  /// The same for all links that this VM has used.
  std::map<DomainLink, double> demands(Time Now) const;

  /// Part of a link's rate that is used. The rest absorbs bursts.
  static constexpr double UsableFraction = 0.7;
  /// Part of the credit that is kept for streams that are not urgent.
  static constexpr double OrdinaryFraction = 0.25;
  static constexpr Duration MaxDelay = std::chrono::seconds(3600);
  /// A link is limited until this long after the last crossing was kept from
  /// it: near the limit, some requests get credit and others do not.
  static constexpr Duration LimitedTime = std::chrono::seconds(5);

private:
  /// The state of one link.
  struct Share {
    DemandShare m_Demand;
    /// Megabits; negative if too much has been sent.
    double m_UrgentCredit = 0;
    double m_OrdinaryCredit = 0;
    double m_MaxCredit = 0;
    Time m_LastDemandAt{};
    Time m_DemandBeganAt{}; ///< First demand after the link was idle.
    bool m_IsStarted = false;
    bool m_IsIdle = true;
    Time m_LimitedAt{};       ///< Last crossing that was kept from the link.
    bool m_IsLimited = false; ///< As last returned by takeChanges().

    double &credit(LinkUse Use) {
      return Use == LinkUse::Ordinary ? m_OrdinaryCredit : m_UrgentCredit;
    }
    /// Of the kind of stream that Use is not.
    double otherCredit(LinkUse Use) const {
      return Use == LinkUse::Ordinary ? m_UrgentCredit : m_OrdinaryCredit;
    }
  };

  double usableRate() const { return UsableFraction * m_RateMegabits; }
  bool isLimited() const { return m_RateMegabits > 0 && m_UsualMegabits > 0; }
  Duration idleTime(double VMs) const;
  void divide(Share &Link, const LinkUsers &Users, double Demand,
              Time Now) const;
  void earn(Share &Link, const LinkUsers &Users, Time Now) const;
  void becomeIdle(Share &Link, double VMs, double Random) const;
  /// Credit that is missing for a crossing; 0 or less if none is.
  double missingCredit(const Share &Link, LinkUse Use) const;

  double m_RateMegabits = 0; ///< Per second; 0 if not stated.
  double m_UsualMegabits = 0;
  std::map<DomainLink, Share> m_Shares;
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_LINKROOM_H
