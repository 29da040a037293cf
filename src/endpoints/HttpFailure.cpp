#include "endpoints/HttpFailure.h"

namespace parsleyring {

static AttemptResult failureResult(const EndpointConnection &Connection) {
  if (Connection.isCancelled())
    return AttemptResult::Cancelled;
  if (Connection.bytesSent() == 0)
    return AttemptResult::ConnectFailed;
  if (!Connection.headFinding().empty())
    return AttemptResult::Malformed;
  if (Connection.fault() == SocketStream::Fault::TimedOut)
    return AttemptResult::TimedOut;
  return AttemptResult::ConnectionLost;
}

AttemptReport failureReport(const EndpointConnection &Connection,
                            httplib::Error Error) {
  AttemptReport Report;
  Report.m_Result = failureResult(Connection);
  if (Report.m_Result == AttemptResult::Malformed) {
    Report.m_Detail = Connection.headFinding();
    return Report;
  }
  Report.m_Detail = httplib::to_string(Error) + " after " +
                    std::to_string(Connection.bytesSent()) +
                    " bytes of the request";
  return Report;
}

} // namespace parsleyring
