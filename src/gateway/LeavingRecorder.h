#ifndef PARSLEYRING_GATEWAY_LEAVINGRECORDER_H
#define PARSLEYRING_GATEWAY_LEAVINGRECORDER_H

#include "gateway/DecisionLog.h"
#include "gateway/EndpointProtocol.h"
#include "gateway/HttpConnection.h"
#include "gateway/NodeMetrics.h"

#include <functional>
#include <string>
#include <string_view>

namespace parsleyring {

/// Records in the table of endpoints, the log and the metrics which endpoints
/// state that they are leaving.
class LeavingRecorder {
public:
  /// What the object works with; all of it must outlive the object.
  struct Dependencies {
    const EndpointProtocol &m_Protocol;
    FleetTable &m_Fleet;
    DecisionLog &m_Log;
    NodeMetrics &m_Metrics;
  };

  LeavingRecorder(Dependencies Used, std::function<Time()> Now)
      : m_Used(Used), m_Now(std::move(Now)) {}

  /// Reads an answer that came on a connection to Endpoint. RequestId is empty
  /// if the answer is not one to a caller's request.
  void noteAnswer(const FleetEndpoint &Endpoint, const ResponseHead &Head,
                  std::string_view RequestId);
  /// Applies what another VM tells.
  void noteTold(const EndpointIncarnation &Endpoint, const std::string &By);
  /// Logs and counts what a digest of another VM has added to the table.
  void logTold(const EndpointIncarnation &Endpoint, const std::string &By);

private:
  const Dependencies m_Used;
  std::function<Time()> m_Now;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_LEAVINGRECORDER_H
