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

void AdmissionSystem::completionArrived(EventContext &Context,
                                        const CompletionArrived &Arrival) {
  IncomingRequest Incoming{Arrival.m_Request, Arrival.m_Pipeline, nullptr};
  if (!registerArrival(Incoming.m_Number) ||
      !resolveAccount(Context, Incoming, Arrival.m_AccountKeySha256))
    return;
  const Pipeline *Model = m_State.m_Document->pipeline(Arrival.m_Pipeline);
  PoolState *Pool = Model ? m_State.m_Pools.find(Model->m_Pool) : nullptr;
  if (!Pool)
    return reject(Context, Incoming, 404, "unknown-model",
                  "the model is not known");
  if (Arrival.m_MaxTokens > Model->m_MaxTokens)
    return reject(Context, Incoming, 400, "max-tokens",
                  "max_tokens is above the limit of the model: " +
                      std::to_string(Model->m_MaxTokens));
  if (!checkLimits(Context, Incoming, *Pool))
    return;
  Request Req;
  Req.m_Kind = RequestKind::Completion;
  Req.m_Pool = Model->m_Pool;
  Req.m_Layers = Model->m_Layers;
  Req.m_PromptTokens = Arrival.m_PromptTokens;
  Req.m_MaxTokens =
      Arrival.m_MaxTokens ? Arrival.m_MaxTokens : Model->m_MaxTokens;
  Req.m_Priority = Arrival.m_Priority;
  Req.m_PrefixHashes = Arrival.m_PrefixHashes;
  admit(Context, Incoming, *Pool, std::move(Req));
}

void AdmissionSystem::serviceCallArrived(EventContext &Context,
                                         const ServiceCallArrived &Arrival) {
  std::string Path = withoutQuery(Arrival.m_Path);
  IncomingRequest Incoming{Arrival.m_Request,
                           Arrival.m_Pool + " " + Arrival.m_Method + " " + Path,
                           nullptr};
  if (!registerArrival(Incoming.m_Number) ||
      !resolveAccount(Context, Incoming, Arrival.m_AccountKeySha256))
    return;
  const Document &Configuration = *m_State.m_Document;
  const parsleyring::Pool *Spec = Configuration.pool(Arrival.m_Pool);
  PoolState *Pool = m_State.m_Pools.find(Arrival.m_Pool);
  if (!Pool || Spec->m_Kind != PoolKind::Service)
    return reject(Context, Incoming, 404, "unknown-pool",
                  "there is no service pool of this name");
  if (!checkLimits(Context, Incoming, *Pool))
    return;
  Request Req;
  Req.m_Kind = RequestKind::ServiceCall;
  Req.m_Pool = Arrival.m_Pool;
  Req.m_IsIdempotent =
      isIdempotentCall(Configuration, Arrival.m_Pool, Arrival.m_Method, Path);
  Req.m_IdempotencyKey = Arrival.m_IdempotencyKey;
  Req.m_BodySha256 = Arrival.m_BodySha256;
  admit(Context, Incoming, *Pool, std::move(Req));
}

bool AdmissionSystem::registerArrival(RequestNumber Number) {
  m_State.m_Counters.add(Counter::RequestsReceived);
  if (!m_State.request(Number))
    return true;
  m_State.m_Counters.add(Counter::EventsIgnored);
  return false;
}

bool AdmissionSystem::resolveAccount(EventContext &Context,
                                     IncomingRequest &Incoming,
                                     const std::string &KeySha256) {
  if (!m_State.m_Document) {
    reject(Context, Incoming, 503, "no-configuration",
           "this VM has no configuration yet", OverloadRetryAfterSeconds);
    return false;
  }
  Incoming.m_Account = m_State.m_AccountIndex.byKeyHash(KeySha256);
  if (!Incoming.m_Account)
    reject(Context, Incoming, 401, "unknown-key",
           "the account key is not known");
  return Incoming.m_Account != nullptr;
}

bool AdmissionSystem::checkLimits(EventContext &Context,
                                  const IncomingRequest &Incoming,
                                  PoolState &Pool) {
  const ClientAccount &Account = *Incoming.m_Account;
  AdmissionDecision Decision =
      m_State.m_Accounts.admit(Context.m_Now, Account.m_Name);
  if (Decision.m_Result != AdmissionResult::Admitted) {
    bool IsRate = Decision.m_Result == AdmissionResult::RateLimited;
    reject(Context, Incoming, 429, IsRate ? "rate-limit" : "outstanding-limit",
           IsRate ? "the account is over its requests per second"
                  : "the account is over its outstanding requests",
           std::max(1U, ceilSeconds(Decision.m_RetryAfter)));
    return false;
  }
  Duration Wait = Pool.m_WaitEstimate.estimate(Account.m_Name, Account.m_Share);
  if (Wait >= Pool.m_Timeout) {
    reject(Context, Incoming, 503, "overloaded",
           "the estimated wait is beyond the time limit of the request",
           std::max(1U, ceilSeconds(Wait - Pool.m_Timeout)));
    return false;
  }
  if (m_State.m_IsDraining) {
    reject(Context, Incoming, 503, "stopping", "this VM is being shut down",
           OverloadRetryAfterSeconds);
    return false;
  }
  Pool.m_Budget.noteRequest(Context.m_Now);
  return true;
}

void AdmissionSystem::admit(EventContext &Context,
                            const IncomingRequest &Incoming,
                            const PoolState &Pool, Request &&Req) {
  Req.m_Number = Incoming.m_Number;
  Req.m_Account = Incoming.m_Account->m_Name;
  Req.m_Target = Incoming.m_Target;
  Req.m_ArrivedAt = Context.m_Now;
  Req.m_Timeout = Pool.m_Timeout;
  Req.m_Deadline = Context.m_Now + Pool.m_Timeout;
  m_State.m_Accounts.noteStarted(Context.m_Now, Req.m_Account);
  Request &Admitted =
      m_State.m_Requests.emplace(Incoming.m_Number, std::move(Req))
          .first->second;
  Context.add(admissionRecord(Context.m_Now, Admitted, m_State.m_Version));
  if (!Admitted.m_IsIdempotent && !Admitted.m_IdempotencyKey.empty())
    return m_Claims.requestClaim(Context, Admitted);
  m_Dispatcher.enqueue(Context, Admitted);
}

void AdmissionSystem::reject(EventContext &Context,
                             const IncomingRequest &Incoming, int Status,
                             const std::string &Code,
                             const std::string &Message,
                             std::uint32_t RetryAfterSeconds) {
  m_Finisher.reject(
      Context, Incoming.m_Number,
      Incoming.m_Account ? Incoming.m_Account->m_Name : std::string(),
      Incoming.m_Target,
      {Outcome::NotRun, Status, Code, Message, RetryAfterSeconds});
}

} // namespace parsleyring
