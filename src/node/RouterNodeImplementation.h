#ifndef PARSLEYRING_NODE_ROUTERNODEIMPLEMENTATION_H
#define PARSLEYRING_NODE_ROUTERNODEIMPLEMENTATION_H

#include "audit/AuditOutput.h"
#include "audit/AuditWriter.h"
#include "audit/TraceCodec.h"
#include "callers/AnswerStore.h"
#include "callers/CallerServer.h"
#include "claims/PlatformClaimService.h"
#include "configuration/ConfigurationFollower.h"
#include "endpoints/AttemptRunner.h"
#include "endpoints/LoadPoller.h"
#include "metrics/EventCounters.h"
#include "node/ActionExecutor.h"
#include "node/ConfigurationInForce.h"
#include "node/RouterLoop.h"
#include "node/RouterNode.h"
#include "platform/HttpPlatformClient.h"

#include <atomic>

namespace parsleyring {

/// The components of a node and the callbacks between them. RouterNode.cpp
/// implements the life cycle, RouterNodeCallbacks.cpp the callbacks.
class RouterNode::Implementation {
public:
  Implementation(const Settings &Options, const PeerFactory &MakePeers);
  ~Implementation() { stop(); }

  void start();
  void drain();

  CallerServer &callers() { return *m_Callers; }

private:
  Incarnation makeIncarnation() const;
  RouterOptions routerOptions() const;
  FollowerOptions followerOptions();
  RouterLoop::Observer observer();
  PeerCallbacks peerCallbacks();
  ClaimCallbacks claimCallbacks();
  CallerContext callerContext();
  LoadPoller::Callbacks pollerCallbacks();

  void applyConfiguration(ConfigurationVersion Version,
                          const std::shared_ptr<const Document> &Applied);
  void recordRefusal(RequestNumber Number, const ErrorAnswer &Refusal);
  void recordRejection(const ConfigurationRejection &Rejected);
  void attemptEnded(AttemptNumber Number, AttemptReport Report);
  void setKeptAnswer(RequestNumber Number, const RemoteAnswer &Kept);
  std::optional<RemoteAnswer> keyState(const Incarnation &Holder,
                                       const std::string &Account,
                                       const std::string &Key);
  std::optional<ErrorAnswer> refusal() const;
  bool isReady() const;
  std::string metrics() const;
  void waitUntilIdle() const;
  void stop();

  const Settings m_Settings;
  const NodeClock m_Clock;
  const Incarnation m_Self;
  EventCounters m_Counters;
  AnswerStore m_Answers;
  Time m_AnswersExpiredAt{}; ///< Guarded by the lock of m_Loop.
  AuditOutput m_AuditOutput;
  AuditWriter m_Audit;
  HttpPlatformClient m_Platform;
  const RouterOptions m_RouterOptions;
  const TraceCodec m_Trace;
  ConfigurationInForce m_Configuration;
  std::atomic<RequestNumber> m_LastRequest{0};
  std::atomic<bool> m_IsDraining{false};

  RouterLoop m_Loop;
  AttemptRunner m_Attempts;
  std::unique_ptr<PeerNetwork> m_Peers;
  ActionExecutor m_Executor; // Must outlive the threads of m_Claims.
  PlatformClaimService m_Claims;
  LoadPoller m_Poller;
  ConfigurationFollower m_Follower;
  CallerContext m_CallerContext;
  std::unique_ptr<CallerServer> m_Callers;
};

} // namespace parsleyring

#endif // PARSLEYRING_NODE_ROUTERNODEIMPLEMENTATION_H
