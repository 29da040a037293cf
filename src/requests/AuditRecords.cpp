#include "requests/AuditRecords.h"

#include "core/RedactedDetail.h"
#include "core/RedactedKey.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::ordered_json;

/// Limit for texts of claim services and endpoints in a record.
static constexpr std::size_t MaxDetailBytes = 200;

static WriteAudit makeRecord(AuditKind Kind, Time Now, RequestNumber Number,
                             const Json &Fields) {
  // Endpoints may send text that is not valid UTF-8; the strict error handler
  // of dump() would throw on it.
  return {Kind, Now, Number,
          Fields.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

static Json stages(const std::vector<Stage> &Route) {
  Json Result = Json::array();
  for (const Stage &RouteStage : Route)
    Result.push_back({{"endpoint", RouteStage.m_Hop.m_Endpoint},
                      {"address", RouteStage.m_Address},
                      {"first_layer", RouteStage.m_Hop.m_Layers.m_First},
                      {"end_layer", RouteStage.m_Hop.m_Layers.m_End}});
  return Result;
}

static Json candidates(const std::vector<RouteCandidate> &Candidates) {
  Json Result = Json::array();
  for (const RouteCandidate &Candidate : Candidates) {
    Result.push_back({{"endpoint", Candidate.m_Endpoint},
                      {"first_layer", Candidate.m_Layers.m_First},
                      {"end_layer", Candidate.m_Layers.m_End},
                      {"estimate_us", Candidate.m_EstimateMicros}});
    if (Candidate.m_IsStallQuarantined)
      Result.back()["quarantined"] = true;
  }
  return Result;
}

static Json excluded(const std::vector<RouteExclusion> &Excluded) {
  Json Result = Json::array();
  for (const RouteExclusion &Each : Excluded)
    Result.push_back(
        {{"endpoint", Each.m_Endpoint}, {"reason", name(Each.m_Reason)}});
  return Result;
}

static std::string firstEndpoint(const Attempt &Started) {
  return Started.m_Route.empty() ? std::string()
                                 : Started.m_Route.front().m_Hop.m_Endpoint;
}

WriteAudit admissionRecord(Time Now, const Request &Req,
                           ConfigurationVersion Version) {
  Json Fields = {
      {"decision", "admitted"},   {"configuration", Version},
      {"account", Req.m_Account}, {"pool", Req.m_Pool},
      {"target", Req.m_Target},   {"timeout_us", Req.m_Timeout.count()}};
  if (Req.m_Kind == RequestKind::Completion) {
    Fields["prompt_tokens"] = Req.m_PromptTokens;
    Fields["max_tokens"] = Req.m_MaxTokens;
    Fields["priority"] = Req.m_Priority;
  } else {
    Fields["idempotent"] = Req.m_IsIdempotent;
    Fields["idempotency_key"] = redactedKey(Req.m_IdempotencyKey);
  }
  return makeRecord(AuditKind::Admission, Now, Req.m_Number, Fields);
}

WriteAudit rejectionRecord(Time Now, RequestNumber Number,
                           const std::string &Account,
                           const std::string &Target,
                           const RequestResult &Result,
                           ConfigurationVersion Version) {
  return makeRecord(AuditKind::Admission, Now, Number,
                    {{"decision", "rejected"},
                     {"configuration", Version},
                     {"account", Account},
                     {"target", Target},
                     {"code", Result.m_Code},
                     {"message", Result.m_Message}});
}

WriteAudit routeRecord(Time Now, const Request &Req, AttemptNumber Attempt,
                       const RoutePlan &Plan, ConfigurationVersion Version,
                       std::uint64_t Seed) {
  return makeRecord(
      AuditKind::Route, Now, Req.m_Number,
      {{"configuration", Version},
       {"strategy", Plan.m_Strategy},
       {"seed", Seed},
       {"attempt", Attempt},
       {"epoch", Req.m_Epoch},
       {"position", Req.m_Delivered},
       {"avoid", Req.avoided()},
       {"candidates", candidates(Plan.m_Candidates)},
       {"excluded", excluded(Plan.m_Excluded)},
       {"stages", stages(Plan.m_Route)},
       {"estimated_first_token_us", Plan.m_EstimatedFirstToken.count()}});
}

WriteAudit failedSearchRecord(Time Now, const Request &Req,
                              const FailedSearch &Search,
                              ConfigurationVersion Version) {
  bool IsSaturated = Search.m_Plan.m_Status == PlanStatus::Saturated;
  return makeRecord(AuditKind::Route, Now, Req.m_Number,
                    {{"configuration", Version},
                     {"strategy", Search.m_Plan.m_Strategy},
                     {"decision", IsSaturated ? "saturated" : "no-route"},
                     {"searched_at_us", Search.m_At.time_since_epoch().count()},
                     {"avoid", Req.avoided()},
                     {"candidates", candidates(Search.m_Plan.m_Candidates)},
                     {"excluded", excluded(Search.m_Plan.m_Excluded)}});
}

WriteAudit attemptEndRecord(Time Now, const Attempt &Ended,
                            const AttemptEnded &Report) {
  return makeRecord(
      AuditKind::AttemptEnd, Now, Ended.m_Request,
      {{"attempt", Ended.m_Number},
       {"epoch", Ended.m_Epoch},
       {"endpoint", firstEndpoint(Ended)},
       {"result", name(Report.m_Result)},
       {"status", Report.m_Status},
       {"detail", redactedDetail(Report)},
       {"failed_endpoint", Report.m_FailedEndpoint.substr(0, MaxDetailBytes)},
       {"tokens", Ended.m_Tokens},
       {"abandoned", Ended.m_IsCancelled},
       {"elapsed_us", (Now - Ended.m_StartedAt).count()}});
}

WriteAudit abandonRecord(Time Now, const Attempt &Abandoned,
                         const std::string &Reason,
                         const std::vector<std::string> &Avoid) {
  return makeRecord(AuditKind::AttemptEnd, Now, Abandoned.m_Request,
                    {{"attempt", Abandoned.m_Number},
                     {"epoch", Abandoned.m_Epoch},
                     {"endpoint", firstEndpoint(Abandoned)},
                     {"avoid", Avoid},
                     {"result", "abandoned"},
                     {"reason", Reason},
                     {"tokens", Abandoned.m_Tokens},
                     {"elapsed_us", (Now - Abandoned.m_StartedAt).count()}});
}

WriteAudit retryRecord(Time Now, const Request &Req, const std::string &Reason,
                       bool IsResume) {
  return makeRecord(
      AuditKind::Retry, Now, Req.m_Number,
      {{"reason", Reason},
       {"resume", IsResume},
       {"position", Req.m_Delivered},
       {"attempts", Req.m_AttemptsSinceProgress},
       {"not_before_us", Req.m_NotBefore.time_since_epoch().count()}});
}

WriteAudit claimRecord(Time Now, const Request &Req, const std::string &Step,
                       const std::string &Detail) {
  return makeRecord(AuditKind::Claim, Now, Req.m_Number,
                    {{"step", Step},
                     {"account", Req.m_Account},
                     {"idempotency_key", redactedKey(Req.m_IdempotencyKey)},
                     {"detail", Detail.substr(0, MaxDetailBytes)}});
}

WriteAudit claimEndRecord(Time Now, RequestNumber Number, ClaimFinalState End) {
  return makeRecord(
      AuditKind::Claim, Now, Number,
      {{"step", End == ClaimFinalState::Released ? "released" : "completed"}});
}

WriteAudit outcomeRecord(Time Now, RequestNumber Number,
                         const RequestResult &Result, std::uint32_t Tokens,
                         Duration Elapsed) {
  return makeRecord(AuditKind::Outcome, Now, Number,
                    {{"outcome", name(Result.m_Outcome)},
                     {"status", Result.m_Status},
                     {"code", Result.m_Code},
                     {"tokens", Tokens},
                     {"elapsed_us", Elapsed.count()}});
}

WriteAudit leavingRecord(Time Now, const std::string &Endpoint,
                         const std::string &Incarnation, LeavingSource Source) {
  return makeRecord(AuditKind::Endpoint, Now, 0,
                    {{"endpoint", Endpoint},
                     {"state", "leaving"},
                     {"endpoint_incarnation", Incarnation},
                     {"sign", name(Source)}});
}

WriteAudit quarantineRecord(Time Now, const std::string &Endpoint,
                            const std::string &Reason, RequestNumber Number,
                            std::optional<Duration> Length) {
  Json Fields = {
      {"endpoint", Endpoint}, {"state", "quarantined"}, {"reason", Reason}};
  if (Length)
    Fields["length_us"] = Length->count();
  return makeRecord(AuditKind::Endpoint, Now, Number, Fields);
}

WriteAudit configurationRecord(Time Now, const ConfigurationApplied &Applied,
                               bool IsAccepted, ConfigurationVersion InForce) {
  Json Fields = {{"version", Applied.m_Version},
                 {"accepted", IsAccepted},
                 {"in_force", InForce}};
  if (IsAccepted) {
    Fields["strategy"] = Applied.m_Document->m_Policy.m_RouteStrategy;
    Fields["accounts"] = Applied.m_Document->m_Accounts.size();
    Fields["pools"] = Applied.m_Document->m_Pools.size();
  }
  return makeRecord(AuditKind::Configuration, Now, 0, Fields);
}

WriteAudit membershipRecord(Time Now, const PeersChanged &Change) {
  return makeRecord(AuditKind::Membership, Now, 0,
                    {{"live_peers", Change.m_LivePeers},
                     {"unreachable_domains", Change.m_UnreachableDomains}});
}

WriteAudit drainRecord(Time Now, std::size_t RequestsInProgress) {
  return makeRecord(
      AuditKind::Membership, Now, 0,
      {{"state", "draining"}, {"requests_in_progress", RequestsInProgress}});
}

} // namespace parsleyring
