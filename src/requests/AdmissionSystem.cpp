#include "requests/AdmissionSystem.h"

#include "requests/AuditRecords.h"
#include "requests/ServicePath.h"

#include <algorithm>

namespace parsleyring {

/// Retry-After of a rejection while this VM has no configuration or shuts down.
static constexpr std::uint32_t OverloadRetryAfterSeconds = 1;

static std::uint32_t ceilSeconds(Duration Value) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::seconds>(Value).count());
}

void AdmissionSystem::completionArrived(Context &Call,
                                        const CompletionArrived &Arrival) {
  Applicant Who{Arrival.m_Request, Arrival.m_Pipeline, nullptr};
  if (!isNewNumber(Who.m_Number) ||
      !findAccount(Call, Who, Arrival.m_AccountKeySha256))
    return;
  const Pipeline *Model = m_State.m_Document->pipeline(Arrival.m_Pipeline);
  PoolState *Pool = Model ? m_State.m_Pools.find(Model->m_Pool) : nullptr;
  if (!Pool)
    return reject(Call, Who, 404, "unknown-model", "the model is not known");
  if (Arrival.m_MaxTokens > Model->m_MaxTokens)
    return reject(Call, Who, 400, "max-tokens",
                  "max_tokens is above the limit of the model: " +
                      std::to_string(Model->m_MaxTokens));
  if (!passesLimits(Call, Who, *Pool))
    return;
  Request Subject;
  Subject.m_Kind = RequestKind::Completion;
  Subject.m_Pool = Model->m_Pool;
  Subject.m_Layers = Model->m_Layers;
  Subject.m_PromptTokens = Arrival.m_PromptTokens;
  Subject.m_MaxTokens =
      Arrival.m_MaxTokens ? Arrival.m_MaxTokens : Model->m_MaxTokens;
  Subject.m_Priority = Arrival.m_Priority;
  Subject.m_PrefixHashes = Arrival.m_PrefixHashes;
  admit(Call, Who, *Pool, std::move(Subject));
}

void AdmissionSystem::serviceCallArrived(Context &Call,
                                         const ServiceCallArrived &Arrival) {
  std::string Path = withoutQuery(Arrival.m_Path);
  Applicant Who{Arrival.m_Request,
                Arrival.m_Pool + " " + Arrival.m_Method + " " + Path, nullptr};
  if (!isNewNumber(Who.m_Number) ||
      !findAccount(Call, Who, Arrival.m_AccountKeySha256))
    return;
  const Document &Configuration = *m_State.m_Document;
  const parsleyring::Pool *Spec = Configuration.pool(Arrival.m_Pool);
  PoolState *Pool = m_State.m_Pools.find(Arrival.m_Pool);
  if (!Pool || Spec->m_Kind != PoolKind::Service)
    return reject(Call, Who, 404, "unknown-pool",
                  "there is no service pool of this name");
  if (!passesLimits(Call, Who, *Pool))
    return;
  Request Subject;
  Subject.m_Kind = RequestKind::ServiceCall;
  Subject.m_Pool = Arrival.m_Pool;
  Subject.m_IsIdempotent =
      isIdempotentCall(Configuration, Arrival.m_Pool, Arrival.m_Method, Path);
  Subject.m_IdempotencyKey = Arrival.m_IdempotencyKey;
  Subject.m_BodySha256 = Arrival.m_BodySha256;
  admit(Call, Who, *Pool, std::move(Subject));
}

bool AdmissionSystem::isNewNumber(RequestNumber Number) {
  m_State.m_Counters.add(Counter::RequestsReceived);
  if (!m_State.request(Number))
    return true;
  m_State.m_Counters.add(Counter::EventsIgnored);
  return false;
}

bool AdmissionSystem::findAccount(Context &Call, Applicant &Who,
                                  const std::string &KeySha256) {
  if (!m_State.m_Document) {
    reject(Call, Who, 503, "no-configuration",
           "this VM has no configuration yet", OverloadRetryAfterSeconds);
    return false;
  }
  Who.m_Account = m_State.m_AccountIndex.byKeyHash(KeySha256);
  if (!Who.m_Account)
    reject(Call, Who, 401, "unknown-key", "the account key is not known");
  return Who.m_Account != nullptr;
}

bool AdmissionSystem::passesLimits(Context &Call, const Applicant &Who,
                                   PoolState &Pool) {
  const ClientAccount &Account = *Who.m_Account;
  AdmissionDecision Decision =
      m_State.m_Accounts.admit(Call.m_Now, Account.m_Name);
  if (Decision.m_Result != AdmissionResult::Admitted) {
    bool IsRate = Decision.m_Result == AdmissionResult::RateLimited;
    reject(Call, Who, 429, IsRate ? "rate-limit" : "outstanding-limit",
           IsRate ? "the account is over its requests per second"
                  : "the account is over its outstanding requests",
           std::max(1U, ceilSeconds(Decision.m_RetryAfter)));
    return false;
  }
  Duration Wait = Pool.m_Wait.estimate(Account.m_Name, Account.m_Share);
  if (Wait >= Pool.m_Timeout) {
    reject(Call, Who, 503, "overloaded",
           "the estimated wait is beyond the time limit of the request",
           std::max(1U, ceilSeconds(Wait - Pool.m_Timeout)));
    return false;
  }
  if (m_State.m_IsDraining) {
    reject(Call, Who, 503, "stopping", "this VM is being shut down",
           OverloadRetryAfterSeconds);
    return false;
  }
  Pool.m_Budget.noteRequest(Call.m_Now);
  return true;
}

void AdmissionSystem::admit(Context &Call, const Applicant &Who,
                            const PoolState &Pool, Request &&Subject) {
  Subject.m_Number = Who.m_Number;
  Subject.m_Account = Who.m_Account->m_Name;
  Subject.m_Target = Who.m_Target;
  Subject.m_ArrivedAt = Call.m_Now;
  Subject.m_Timeout = Pool.m_Timeout;
  Subject.m_Deadline = Call.m_Now + Pool.m_Timeout;
  m_State.m_Accounts.noteStarted(Call.m_Now, Subject.m_Account);
  Request &Admitted =
      m_State.m_Requests.emplace(Who.m_Number, std::move(Subject))
          .first->second;
  Call.add(admissionRecord(Call.m_Now, Admitted, m_State.m_Version));
  if (!Admitted.m_IsIdempotent && !Admitted.m_IdempotencyKey.empty())
    return m_Claims.request(Call, Admitted);
  m_Queues.enqueue(Call, Admitted);
}

void AdmissionSystem::reject(Context &Call, const Applicant &Who, int Status,
                             const std::string &Code,
                             const std::string &Message,
                             std::uint32_t RetryAfterSeconds) {
  m_Finisher.reject(
      Call, Who.m_Number, Who.m_Account ? Who.m_Account->m_Name : std::string(),
      Who.m_Target,
      {Outcome::NotRun, Status, Code, Message, RetryAfterSeconds});
}

} // namespace parsleyring
