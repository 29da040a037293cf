#ifndef PARSLEYRING_REQUESTS_ENDING_H
#define PARSLEYRING_REQUESTS_ENDING_H

#include "parsleyring/Events.h"
#include "requests/Request.h"

namespace parsleyring {

/// What the caller is told at the end of a request.
struct Ending {
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

/// The truthful ending of an admitted request: not-run only if no attempt can
/// have run.
Ending failureEnding(const Request &Subject, FailureReason Reason);

/// The ending of a call whose claim was not granted.
Ending claimEnding(ClaimResult Result);

/// What the caller is told with a code; empty for a code that is none of an
/// admitted request.
std::string_view messageOfCode(std::string_view Code);

/// True if the result proves that the attempt did not run.
bool isProvablyNotRun(AttemptResult Result);

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ENDING_H
