#include "requests/PoolTable.h"

#include <algorithm>

namespace parsleyring {

static constexpr Duration MinSlowCallTimeout = std::chrono::seconds(1);
/// A call that takes this many times the average service time counts as slow.
static constexpr double SlowCallFactor = 8;
/// The first attempt gets at most this part of the time limit. The rest is for
/// the second attempt, which is not replaced if it is slow.
static constexpr int FirstAttemptDivisor = 3;
/// Weight of a new sample in the moving average of the service time.
static constexpr double ServiceTimeWeight = 0.1;

PoolState::PoolState(const Pool &Spec)
    : m_Queue(Spec.m_QueueLimit), m_Budget(Spec.m_RetryBudget) {
  apply(Spec);
}

void PoolState::apply(const Pool &Spec) {
  m_Timeout = std::chrono::milliseconds(Spec.m_RequestTimeoutMillis);
  m_Queue.setLimit(Spec.m_QueueLimit);
  m_Budget.setRetriesPerRequest(Spec.m_RetryBudget);
}

Duration PoolState::slowCallTimeout() const {
  auto Usual = Duration(
      static_cast<Duration::rep>(SlowCallFactor * m_AverageServiceMicros));
  return std::min(std::max(MinSlowCallTimeout, Usual),
                  m_Timeout / FirstAttemptDivisor);
}

void PoolState::noteServiceTime(Duration Elapsed) {
  auto Sample = static_cast<double>(Elapsed.count());
  m_AverageServiceMicros =
      m_AverageServiceMicros == 0
          ? Sample
          : m_AverageServiceMicros +
                ServiceTimeWeight * (Sample - m_AverageServiceMicros);
}

std::vector<RequestNumber> PoolTable::apply(const Document &Configuration) {
  std::vector<RequestNumber> OrphanedRequests;
  for (auto Entry = m_Pools.begin(); Entry != m_Pools.end();) {
    if (Configuration.pool(Entry->first)) {
      ++Entry;
      continue;
    }
    PoolState &RemovedPool = Entry->second;
    OrphanedRequests.insert(OrphanedRequests.end(),
                            RemovedPool.m_AwaitingRetry.begin(),
                            RemovedPool.m_AwaitingRetry.end());
    // pop() skips requests past their deadline. Time zero is before all
    // deadlines, so that every queued request is returned.
    while (auto Number = RemovedPool.m_Queue.pop(Time{}))
      OrphanedRequests.push_back(*Number);
    Entry = m_Pools.erase(Entry);
  }
  for (const Pool &Spec : Configuration.m_Pools) {
    auto [Entry, IsNew] = m_Pools.try_emplace(Spec.m_Name, Spec);
    if (!IsNew)
      Entry->second.apply(Spec);
  }
  return OrphanedRequests;
}

PoolState *PoolTable::find(const std::string &Name) {
  auto Entry = m_Pools.find(Name);
  return Entry == m_Pools.end() ? nullptr : &Entry->second;
}

} // namespace parsleyring
