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

/// The latest route search of a pool that found no usable route. Goes into the
/// audit record of a request that reaches its deadline without a route.
struct FailedSearch {
  Time m_At;
  RoutePlan m_Plan;
};

/// Queue, retry budget and observed service time of one configured pool.
struct PoolState {
  explicit PoolState(const Pool &Spec);

  void apply(const Pool &Spec);
  /// Time without an answer after which an idempotent service call is cancelled
  /// and repeated once, on another endpoint if there is one.
  Duration slowCallTimeout() const;
  void noteServiceTime(Duration Elapsed);

  Duration m_Timeout{};
  FairQueue m_Queue;
  RetryBudget m_Budget;
  WaitEstimate m_WaitEstimate;
  /// Requests that await a further attempt; they start before queued ones.
  std::set<RequestNumber> m_AwaitingRetry;
  double m_AverageServiceMicros = 0; ///< Moving average; 0: none yet.
  std::optional<FailedSearch> m_LastFailedSearch;
};

/// The pools of the configuration in force, by name.
class PoolTable {
public:
  /// Returns the requests that were queued or awaited a retry in pools that the
  /// configuration removes.
  std::vector<RequestNumber> apply(const Document &Configuration);

  /// Null if the pool is not configured.
  PoolState *find(const std::string &Name);
  std::map<std::string, PoolState> &all() { return m_Pools; }

private:
  std::map<std::string, PoolState> m_Pools;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_POOLTABLE_H
