#ifndef PARSLEYRING_ADMISSION_SERVICEROOM_H
#define PARSLEYRING_ADMISSION_SERVICEROOM_H

#include "fleet/FleetTable.h"
#include "fleet/RateEstimate.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyring {

/// An engine at which paths begin, with the load of all VMs.
struct FirstEngineLoad {
  std::string m_Id;
  double m_Slots = 0;         ///< 0 if the engine does not state them.
  double m_Running = 0;       ///< Requests that take up a slot or wait for one.
  double m_EndsPerSecond = 0; ///< Of requests that took up a slot.

  FirstEngineLoad() = default;
  FirstEngineLoad(std::string Id, double Slots, double Running,
                  double EndsPerSecond)
      : m_Id(std::move(Id)), m_Slots(Slots), m_Running(Running),
        m_EndsPerSecond(EndsPerSecond) {}
  /// Scales what this VM knows by LoadFactor, as LayerPathPlanner::slotFill().
  FirstEngineLoad(const FleetEndpoint &Engine, double LoadFactor, Time Now);

  bool hasFreeSlot() const { return m_Slots == 0 || m_Running + 1 <= m_Slots; }
  /// Ends per second, with a lower bound while none has been seen.
  double endsPerSecond() const;
  /// Until one more request gets a slot, in seconds.
  double waitSeconds() const;
};

/// What ServiceRoom needs to know of a service.
struct ServiceLoad {
  /// The engines that may get requests now.
  std::vector<FirstEngineLoad> m_Engines;
  /// Requests per second that this VM would send, and that all VMs would.
  double m_OwnDemand = 0;
  double m_Demand = 0;
  std::size_t m_VMs = 1; ///< All of them, with this one.
};

/// Decides whether requests may be sent to the first engines of a service.
///
/// While slots are free, everything is sent. From the time at which all slots
/// are full, each VM sends at its share of the rate at which they become free:
/// credit accrues at that rate, and each request takes one. The rate also
/// returns the number of running requests to the number of slots, within
/// CorrectionSeconds, so that VMs that see the same free slots in their digests
/// do not all fill them, and then all stop. The credit is also divided between
/// the engines, so that they do not all choose the same engine.
class ServiceRoom {
public:
  /// Random (0 to 1) keeps VMs with small shares from sending at the same time.
  explicit ServiceRoom(double Random = 0) : m_Random(Random) {}

  /// Records a request that wants to be sent. Priority 0 is the most urgent.
  void noteArrival(int Priority, const std::string &Account, Time Now);
  /// Accrues credit; to be called before the following functions. Waiting is
  /// the number of requests that wait at this VM.
  void update(const ServiceLoad &Load, std::size_t Waiting, Time Now);
  /// True if a request that must begin within Remaining may be sent to Engine.
  bool mayBegin(const FirstEngineLoad &Engine, int Priority,
                const std::string &Account, Duration Remaining, Time Now) const;
  /// True if this VM has credit for the request, or needs none.
  bool hasCredit(int Priority, const std::string &Account, Time Now) const;
  void noteSent(int Priority, const std::string &Account,
                const std::string &Engine, Time Now);
  /// Until a request can be sent that Ahead waiting ones precede.
  Duration expectedWait(std::size_t Ahead, int Priority,
                        const std::string &Account, Duration Remaining,
                        Time Now) const;
  /// Requests of the priority per second that this VM can send.
  double rate(int Priority, Time Now) const;

  /// All slots were full recently.
  bool isScarce() const { return m_IsScarce; }
  double credit() const { return m_Credit; }
  double rate() const { return m_Rate; }
  double freeSlots() const { return m_FreeSlots; }

  /// VMs of a failure domain exchange digests at this interval.
  static constexpr double DigestSeconds = 0.24;
  /// Part of the rate that is kept for the least urgent kind of request.
  static constexpr double LeastUrgentPart = 0.25;

private:
  struct Kind {
    RateEstimate m_Arrivals;
    Time m_SeenAt{};
    double m_Credit = 0; ///< Which no other kind can use.
  };
  /// The credit of an engine.
  struct EngineCredit {
    double m_Rate = 0; ///< Requests per second, this VM's share.
    double m_Credit = 0;
  };
  struct Sender {
    RateEstimate m_Sent;
    Time m_SeenAt{};
  };

  bool isRecent(Time At, Time Now) const;
  double share(const ServiceLoad &Load, Time Now) const;
  /// Requests per second that may begin at engines with these ends and free
  /// slots, by all VMs.
  static double beginRate(double Ends, double FreeSlots);
  void divide(const ServiceLoad &Load, double Share);
  void accrue(double Seconds);
  /// Part of the rate that is kept for the kind.
  double keptPart(int Priority) const;
  bool isMostUrgent(int Priority) const;
  bool mayOverdraw(int Priority) const {
    return m_Kinds.size() >= 2 && isMostUrgent(Priority);
  }
  double neededCredit(int Priority, const std::string &Account, Time Now) const;
  bool isOverShare(const std::string &Account, Time Now) const;

  std::map<int, Kind> m_Kinds; ///< Those seen recently.
  std::map<std::string, Sender> m_Accounts;
  std::map<std::string, EngineCredit> m_Engines;
  double m_Random;
  double m_Rate = 0; ///< Requests per second, this VM's share.
  double m_Credit = 0;
  double m_FreeSlots = 0; ///< Of all engines; negative if they are overfull.
  double m_OwnSlots = 0;  ///< This VM's share of all slots.
  double m_ShortestEngineWait = 0; ///< Seconds.
  bool m_IsScarce = false;
  Time m_StartedAt{};
  Time m_FullAt{};
  Time m_UpdatedAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_SERVICEROOM_H
