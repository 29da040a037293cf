#ifndef PARSLEYRING_ENDPOINTS_ENDPOINTATTEMPT_H
#define PARSLEYRING_ENDPOINTS_ENDPOINTATTEMPT_H

#include "callers/CallerPayload.h"
#include "parsleyring/Events.h"

#include <optional>
#include <string>

namespace parsleyring {

/// Result of an attempt, with the content that is not passed to the Router.
struct AttemptReport {
  AttemptResult m_Result = AttemptResult::ConnectionLost;
  int m_Status = 0;
  std::string m_Detail;
  std::string m_FinishReason; ///< Only of a finished completion.
  std::optional<ServiceAnswer> m_Answer;
  std::string m_FailedEndpoint = {}; ///< Same meaning as in AttemptEnded.
};

/// One attempt to run a request on an endpoint, executed by one thread.
class EndpointAttempt {
public:
  virtual ~EndpointAttempt() = default;

  /// Blocks until the attempt has ended. Called once.
  virtual AttemptReport run() = 0;
  /// Makes run() return early. May be called from any thread, also before
  /// run().
  virtual void cancel() = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_ENDPOINTS_ENDPOINTATTEMPT_H
