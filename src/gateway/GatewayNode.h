#ifndef PARSLEYRING_GATEWAY_GATEWAYNODE_H
#define PARSLEYRING_GATEWAY_GATEWAYNODE_H

#include "gateway/ActiveConfiguration.h"
#include "gateway/CallerListener.h"
#include "gateway/CrashGuard.h"
#include "gateway/DigestExchange.h"
#include "gateway/EndpointClient.h"
#include "gateway/EngineWatch.h"
#include "gateway/ForwardContext.h"
#include "gateway/GatewaySettings.h"
#include "gateway/MetricsHandler.h"
#include "gateway/PeerHandler.h"
#include "gateway/PlacementDuty.h"
#include "gateway/ReadyHandler.h"
#include "gateway/ResourceLimits.h"
#include "gateway/StartupQueue.h"
#include "gateway/SuspicionRecorder.h"
#include "node/NodeClock.h"
#include "store/StoreWatcher.h"
#include "store/VMDirectory.h"
#include "store/VMLease.h"

#include <boost/asio/signal_set.hpp>

#include <random>
#include <set>

namespace parsleyring {

/// One gateway process: accepts the requests of callers and forwards them to
/// endpoints. The platform's store holds the list of endpoints and the routing
/// configuration. Everything runs on one event loop.
class GatewayNode final : public RequestHandler,
                          public ForwardContext,
                          public StoreObserver {
public:
  /// Throws std::runtime_error if an address cannot be listened on. Store and
  /// Endpoints must outlive the node.
  GatewayNode(GatewaySettings Settings, const StoreProtocol &Store,
              const EndpointProtocol &Endpoints, const RecordFormat &Records);
  ~GatewayNode() override;

  /// Runs until the shutdown that SIGTERM or SIGINT starts is complete.
  void run();

  // RequestHandler
  Time now() const override { return m_Clock.now(); }
  const CallerLimits &limits() const override;
  bool isStopping() const override { return m_StoppingSince != Time{}; }
  void
  handleRequest(CallerRequest Request,
                const std::shared_ptr<CallerConnection> &Connection) override;
  void handleMalformed(unsigned Status, const std::string &Reason) override;
  const TransferTimeouts &transferTimeouts() const override {
    return m_TransferTimeouts;
  }
  std::string clientOf(const boost::beast::http::fields &Fields,
                       const std::string &Address) const override;
  void
  awaitMemory(const std::shared_ptr<CallerConnection> &Connection) override {
    m_MemoryWaits.add(Connection);
  }
  AnswerFields refuseReceipt(ReceiptRefusal Cause,
                             const boost::beast::http::fields &Head,
                             const std::string &Client,
                             std::size_t HeldBytes) override;
  void handleClosed(ConnectionClose Cause, const std::string &Address) override;

  // RequestHandler and ForwardContext
  MemoryBudget &memoryBudget() override { return m_MemoryBudget; }

  // ForwardContext
  ConnectionPool &connectionPool() override { return m_ConnectionPool; }
  FleetTable &fleet() override { return m_Fleet; }
  const EndpointProtocol &protocol() const override { return m_Protocol; }
  RetryShare &retryShare(const std::string &Service) override;
  AdmissionQueue &admissionQueue(const std::string &Service) override {
    return m_AdmissionQueues[Service];
  }
  CrashGuard &crashGuard() override { return m_CrashGuard; }
  LeavingRecorder &leavingRecorder() override { return m_LeavingRecorder; }
  DecisionLog &log() override { return m_Log; }
  NodeMetrics &metrics() override { return m_Metrics; }
  const std::string &failureDomain() const override {
    return m_Settings.m_FailureDomain;
  }
  double loadFactor() const override;
  LimitUsers limitUsers() const override;
  LinkRoom &linkRoom(const std::string &Service) override {
    return m_LinkRooms[Service];
  }
  LinkUsers linkUsers(const DomainLink &Link,
                      const std::string &Service) const override;
  ReturnSchedule &returnSchedule(const std::string &Service) override {
    return m_ReturnSchedules[Service];
  }
  double random() override;
  void requestReport(const FleetTable::Handle &Endpoint,
                     ReportHandler OnReport) override;
  void checkPace(const FleetTable::Handle &Endpoint) override;
  void callEndpoint(const FleetTable::Handle &Endpoint,
                    const EndpointCall &Call,
                    HttpClient::Handler OnReply) override;
  void suspect(const FleetTable::Handle &Endpoint, std::string_view Reason,
               Duration Period) override;

  // StoreObserver
  void itemChanged(const StoreItem &Item) override;
  void itemDeleted(const std::string &Key) override;
  void itemsReloaded(const std::map<std::string, StoreItem> &Items,
                     bool IsRestored) override;
  void availabilityChanged(bool IsAvailable, Duration OutageTime) override;
  void storeRestored(const StoreVersion &Version) override;
  void freshnessChanged(bool IsFresh, Duration ConfirmationAge,
                        const StoreVersion &Newest) override;
  void revisionChanged() override;
  std::vector<std::string> peerAddresses() const override {
    return m_VMs.peerAddresses();
  }
  std::vector<std::string> relayAddresses() const override {
    return m_VMs.relayAddresses();
  }
  bool isPrimaryWatcher() const override { return m_VMs.isPrimaryWatcher(); }

private:
  /// Status and reason with which a request is refused instead of forwarded.
  struct Refusal {
    unsigned m_Status = 0;
    std::string_view m_Reason;
  };
  std::optional<Refusal> prepareJob(ForwardJob &Job);
  /// How long the caller waits for the answer, if it states that.
  std::optional<Duration> callerTimeout(const CallerRequest &Request) const;
  void refuse(const CallerRequest &Request, CallerConnection &Caller,
              Refusal Cause);

  /// The account that the credentials in Fields belong to; null if there is
  /// none.
  const AccountRule *accountOf(const boost::beast::http::fields &Fields) const;

  /// Runs Action; an exception is logged and counted. Returns false if there
  /// was one. It ends what the event was about, but not the other requests.
  bool guard(std::string_view Handler, const std::function<void()> &Action);

  void applyItem(const StoreItem &Item);
  void beginEra();
  void applyEndpointEntry(const StoreItem &Item);
  void applyLeader(const StoreItem &Item);
  void applyVMEntry(const StoreItem &Item);

  void scheduleTick();
  void tick();
  void tickStartup();
  void tickRequests();
  void tickMemory();
  void tickMaintenance();
  void tickLinks();
  void updateEngineWatch();
  void updateGauges();
  void recordPace(FleetEndpoint &Endpoint, double Pace);
  void pollSlowEngines();
  void handleDigestChanges(const DigestChanges &Changes, const std::string &By);
  /// Records what an answer to a call of this VM's own states.
  void noteCallAnswer(const FleetTable::Handle &Endpoint,
                      const ResponseHead &Head, Time SentAt);
  void noteInvalidReport(const FleetEndpoint &Endpoint,
                         const std::string &Finding);
  void noteEndedRests();
  void notifySuspicion(const FleetTable::Handle &Endpoint);
  void handleSignal(int Signal);
  void tickShutdown();

  const GatewaySettings m_Settings;
  const ResourceLimits m_ResourceLimits;
  const EndpointProtocol &m_Protocol;
  const RecordFormat &m_Records;
  const TransferTimeouts m_TransferTimeouts;
  /// Outlives the handlers of the loop, which hold connections.
  MemoryBudget m_MemoryBudget;
  /// For the checks of the load balancer, metrics and other VMs, which must be
  /// answered also while callers' requests have taken all memory.
  MemoryBudget m_InternalMemoryBudget;
  boost::asio::io_context m_Loop{1};
  NodeClock m_Clock;
  DecisionLog m_Log;
  NodeMetrics m_Metrics;
  std::minstd_rand m_Random;

  CallerLimits m_DefaultLimits;
  FleetTable m_Fleet;
  const ListedVM m_Self;
  VMDirectory m_VMs;

  ConnectionPool m_ConnectionPool; ///< For requests of callers.
  /// For calls of the gateway's own, whose answers name no request.
  ConnectionPool m_CallConnections;
  HttpClient m_HttpClient;
  LeavingRecorder m_LeavingRecorder;
  EndpointClient m_EndpointClient;
  StoreClient m_StoreClient;
  ActiveConfiguration m_Configuration;
  StoreWatcher m_StoreWatcher;
  CrashGuard m_CrashGuard;
  VMLease m_Lease;
  PlacementDuty m_PlacementDuty;
  std::map<std::string, AdmissionQueue> m_AdmissionQueues; ///< By service.
  std::map<std::string, ReturnSchedule> m_ReturnSchedules; ///< By service.
  std::map<std::string, LinkRoom> m_LinkRooms;             ///< By service.
  std::map<std::string, RetryShare> m_RetryShares;
  std::set<std::shared_ptr<ForwardedRequest>> m_Requests;
  StartupQueue m_StartupQueue;
  /// Connections with a request that waits for memory.
  MemoryWaitQueue m_MemoryWaits;
  ReturnSchedule m_MemoryReturns;

  ReadyHandler m_ReadyHandler;
  PeerHandler m_PeerHandler;
  MetricsHandler m_MetricsHandler;
  std::vector<std::unique_ptr<CallerListener>> m_Listeners;
  CallerListener *m_CallerListener = nullptr;
  DigestExchange m_Digests;
  SuspicionRecorder m_SuspicionRecorder;
  EngineWatch m_EngineWatch;
  boost::asio::steady_timer m_TickTimer;
  boost::asio::signal_set m_Signals;
  std::uint64_t m_Ticks = 0;
  std::uint64_t m_CountedDroppedLines = 0;
  Time m_StoppingSince{};
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_GATEWAYNODE_H
