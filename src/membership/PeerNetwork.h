#ifndef PARSLEYRING_MEMBERSHIP_PEERNETWORK_H
#define PARSLEYRING_MEMBERSHIP_PEERNETWORK_H

#include "claims/ReservationTable.h"

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace parsleyring {

/// State of a request or an idempotency key at the VM that owns it.
struct RemoteAnswer {
  enum class State { Absent, InProgress, Ended };
  State m_State = State::Absent;
  Outcome m_Outcome = Outcome::Unknown;
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  std::uint32_t m_Tokens = 0;
  /// SHA-256 of the API key that the request was sent with; only the account of
  /// that key may read the answer.
  std::string m_AccountKeySha256;
};

/// Callbacks from the peer network to the rest of the process. Called from any
/// thread.
struct PeerCallbacks {
  std::function<void(const Event &)> m_Post; ///< To the Router.
  std::function<ConfigurationVersion()> m_ConfigurationVersion;
  /// Reports that a peer has a newer configuration than this VM.
  std::function<void(const std::string &PeerVM, ConfigurationVersion)>
      m_NewerConfiguration;
  std::function<std::string()> m_HeadJson;
  std::function<std::string(const std::string &Sha256)> m_Chunk;
  std::function<std::map<std::string, std::uint32_t>()> m_Outstanding;
  std::function<RemoteAnswer(RequestNumber, std::uint32_t FromPosition)>
      m_RequestState;
  std::function<RemoteAnswer(const std::string &Account,
                             const std::string &Key)>
      m_KeyState;
  std::function<ReservationTable::TakeResult(
      const std::string &Account, const std::string &Key,
      const std::string &BodySha256, const std::string &Holder)>
      m_TakeReservation;
  std::function<void(const std::string &Key, ClaimFinalState)> m_EndReservation;
  /// Counts the bytes of a message to or from a peer; may be empty.
  std::function<void(std::uint64_t Bytes)> m_CountBytes;
};

/// Heartbeats, digests and queries between the routers.
class PeerNetwork {
public:
  virtual ~PeerNetwork() = default;

  virtual void start() = 0;
  virtual void stop() = 0;

  /// Sends the notice that the endpoint is leaving to all known peers at once.
  virtual void announceLeaving(const std::string &Endpoint,
                               const std::string &Incarnation) = 0;
  /// Records a load report that this VM polled; it is sent with the next
  /// digests.
  virtual void noteLoad(const LoadReported &Report) = 0;
  /// True if this VM polls the endpoint, as one of the live VMs of the
  /// endpoint's failure domain or, if there are too few, in place of them.
  virtual bool isPoller(const std::string &Endpoint,
                        const std::string &FailureDomain) const = 0;
  /// Tells the peers that this VM takes no new requests, so that they stop
  /// counting this VM.
  virtual void startDraining() = 0;

  /// Queries the owner; returns nothing if the owner cannot be reached or is
  /// another incarnation.
  virtual std::optional<RemoteAnswer>
  requestState(const OwnedId &Request, std::uint32_t FromPosition) = 0;
  virtual std::optional<RemoteAnswer> keyState(const Incarnation &Owner,
                                               const std::string &Account,
                                               const std::string &Key) = 0;
  /// Takes a reservation that another VM issued. Returns nothing if that VM
  /// cannot be reached or its answer was lost.
  virtual std::optional<ReservationTable::TakeResult>
  takeReservation(const OwnedId &Key, const RequestClaim &Request) = 0;
  virtual void endReservation(const OwnedId &Key, const std::string &Text,
                              ClaimFinalState End) = 0;
  /// Returns nothing if the peer cannot be reached.
  virtual std::optional<std::string> fetchHead(const std::string &PeerVM) = 0;
  virtual std::optional<std::string> fetchChunk(const std::string &PeerVM,
                                                const std::string &Sha256) = 0;
  /// Names of the peers that are alive now.
  virtual std::vector<std::string> livePeers() const = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_MEMBERSHIP_PEERNETWORK_H
