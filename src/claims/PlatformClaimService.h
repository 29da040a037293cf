#ifndef PARSLEYRING_CLAIMS_PLATFORMCLAIMSERVICE_H
#define PARSLEYRING_CLAIMS_PLATFORMCLAIMSERVICE_H

#include "claims/ClaimCoordinator.h"
#include "claims/ClaimService.h"
#include "claims/ReservationTable.h"
#include "claims/WorkerQueue.h"
#include "membership/PeerNetwork.h"

#include <functional>
#include <unordered_map>

namespace parsleyring {

/// What the claim service asks of the rest of the process. Called from its
/// worker threads.
struct ClaimCallbacks {
  std::function<Time()> m_Now;
  /// State of a key at the VM that holds it, which may be this one. Empty if
  /// that VM cannot be reached.
  std::function<std::optional<RemoteAnswer>(const Incarnation &Holder,
                                            const std::string &Account,
                                            const std::string &Key)>
      m_KeyState;
  /// The answer of an earlier request with the same key, to be sent for this
  /// request. Called before ClaimSettled with AnswerKept.
  std::function<void(RequestNumber, const RemoteAnswer &)> m_KeptAnswer;
  /// Takes a reservation at the VM that issued it. Empty if that VM cannot be
  /// reached or the answer was lost.
  std::function<std::optional<ReservationTable::TakeResult>(
      const OwnedId &Key, const RequestClaim &Request)>
      m_TakeRemote;
  /// Reports to the issuer how the call under a reservation ended.
  std::function<void(const OwnedId &Key, const std::string &Text,
                     ClaimFinalState End)>
      m_EndRemote;
};

/// ClaimService over the platform's key-value service for keys chosen by
/// callers, and over the reservation tables of the VMs for keys that these
/// issued.
class PlatformClaimService : public ClaimService {
public:
  PlatformClaimService(const Incarnation &Self, std::uint64_t Seed,
                       PlatformClient &Platform, ClaimCallbacks Callbacks);
  ~PlatformClaimService() override;

  void claim(const RequestClaim &Request,
             std::function<void(const ClaimSettled &)> Done) override;
  void end(const EndClaim &End) override;

  /// Empty if too many reservations are kept.
  std::optional<std::string> issueReservation(const std::string &Account);
  /// For a peer that wants to run a call under a key of this VM.
  ReservationTable::TakeResult takeReservation(const std::string &Account,
                                               const std::string &Key,
                                               const std::string &BodySha256,
                                               const std::string &Holder);
  void endReservation(const std::string &Key, ClaimFinalState End);

  /// Claims and changes of claims that are not written yet.
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
  void settleRepeated(const FoundClaim &Found);
  void claimOwnReservation(const RequestClaim &Request, const OwnedId &Id);
  void claimRemoteReservation(const RequestClaim &Request, const OwnedId &Id);
  void settleReservation(const RequestClaim &Request, const OwnedId &Id,
                         const ReservationTable::TakeResult &Result);
  bool isOwn(const OwnedId &Id) const;

  /// Runs Step on the coordinator under the lock, then executes its outputs.
  void
  decide(const std::function<void(Time, std::vector<ClaimOutput> &)> &Step);

  Incarnation m_Self;
  PlatformClient &m_Platform;
  ClaimCallbacks m_Callbacks;

  mutable std::mutex m_Mutex; ///< Guards the members up to the next group.
  ClaimCoordinator m_Coordinator;
  ReservationTable m_Reservations;
  std::unordered_map<RequestNumber, std::function<void(const ClaimSettled &)>>
      m_Done;
  std::unordered_map<RequestNumber, HeldReservation> m_HeldReservations;

  // The ticks do not wait on a WorkerQueue: they would take notifications that
  // are meant for a worker, and the job would stay in the queue.
  std::mutex m_TickMutex;
  std::condition_variable m_Stopped;
  bool m_IsStopping = false;

  // Separate, so that calls that wait for a slow platform do not delay the
  // reservations, nor calls to a silent peer the claims.
  WorkerQueue m_PlatformCalls;
  WorkerQueue m_PeerCalls;
  std::thread m_TickThread;
};

} // namespace parsleyring

#endif // PARSLEYRING_CLAIMS_PLATFORMCLAIMSERVICE_H
