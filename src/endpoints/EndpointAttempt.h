#ifndef PARSLEYRING_ENDPOINTS_ENDPOINTATTEMPT_H
#define PARSLEYRING_ENDPOINTS_ENDPOINTATTEMPT_H

#include "callers/CallerPayload.h"
#include "parsleyring/Events.h"

#include <optional>
#include <string>

namespace parsleyring {

/// How an attempt ended, with what the Router does not see.
struct AttemptReport {
  AttemptResult m_Result = AttemptResult::ConnectionLost;
  int m_Status = 0;
  std::string m_Detail;
  std::string m_FinishReason; ///< Of a completion that finished.
  std::optional<ServiceAnswer> m_Answer;
  std::string m_FailedEndpoint = {}; ///< As in AttemptEnded.
};

/// One attempt at an endpoint, run by one thread.
class EndpointAttempt {
public:
  virtual ~EndpointAttempt() = default;

  /// Blocks until the attempt has ended. Called once.
  virtual AttemptReport run() = 0;
  /// Lets run() return soon; from any thread, also before run().
  virtual void cancel() = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_ENDPOINTATTEMPT_H
