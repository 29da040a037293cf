#ifndef PARSLEYRING_GATEWAY_SUSPICIONRECORDER_H
#define PARSLEYRING_GATEWAY_SUSPICIONRECORDER_H

#include "gateway/DecisionLog.h"
#include "gateway/DigestExchange.h"

#include <functional>
#include <string>
#include <string_view>

namespace parsleyring {

/// Records in the table of endpoints and the log which endpoints and failure
/// domains this VM suspects, and informs the other VMs.
class SuspicionRecorder {
public:
  /// What the object works with; all of it must outlive the object.
  struct Dependencies {
    FleetTable &m_Fleet;
    DigestExchange &m_Digests;
    DecisionLog &m_Log;
  };
  using SuspicionHandler = std::function<void(const FleetTable::Handle &)>;

  /// FailureDomain is the one of this VM. OnSuspicion is called for endpoints
  /// that running requests may use.
  SuspicionRecorder(Dependencies Used, std::string FailureDomain,
                    std::function<Time()> Now, SuspicionHandler OnSuspicion)
      : m_Used(Used), m_FailureDomain(std::move(FailureDomain)),
        m_Now(std::move(Now)), m_OnSuspicion(std::move(OnSuspicion)) {}

  void suspect(const FleetTable::Handle &Endpoint, std::string_view Reason,
               Duration Period);

private:
  void suspectDomain(const std::string &Domain);

  const Dependencies m_Used;
  const std::string m_FailureDomain;
  std::function<Time()> m_Now;
  SuspicionHandler m_OnSuspicion;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_SUSPICIONRECORDER_H
