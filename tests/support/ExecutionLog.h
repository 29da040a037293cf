#ifndef PARSLEYRING_TESTS_SUPPORT_EXECUTIONLOG_H
#define PARSLEYRING_TESTS_SUPPORT_EXECUTIONLOG_H

#include "support/TestCluster.h"

namespace parsleyring {

/// Executions that the engines and services of a cluster have printed so far,
/// including those of killed processes.
class ExecutionLog {
public:
  explicit ExecutionLog(const TestCluster &Cluster);

  /// Executions of service calls per idempotency key, or per request id for
  /// calls without a key.
  const std::map<std::string, unsigned> &countsByKey() const {
    return m_CountsByKey;
  }
  unsigned countForKey(const std::string &Key) const;
  /// Executions of the service call, or starts of the completion, with this
  /// request id.
  unsigned countForRequest(const std::string &Id) const;

private:
  std::map<std::string, unsigned> m_CountsByKey;
  std::map<std::string, unsigned> m_CountsByRequest;
};

/// Empty if the answer states an outcome (a stream: also ends with [DONE]) and
/// no request reported as not-run was executed; otherwise describes the error.
std::string findOutcomeError(const HttpAnswer &Answer, const ExecutionLog &Log);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_EXECUTIONLOG_H
