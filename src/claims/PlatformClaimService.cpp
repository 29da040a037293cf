#include "claims/PlatformClaimService.h"

namespace parsleyring {

// Platform calls take milliseconds, or the full timeout during an outage. Four
// concurrent calls suffice, since batching carries growing load.
static constexpr int PlatformThreads = 4;
// A call to an unresponsive peer takes up to 1.5 s.
static constexpr int PeerThreads = 8;
static constexpr std::chrono::milliseconds ClaimTickInterval(20);

PlatformClaimService::PlatformClaimService(const Incarnation &Self,
                                           std::uint64_t Seed,
                                           PlatformClient &Platform,
                                           ClaimCallbacks Callbacks)
    : m_Self(Self), m_Platform(Platform), m_Callbacks(std::move(Callbacks)),
      m_Coordinator(Self, Seed), m_Reservations(Self),
      m_PlatformWorkers(PlatformThreads), m_PeerWorkers(PeerThreads),
      m_TickThread([this] { runTicks(); }) {}

PlatformClaimService::~PlatformClaimService() {
  {
    std::lock_guard<std::mutex> Lock(m_TickMutex);
    m_IsStopping = true;
  }
  m_Stopped.notify_all();
  m_TickThread.join();
  m_PlatformWorkers.stop();
  m_PeerWorkers.stop();
}

void PlatformClaimService::claim(
    const RequestClaim &Request,
    std::function<void(const ClaimSettled &)> Done) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Done[Request.m_Request] = std::move(Done);
  }
  if (auto Id = parseOwnedId(ReservationPrefix, Request.m_IdempotencyKey)) {
    if (isOwn(*Id))
      return claimOwnReservation(Request, *Id);
    m_PeerWorkers.add(
        [this, Request, Id = *Id] { claimRemoteReservation(Request, Id); });
    return;
  }
  updateCoordinator([&](Time Now, std::vector<ClaimOutput> &Outputs) {
    m_Coordinator.request(Now, Request, Outputs);
  });
}

void PlatformClaimService::end(const EndClaim &End) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  auto Held = m_HeldReservations.find(End.m_Request);
  if (Held == m_HeldReservations.end()) {
    Lock.unlock();
    updateCoordinator([&](Time Now, std::vector<ClaimOutput> &Outputs) {
      m_Coordinator.end(Now, End, Outputs);
    });
    return;
  }
  HeldReservation Reservation = std::move(Held->second);
  m_HeldReservations.erase(Held);
  Lock.unlock();
  if (isOwn(Reservation.m_Id))
    endReservation(Reservation.m_Key, End.m_End);
  else
    m_PeerWorkers.add([this, Reservation, Value = End.m_End] {
      m_Callbacks.m_EndRemoteReservation(Reservation.m_Id, Reservation.m_Key,
                                         Value);
    });
}

std::optional<std::string>
PlatformClaimService::issueReservation(const std::string &Account) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Reservations.issue(m_Callbacks.m_Now(), Account);
}

ReservationTable::TakeResult PlatformClaimService::takeReservation(
    const std::string &Account, const std::string &Key,
    const std::string &BodySha256, const std::string &Holder) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Reservations.take(m_Callbacks.m_Now(), Account, Key, BodySha256,
                             Holder);
}

void PlatformClaimService::endReservation(const std::string &Key,
                                          ClaimFinalState End) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (End == ClaimFinalState::Released)
    m_Reservations.release(Key);
  else
    m_Reservations.complete(Key);
}

std::size_t PlatformClaimService::pendingCount() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Coordinator.pendingCount();
}

void PlatformClaimService::updateCoordinator(
    const std::function<void(Time, std::vector<ClaimOutput> &)> &Update) {
  std::vector<ClaimOutput> Outputs;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Update(m_Callbacks.m_Now(), Outputs);
  }
  execute(Outputs);
}

void PlatformClaimService::execute(std::vector<ClaimOutput> &Outputs) {
  for (ClaimOutput &Output : Outputs) {
    if (auto *Read = std::get_if<ReadShard>(&Output))
      m_PlatformWorkers.add(
          [this, Call = std::move(*Read)] { readShard(Call); });
    else if (auto *Swap = std::get_if<SwapShard>(&Output))
      m_PlatformWorkers.add(
          [this, Call = std::move(*Swap)] { swapShard(Call); });
    else if (auto *Found = std::get_if<ExistingClaim>(&Output))
      m_PeerWorkers.add(
          [this, Repeat = std::move(*Found)] { settleExisting(Repeat); });
    else
      settle(std::get<ClaimSettled>(Output));
  }
}

void PlatformClaimService::settle(const ClaimSettled &Settlement) {
  std::function<void(const ClaimSettled &)> Done;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto Found = m_Done.find(Settlement.m_Request);
    if (Found == m_Done.end())
      return;
    Done = std::move(Found->second);
    m_Done.erase(Found);
  }
  Done(Settlement);
}

void PlatformClaimService::readShard(const ReadShard &Call) {
  try {
    std::optional<PlatformValue> Value = m_Platform.read(Call.m_Shard);
    updateCoordinator([&](Time Now, std::vector<ClaimOutput> &Outputs) {
      m_Coordinator.shardRead(Now, Call.m_Shard, Value, Outputs);
    });
  } catch (const PlatformError &) {
    updateCoordinator([&](Time Now, std::vector<ClaimOutput> &Outputs) {
      m_Coordinator.readFailed(Now, Call.m_Shard, Outputs);
    });
  }
}

void PlatformClaimService::swapShard(const SwapShard &Call) {
  try {
    bool IsWritten =
        m_Platform.compareAndSwap(Call.m_Shard, Call.m_Value, Call.m_Expected);
    updateCoordinator([&](Time Now, std::vector<ClaimOutput> &Outputs) {
      m_Coordinator.shardSwapped(Now, Call.m_Shard, IsWritten, Outputs);
    });
  } catch (const PlatformError &Error) {
    updateCoordinator([&](Time Now, std::vector<ClaimOutput> &Outputs) {
      m_Coordinator.swapFailed(Now, Call.m_Shard, Error.kind(), Outputs);
    });
  }
}

static ClaimResult claimResult(const ClaimEntry &Entry,
                               const std::optional<RemoteAnswer> &Kept) {
  if (Kept && Kept->m_State == RemoteAnswer::State::Ended &&
      Kept->m_Outcome == Outcome::Completed)
    return ClaimResult::AnswerKept;
  return Entry.m_State == ClaimState::Completed ? ClaimResult::Completed
                                                : ClaimResult::InProgress;
}

void PlatformClaimService::settleExisting(const ExistingClaim &Found) {
  const RequestClaim &Request = Found.m_Request;
  ClaimSettled Settlement;
  Settlement.m_Request = Request.m_Request;
  if (Found.m_Entry.m_BodyHash != Request.m_BodySha256) {
    Settlement.m_Result = ClaimResult::BodyDiffers;
    settle(Settlement);
    return;
  }
  std::optional<RemoteAnswer> Kept = m_Callbacks.m_KeyState(
      Found.m_Entry.m_Writer, Request.m_Account, Request.m_IdempotencyKey);
  Settlement.m_Result = claimResult(Found.m_Entry, Kept);
  Settlement.m_Detail = "claimed by VM " + Found.m_Entry.m_Writer.m_VM;
  if (Settlement.m_Result == ClaimResult::AnswerKept)
    m_Callbacks.m_OnKeptAnswer(Request.m_Request, *Kept);
  settle(Settlement);
}

bool PlatformClaimService::isOwn(const OwnedId &Id) const {
  return Id.m_Owner.m_VM == m_Self.m_VM &&
         Id.m_Owner.m_Number == m_Self.m_Number;
}

void PlatformClaimService::claimOwnReservation(const RequestClaim &Request,
                                               const OwnedId &Id) {
  settleReservation(Request, Id,
                    takeReservation(Request.m_Account, Request.m_IdempotencyKey,
                                    Request.m_BodySha256, m_Self.m_VM));
}

void PlatformClaimService::claimRemoteReservation(const RequestClaim &Request,
                                                  const OwnedId &Id) {
  std::optional<ReservationTable::TakeResult> Result =
      m_Callbacks.m_TakeRemoteReservation(Id, Request);
  if (!Result) {
    ClaimSettled Settlement;
    Settlement.m_Request = Request.m_Request;
    // This VM does not run the call, but another request with the same key may
    // have run it.
    Settlement.m_Result = ClaimResult::InProgress;
    Settlement.m_Detail =
        "VM " + Id.m_Owner.m_VM + ", which issued the key, cannot be reached";
    settle(Settlement);
    return;
  }
  settleReservation(Request, Id, *Result);
}

void PlatformClaimService::settleReservation(
    const RequestClaim &Request, const OwnedId &Id,
    const ReservationTable::TakeResult &Result) {
  ClaimSettled Settlement;
  Settlement.m_Request = Request.m_Request;
  Settlement.m_Result = ClaimResult::KeyRejected;
  Settlement.m_Detail = "the reservation does not exist or has expired";
  if (Result.m_BodyDiffers) {
    Settlement.m_Result = ClaimResult::BodyDiffers;
    Settlement.m_Detail.clear();
  } else if (Result.m_PreviousState == ReservationState::Unused) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_HeldReservations[Request.m_Request] = {Id, Request.m_IdempotencyKey};
    Settlement.m_Result = ClaimResult::Granted;
    Settlement.m_Detail.clear();
  } else if (Result.m_PreviousState != ReservationState::Absent) {
    // The incarnation of the holder is known only if the holder is this VM or
    // the issuer, so only these are asked for the answer.
    std::optional<RemoteAnswer> Kept;
    if (Result.m_Holder == m_Self.m_VM || Result.m_Holder == Id.m_Owner.m_VM)
      Kept = m_Callbacks.m_KeyState(
          Result.m_Holder == m_Self.m_VM ? m_Self : Id.m_Owner,
          Request.m_Account, Request.m_IdempotencyKey);
    ClaimEntry Entry;
    Entry.m_State = Result.m_PreviousState == ReservationState::Completed
                        ? ClaimState::Completed
                        : ClaimState::Claimed;
    Settlement.m_Result = claimResult(Entry, Kept);
    Settlement.m_Detail = "taken by VM " + Result.m_Holder;
    if (Settlement.m_Result == ClaimResult::AnswerKept)
      m_Callbacks.m_OnKeptAnswer(Request.m_Request, *Kept);
  }
  settle(Settlement);
}

void PlatformClaimService::runTicks() {
  std::unique_lock<std::mutex> Lock(m_TickMutex);
  while (!m_Stopped.wait_for(Lock, ClaimTickInterval,
                             [this] { return m_IsStopping; })) {
    Lock.unlock();
    updateCoordinator([this](Time Now, std::vector<ClaimOutput> &Outputs) {
      m_Coordinator.tick(Now, Outputs);
    });
    Lock.lock();
  }
}

} // namespace parsleyring
