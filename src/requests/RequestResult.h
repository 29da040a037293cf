#ifndef PARSLEYRING_REQUESTS_REQUESTRESULT_H
#define PARSLEYRING_REQUESTS_REQUESTRESULT_H

#include "parsleyring/Events.h"
#include "requests/Request.h"

namespace parsleyring {

/// Outcome of a request and the response that the caller gets.
struct RequestResult {
  Outcome m_Outcome = Outcome::Completed;
  int m_Status = 200;
  std::string m_Code;
  std::string m_Message;
  std::uint32_t m_RetryAfterSeconds = 0;
};

/// Why a request ends without a complete answer.
enum class FailureReason {
  DeadlinePassed,
  AttemptsExhausted,
  BudgetExhausted,
  CallerGone,
  Rejected,
  NotRepeatable,
  ClaimTimedOut,
  QueueFull,
  PoolRemoved,
};

/// The result of an admitted request that failed. The outcome is not-run only
/// if no attempt can have run.
RequestResult failedRequestResult(const Request &Req, FailureReason Reason);

/// The result of a call whose claim was not granted.
RequestResult ungrantedClaimResult(ClaimResult Result);

/// The message that accompanies a code; empty if no admitted request ends with
/// that code.
std::string_view messageForCode(std::string_view Code);

/// True if the result proves that no endpoint ran the attempt.
bool isProvablyNotRun(AttemptResult Result);

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_REQUESTRESULT_H
