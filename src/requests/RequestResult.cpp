#include "requests/RequestResult.h"

#include <array>

namespace parsleyring {

namespace {

struct FailureText {
  const char *m_Code;
  const char *m_Message;
  int m_StatusIfNotRun;
  int m_StatusIfRun;
};

struct ClaimText {
  Outcome m_Outcome;
  int m_Status;
  const char *m_Code;
  const char *m_Message;
  std::uint32_t m_RetryAfterSeconds;
};

} // namespace

/// Retry-After of a request refused because capacity is exhausted or the
/// platform is unavailable.
static constexpr std::uint32_t RetryAfterSeconds = 1;

// Indexed by FailureReason. 499 is the customary status for a caller that
// closed its connection; no caller sees it, only the audit records hold it.
static constexpr std::array<FailureText, 9> FailureTexts{{
    {"deadline", "the time limit of the request passed", 503, 504},
    {"attempts", "the limit of attempts was reached", 503, 502},
    {"retry-budget", "the retry budget of the pool is used up", 503, 502},
    {"caller-gone", "the caller closed the connection", 499, 499},
    {"rejected", "the endpoint rejected the request", 502, 502},
    {"no-answer", "the call was sent and no complete answer came", 503, 504},
    {"claim-timeout",
     "the claim of the idempotency key was not settled in time", 503, 503},
    {"queue-full", "the queue of the pool is full", 503, 503},
    {"pool-removed", "the pool is no longer configured", 503, 503},
}};

// Indexed by ClaimResult.
static constexpr std::array<ClaimText, 7> ClaimTexts{{
    {Outcome::Completed, 200, "", "", 0},
    {Outcome::Unknown, 409, "in-progress",
     "a call with this idempotency key was started before", 0},
    {Outcome::Completed, 409, "completed",
     "the call ran before; its answer is not kept", 0},
    {Outcome::Completed, 200, "", "", 0},
    {Outcome::NotRun, 422, "body-differs",
     "the idempotency key was used with another body", 0},
    {Outcome::NotRun, 503, "claims-unavailable",
     "the idempotency key cannot be claimed now", RetryAfterSeconds},
    {Outcome::NotRun, 400, "key-rejected",
     "the idempotency key is malformed, too old or ahead of time", 0},
}};

static Outcome failureOutcome(const Request &Req) {
  if (!Req.canHaveRun())
    return Outcome::NotRun;
  return Req.m_Kind == RequestKind::Completion ? Outcome::Failed
                                               : Outcome::Unknown;
}

RequestResult failedRequestResult(const Request &Req, FailureReason Reason) {
  const FailureText &Text = FailureTexts[static_cast<std::size_t>(Reason)];
  RequestResult Result;
  Result.m_Outcome = failureOutcome(Req);
  bool IsNotRun = Result.m_Outcome == Outcome::NotRun;
  Result.m_Status = IsNotRun ? Text.m_StatusIfNotRun : Text.m_StatusIfRun;
  Result.m_Code = Text.m_Code;
  Result.m_Message = Text.m_Message;
  if (Result.m_Status == 503)
    Result.m_RetryAfterSeconds = RetryAfterSeconds;
  return Result;
}

RequestResult ungrantedClaimResult(ClaimResult Result) {
  const ClaimText &Text = ClaimTexts[static_cast<std::size_t>(Result)];
  return {Text.m_Outcome, Text.m_Status, Text.m_Code, Text.m_Message,
          Text.m_RetryAfterSeconds};
}

std::string_view messageForCode(std::string_view Code) {
  for (const FailureText &Text : FailureTexts)
    if (Text.m_Code == Code)
      return Text.m_Message;
  for (const ClaimText &Text : ClaimTexts)
    if (Text.m_Code == Code)
      return Text.m_Message;
  return {};
}

bool isProvablyNotRun(AttemptResult Result) {
  return Result == AttemptResult::ConnectFailed ||
         Result == AttemptResult::RefusedNotRun ||
         Result == AttemptResult::RefusedLeaving;
}

} // namespace parsleyring
