#ifndef PARSLEYRING_TESTS_SUPPORT_EXECUTIONLOG_H
#define PARSLEYRING_TESTS_SUPPORT_EXECUTIONLOG_H

#include "support/TestCluster.h"

namespace parsleyring {

/// What the engines and services of a cluster have run until now, also those
/// that were killed.
class ExecutionLog {
public:
  explicit ExecutionLog(const TestCluster &Cluster);

  /// Executions of service calls per idempotency key, or per request id for
  /// calls without a key.
  const std::map<std::string, unsigned> &perKey() const { return m_PerKey; }
  unsigned ofKey(const std::string &Key) const;
  /// Executions of a service call, or starts of a completion.
  unsigned ofRequest(const std::string &Id) const;

private:
  std::map<std::string, unsigned> m_PerKey;
  std::map<std::string, unsigned> m_PerRequest;
};

/// Empty if the answer has an explicit end that agrees with the executions;
/// else what is wrong with it.
std::string findFalsehood(const HttpAnswer &Answer, const ExecutionLog &Log);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_EXECUTIONLOG_H
