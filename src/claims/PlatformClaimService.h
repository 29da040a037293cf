#ifndef PARSLEYRING_CLAIMS_PLATFORMCLAIMSERVICE_H
#define PARSLEYRING_CLAIMS_PLATFORMCLAIMSERVICE_H

#include "claims/ClaimCoordinator.h"
#include "claims/ClaimService.h"
#include "claims/ReservationTable.h"
#include "claims/WorkerPool.h"
#include "membership/PeerNetwork.h"

#include <functional>
#include <unordered_map>

namespace parsleyring {

/// Functions that the claim service calls in the rest of the process, from its
/// worker threads.
struct ClaimCallbacks {
  std::function<Time()> m_Now;
  /// Asks Holder, which may be this VM, for the state of a key. Empty if Holder
  /// cannot be reached.
  std::function<std::optional<RemoteAnswer>(const Incarnation &Holder,
                                            const std::string &Account,
                                            const std::string &Key)>
      m_KeyState;
  /// Passes on the stored answer of an earlier request with the same key, to be
  /// sent for this request. Called before ClaimSettled with AnswerKept.
  std::function<void(RequestNumber, const RemoteAnswer &)> m_OnKeptAnswer;
  /// Takes a reservation at the VM that issued the key. Empty if that VM cannot
  /// be reached or its answer was lost.
  std::function<std::optional<ReservationTable::TakeResult>(
      const OwnedId &Key, const RequestClaim &Request)>
      m_TakeRemoteReservation;
  /// Reports the end of a call under a reservation to the VM that issued the
  /// key.
  std::function<void(const OwnedId &Key, const std::string &Text,
                     ClaimFinalState End)>
      m_EndRemoteReservation;
};

/// ClaimService that stores claims for caller-chosen keys in the platform's
/// key-value service, and uses the reservation tables of the VMs for keys that
/// the VMs issued.
class PlatformClaimService : public ClaimService {
public:
  PlatformClaimService(const Incarnation &Self, std::uint64_t Seed,
                       PlatformClient &Platform, ClaimCallbacks Callbacks);
  ~PlatformClaimService() override;

  void claim(const RequestClaim &Request,
             std::function<void(const ClaimSettled &)> Done) override;
  void end(const EndClaim &End) override;

  /// Empty if the reservation table is full.
  std::optional<std::string> issueReservation(const std::string &Account);
  /// Takes a reservation issued by this VM, on behalf of VM Holder.
  ReservationTable::TakeResult takeReservation(const std::string &Account,
                                               const std::string &Key,
                                               const std::string &BodySha256,
                                               const std::string &Holder);
  void endReservation(const std::string &Key, ClaimFinalState End);

  /// Number of claims and claim ends that are not yet written.
  std::size_t pendingCount() const;

private:
  struct HeldReservation {
    OwnedId m_Id;
    std::string m_Key;
  };

  void runTicks();
  void execute(std::vector<ClaimOutput> &Outputs);
  void settle(const ClaimSettled &Settlement);
  void readShard(const ReadShard &Call);
  void swapShard(const SwapShard &Call);
  void settleExisting(const ExistingClaim &Found);
  void claimOwnReservation(const RequestClaim &Request, const OwnedId &Id);
  void claimRemoteReservation(const RequestClaim &Request, const OwnedId &Id);
  void settleReservation(const RequestClaim &Request, const OwnedId &Id,
                         const ReservationTable::TakeResult &Result);
  bool isOwn(const OwnedId &Id) const;

  /// Runs Update on the coordinator under the lock, then executes the outputs.
  void updateCoordinator(
      const std::function<void(Time, std::vector<ClaimOutput> &)> &Update);

  Incarnation m_Self;
  PlatformClient &m_Platform;
  ClaimCallbacks m_Callbacks;

  /// Guards m_Coordinator, m_Reservations, m_Done and m_HeldReservations.
  mutable std::mutex m_Mutex;
  ClaimCoordinator m_Coordinator;
  ReservationTable m_Reservations;
  std::unordered_map<RequestNumber, std::function<void(const ClaimSettled &)>>
      m_Done;
  std::unordered_map<RequestNumber, HeldReservation> m_HeldReservations;

  // The tick thread has its own condition variable. On that of a WorkerPool it
  // would consume notifications meant for a worker, and a job would stay
  // queued.
  std::mutex m_TickMutex;
  std::condition_variable m_Stopped;
  bool m_IsStopping = false;

  // Separate pools: calls to a slow platform must not delay reservations, and
  // calls to an unresponsive peer must not delay claims.
  WorkerPool m_PlatformWorkers;
  WorkerPool m_PeerWorkers;
  std::thread m_TickThread;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_PLATFORMCLAIMSERVICE_H
