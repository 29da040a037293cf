#ifndef PARSLEYRING_PEERS_THRIFTPEERNETWORK_H
#define PARSLEYRING_PEERS_THRIFTPEERNETWORK_H

#include "membership/PeerNetwork.h"
#include "membership/PeerTable.h"
#include "peers/PeerService.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace parsleyring {

/// PeerNetwork over Thrift. One thread per target sends the heartbeats, so that
/// an unresponsive target does not delay others; one thread updates the peer
/// table and posts PeersChanged.
class ThriftPeerNetwork : public PeerNetwork {
public:
  ThriftPeerNetwork(const PeerInfo &Self, const std::vector<PeerInfo> &Seeds,
                    std::function<Time()> Now, const PeerCallbacks &Callbacks);
  ~ThriftPeerNetwork() override;

  void start() override;
  void stop() override;
  /// Applies the platform's VM list: the routers on it, and the VMs no longer
  /// on it.
  void updateVMs(const std::vector<PeerInfo> &Present,
                 const std::vector<std::string> &Unlisted);

  void announceLeaving(const std::string &Endpoint,
                       const std::string &Incarnation) override;
  void noteLoad(const LoadReported &Report) override;
  bool isPoller(const std::string &Endpoint,
                const std::string &FailureDomain) const override;
  void startDraining() override;
  std::optional<RemoteAnswer> requestState(const OwnedId &Request,
                                           std::uint32_t FromPosition) override;
  std::optional<RemoteAnswer> keyState(const Incarnation &Owner,
                                       const std::string &Account,
                                       const std::string &Key) override;
  std::optional<ReservationTable::TakeResult>
  takeReservation(const OwnedId &Key, const RequestClaim &Request) override;
  void endReservation(const OwnedId &Key, const std::string &Text,
                      ClaimFinalState End) override;
  std::optional<std::string> fetchHead(const std::string &PeerVM) override;
  std::optional<std::string> fetchChunk(const std::string &PeerVM,
                                        const std::string &Sha256) override;
  std::vector<std::string> livePeers() const override;

private:
  /// Sends heartbeats to one VM in a thread.
  struct HeartbeatSender {
    PeerInfo m_Target;
    bool m_IsStopping = false;
    /// Sends the next heartbeat without waiting for the interval.
    bool m_IsSendRequested = false;
    std::thread m_Thread;
  };

  void runTableUpdates();
  void sendHeartbeats(const std::shared_ptr<HeartbeatSender> &Self);
  void receive(const Digest &Received);
  Digest currentDigest() const;
  void updateSenders(Time Now);
  void stopSenders(std::vector<std::shared_ptr<HeartbeatSender>> &Stopped);
  void postChanges(Time Now);
  std::optional<std::string> addressOf(const std::string &VM) const;

  std::function<Time()> m_Now;
  PeerCallbacks m_Callbacks;
  PeerInfo m_Self;
  PeerService m_Service;

  mutable std::mutex m_Mutex; ///< Guards the members below.
  std::condition_variable m_Wakeup;
  PeerTable m_Table;
  std::map<std::string, std::shared_ptr<HeartbeatSender>> m_Senders;
  std::string m_LastSummary;
  bool m_IsDraining = false;
  bool m_IsStopping = false;
  bool m_IsStarted = false;
  std::thread m_TableThread;
};

} // namespace parsleyring

#endif // PARSLEYRING_PEERS_THRIFTPEERNETWORK_H
