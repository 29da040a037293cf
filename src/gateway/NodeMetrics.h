#ifndef PARSLEYRING_GATEWAY_NODEMETRICS_H
#define PARSLEYRING_GATEWAY_NODEMETRICS_H

#include "admission/MemoryBudget.h"
#include "parsleyring/Types.h"

#include <memory>
#include <optional>
#include <string>

namespace parsleyring {

/// Counters and histograms of a node, in the Prometheus text format.
class NodeMetrics {
public:
  NodeMetrics();
  ~NodeMetrics();

  /// Counts an ended request; Reason must be one of a fixed set of labels.
  void countRequest(std::string_view Outcome, std::string_view Reason,
                    Duration Taken);
  void countAttempt(std::string_view Result);
  void countRetry(std::string_view Reason);
  void countStoreCall(unsigned Status);
  void countOrder(std::string_view Kind);
  /// Counts a crossing of a link between failure domains by a request.
  void countLinkCrossing();
  void observeFirstEvent(Duration Taken);
  void setConfigurationVersion(ConfigurationVersion Version);
  /// Accounts is empty if the configuration has no list of accounts, so that
  /// requests need no key.
  void setConfigurationAccounts(std::optional<std::size_t> Accounts,
                                std::size_t Keys);
  /// Age of the last confirmation that the store's items are the newest ones.
  void setConfirmationAge(Duration Age);
  void countEndpointCrash();
  void setQuarantinedSuspects(std::size_t Parts);
  void setLimitedEndpoints(std::size_t Endpoints);
  /// Counts an exception that left the handler of an event.
  void countFailedHandler(std::string_view Handler);
  void countInvalidReport();
  void countEndpointRest();
  void setRestingEndpoints(std::size_t Endpoints);
  /// Counts an endpoint that stated that it is leaving, by how it was learnt.
  void countLeaving(std::string_view Source);
  void setLeavingEndpoints(std::size_t Endpoints);
  void setWatchedEngines(std::size_t Engines);
  void setRunning(std::size_t Requests, std::size_t Connections);
  void countDroppedLogLines(std::uint64_t Lines);
  void setMemory(MemoryUse Use, std::size_t Bytes);
  void setMemoryLimit(std::size_t Bytes);
  /// Counts a request that was refused before it was received whole; Cause must
  /// be one of a fixed set of labels.
  void countOverloadRefusal(std::string_view Cause);
  /// Counts a caller's connection that this VM closed.
  void countClosedConnection(std::string_view Cause);
  std::string text() const;

private:
  struct Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_NODEMETRICS_H
