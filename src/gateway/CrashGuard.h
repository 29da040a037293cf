#ifndef PARSLEYRING_GATEWAY_CRASHGUARD_H
#define PARSLEYRING_GATEWAY_CRASHGUARD_H

#include "admission/CrashQuarantine.h"
#include "gateway/CrashDetector.h"
#include "gateway/DecisionLog.h"
#include "store/StoreWriter.h"

namespace parsleyring {

/// Keeps requests that crash endpoints away from the endpoints of the fleet:
/// collects what this VM sees of crashes, shares it with the other VMs through
/// the store, where it also survives the end of all VMs, and keeps the
/// quarantine.
class CrashGuard {
public:
  using CrashHandler = std::function<void(const FleetTable::Handle &)>;

  /// What a guard works with; all of it must outlive the guard.
  struct Dependencies {
    boost::asio::io_context &m_Loop;
    EndpointClient &m_EndpointClient;
    const EndpointProtocol &m_EndpointProtocol;
    StoreClient &m_StoreClient;
    const StoreProtocol &m_StoreProtocol;
    DecisionLog &m_Log;
    NodeMetrics &m_Metrics;
  };

  CrashGuard(Dependencies Used, std::string VM, std::string StoreAddress,
             std::function<Time()> Now, CrashHandler OnCrash);

  bool hasQuarantine() const { return m_Quarantine.size() > 0; }
  /// True if crashes have cut off requests lately that may be repeated.
  bool hasRequestSuspects() const { return m_Quarantine.hasRequestSuspects(); }
  /// When the quarantine of these suspects ends; empty if there is none.
  std::optional<Time>
  quarantinedUntil(const std::vector<std::string> &Suspects) const {
    return m_Quarantine.quarantinedUntil(Suspects);
  }
  /// An endpoint has answered a request with these suspects, and still runs.
  void noteAnswer(const std::vector<std::string> &Suspects);
  /// Engine has closed the connection of this request, which was sent at
  /// SentAt and whose prompt shares these parts with others, before it was
  /// answered.
  void noteStreamCutOff(const FleetTable::Handle &Engine,
                        const std::vector<std::string> &PromptParts,
                        const std::string &RequestSuspect, Time SentAt) {
    // Other requests have these parts, too, so no time of sending shows that
    // the cause was sent again.
    m_Detector.noteCutOff(Engine, PromptParts, Time{},
                          CrashDetector::Method::Report);
    m_Detector.noteCutOff(Engine, {RequestSuspect}, SentAt,
                          CrashDetector::Method::Report);
  }
  /// Endpoint, of a plain service, has closed the connection of this request,
  /// which was sent at SentAt, before any answer.
  void noteRequestCutOff(const FleetTable::Handle &Endpoint,
                         const std::string &RequestSuspect, Time SentAt) {
    m_Detector.noteCutOff(Endpoint, {RequestSuspect}, SentAt,
                          CrashDetector::Method::Connection);
  }
  /// True if Endpoint was found to have crashed a short time ago.
  bool hasCrashed(const FleetEndpoint &Endpoint) const {
    return m_Detector.hasCrashed(Endpoint);
  }
  /// Applies the items that have changed.
  void update();
  /// To be called several times per second. The placement leader also removes
  /// old items from the store.
  void tick(bool IsLeader);

  // Items of the store; those with other keys are ignored. update() is to be
  // called after them.
  void itemChanged(const StoreItem &Item);
  void itemDeleted(const std::string &Key);
  /// Items are all that the store holds. IsRestored: items that the store had
  /// accepted may be missing; those of this VM are written again.
  void itemsReloaded(const std::map<std::string, StoreItem> &Items,
                     bool IsRestored);

private:
  void write(const std::string &Key, const std::string &Value);
  void handleCrash(const CrashDetector::Crash &Seen);
  std::string crashKey(const std::string &Endpoint) const;

  DecisionLog &m_Log;
  NodeMetrics &m_Metrics;
  const std::string m_VM;
  std::function<Time()> m_Now;
  CrashHandler m_OnCrash;
  CrashDetector m_Detector;
  StoreWriter m_Writer;
  CrashQuarantine m_Quarantine;
  /// What this VM has written to the store, and when.
  std::map<std::string, std::pair<std::string, Time>> m_OwnItems;
  /// The store's items that concern the guard, and the times they tell of.
  std::map<std::string, Time> m_StoredItems;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CRASHGUARD_H
