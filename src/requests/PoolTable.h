#ifndef PARSLEYRING_REQUESTS_POOLTABLE_H
#define PARSLEYRING_REQUESTS_POOLTABLE_H

#include "admission/FairQueue.h"
#include "parsleyring/Document.h"
#include "requests/Request.h"
#include "requests/WaitEstimate.h"
#include "retries/RetryBudget.h"
#include "routing/RoutePlanner.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace parsleyring {

/// The last search of a pool that found no route to use, for the audit record
/// of a request that waited for one in vain.
struct FailedSearch {
  Time m_At;
  RoutePlan m_Plan;
};

/// Queue, budget and observed times of one pool of the configuration.
struct PoolState {
  explicit PoolState(const Pool &Spec);

  void apply(const Pool &Spec);
  /// Time without an answer after which an idempotent service call is started
  /// once more elsewhere.
  Duration cutTime() const;
  void noteServiceTime(Duration Elapsed);

  Duration m_Timeout{};
  FairQueue m_Queue;
  RetryBudget m_Budget;
  WaitEstimate m_Wait;
  /// Requests that wait for a further attempt; they go before the queue.
  std::set<RequestNumber> m_Waiting;
  double m_ServiceMicros = 0; ///< Smoothed time of a service call.
  std::optional<FailedSearch> m_FailedSearch;
};

class PoolTable {
public:
  /// Returns the requests queued or waiting in pools that are gone.
  std::vector<RequestNumber> apply(const Document &Configuration);

  /// Null if the pool is not configured.
  PoolState *find(const std::string &Name);
  std::map<std::string, PoolState> &all() { return m_Pools; }

private:
  std::map<std::string, PoolState> m_Pools;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_POOLTABLE_H
