#include "requests/AuditRecords.h"

#include "core/RecordedDetail.h"
#include "core/RedactedKey.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::ordered_json;

/// Limit for texts of claim services and endpoints in a record.
static constexpr std::size_t MaxDetailBytes = 200;

static WriteAudit record(AuditKind Kind, Time Now, RequestNumber Number,
                         const Json &Fields) {
  // Endpoints may send text that is not valid UTF-8; the strict error handler
  // of dump() would throw on it.
  return {Kind, Now, Number,
          Fields.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

static Json stages(const std::vector<Stage> &Route) {
  Json Result = Json::array();
  for (const Stage &Part : Route)
    Result.push_back({{"endpoint", Part.m_Hop.m_Endpoint},
                      {"address", Part.m_Address},
                      {"first_layer", Part.m_Hop.m_Layers.m_First},
                      {"end_layer", Part.m_Hop.m_Layers.m_End}});
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

static std::string firstEndpoint(const Attempt &Of) {
  return Of.m_Route.empty() ? std::string()
                            : Of.m_Route.front().m_Hop.m_Endpoint;
}

WriteAudit admissionRecord(Time Now, const Request &Subject,
                           ConfigurationVersion Version) {
  Json Fields = {{"decision", "admitted"},
                 {"configuration", Version},
                 {"account", Subject.m_Account},
                 {"pool", Subject.m_Pool},
                 {"target", Subject.m_Target},
                 {"timeout_us", Subject.m_Timeout.count()}};
  if (Subject.m_Kind == RequestKind::Completion) {
    Fields["prompt_tokens"] = Subject.m_PromptTokens;
    Fields["max_tokens"] = Subject.m_MaxTokens;
    Fields["priority"] = Subject.m_Priority;
  } else {
    Fields["idempotent"] = Subject.m_IsIdempotent;
    Fields["idempotency_key"] = redactedKey(Subject.m_IdempotencyKey);
  }
  return record(AuditKind::Admission, Now, Subject.m_Number, Fields);
}

WriteAudit rejectionRecord(Time Now, RequestNumber Number,
                           const std::string &Account,
                           const std::string &Target, const Ending &End,
                           ConfigurationVersion Version) {
  return record(AuditKind::Admission, Now, Number,
                {{"decision", "rejected"},
                 {"configuration", Version},
                 {"account", Account},
                 {"target", Target},
                 {"code", End.m_Code},
                 {"message", End.m_Message}});
}

WriteAudit routeRecord(Time Now, const Request &Subject, AttemptNumber Attempt,
                       const RoutePlan &Plan, ConfigurationVersion Version,
                       std::uint64_t Seed) {
  return record(
      AuditKind::Route, Now, Subject.m_Number,
      {{"configuration", Version},
       {"strategy", Plan.m_Strategy},
       {"seed", Seed},
       {"attempt", Attempt},
       {"epoch", Subject.m_Epoch},
       {"position", Subject.m_Delivered},
       {"avoid", Subject.m_Avoid},
       {"candidates", candidates(Plan.m_Candidates)},
       {"excluded", excluded(Plan.m_Excluded)},
       {"stages", stages(Plan.m_Route)},
       {"estimated_first_token_us", Plan.m_EstimatedFirstToken.count()}});
}

WriteAudit failedSearchRecord(Time Now, const Request &Subject,
                              const FailedSearch &Search,
                              ConfigurationVersion Version) {
  bool IsSaturated = Search.m_Plan.m_Status == PlanStatus::Saturated;
  return record(AuditKind::Route, Now, Subject.m_Number,
                {{"configuration", Version},
                 {"strategy", Search.m_Plan.m_Strategy},
                 {"decision", IsSaturated ? "saturated" : "no-route"},
                 {"searched_at_us", Search.m_At.time_since_epoch().count()},
                 {"avoid", Subject.m_Avoid},
                 {"candidates", candidates(Search.m_Plan.m_Candidates)},
                 {"excluded", excluded(Search.m_Plan.m_Excluded)}});
}

WriteAudit attemptEndRecord(Time Now, const Attempt &Ended,
                            const AttemptEnded &End) {
  return record(
      AuditKind::AttemptEnd, Now, Ended.m_Request,
      {{"attempt", Ended.m_Number},
       {"epoch", Ended.m_Epoch},
       {"endpoint", firstEndpoint(Ended)},
       {"result", name(End.m_Result)},
       {"status", End.m_Status},
       {"detail", recordedDetail(End)},
       {"failed_endpoint", End.m_FailedEndpoint.substr(0, MaxDetailBytes)},
       {"tokens", Ended.m_Tokens},
       {"abandoned", Ended.m_IsCancelled},
       {"elapsed_us", (Now - Ended.m_StartedAt).count()}});
}

WriteAudit abandonRecord(Time Now, const Attempt &Abandoned,
                         const std::string &Reason,
                         const std::vector<std::string> &Avoid) {
  return record(AuditKind::AttemptEnd, Now, Abandoned.m_Request,
                {{"attempt", Abandoned.m_Number},
                 {"epoch", Abandoned.m_Epoch},
                 {"endpoint", firstEndpoint(Abandoned)},
                 {"avoid", Avoid},
                 {"result", "abandoned"},
                 {"reason", Reason},
                 {"tokens", Abandoned.m_Tokens},
                 {"elapsed_us", (Now - Abandoned.m_StartedAt).count()}});
}

WriteAudit retryRecord(Time Now, const Request &Subject,
                       const std::string &Reason, bool IsResume) {
  return record(
      AuditKind::Retry, Now, Subject.m_Number,
      {{"reason", Reason},
       {"resume", IsResume},
       {"position", Subject.m_Delivered},
       {"attempts", Subject.m_AttemptsSinceProgress},
       {"not_before_us", Subject.m_NotBefore.time_since_epoch().count()}});
}

WriteAudit claimRecord(Time Now, const Request &Subject,
                       const std::string &Step, const std::string &Detail) {
  return record(AuditKind::Claim, Now, Subject.m_Number,
                {{"step", Step},
                 {"account", Subject.m_Account},
                 {"idempotency_key", redactedKey(Subject.m_IdempotencyKey)},
                 {"detail", Detail.substr(0, MaxDetailBytes)}});
}

WriteAudit claimEndRecord(Time Now, RequestNumber Number, ClaimEnd End) {
  return record(
      AuditKind::Claim, Now, Number,
      {{"step", End == ClaimEnd::Released ? "released" : "completed"}});
}

WriteAudit outcomeRecord(Time Now, RequestNumber Number, const Ending &End,
                         std::uint32_t Tokens, Duration Elapsed) {
  return record(AuditKind::Outcome, Now, Number,
                {{"outcome", name(End.m_Outcome)},
                 {"status", End.m_Status},
                 {"code", End.m_Code},
                 {"tokens", Tokens},
                 {"elapsed_us", Elapsed.count()}});
}

WriteAudit leavingRecord(Time Now, const std::string &Endpoint,
                         const std::string &Incarnation, LeavingSign Sign) {
  return record(AuditKind::Endpoint, Now, 0,
                {{"endpoint", Endpoint},
                 {"state", "leaving"},
                 {"endpoint_incarnation", Incarnation},
                 {"sign", name(Sign)}});
}

WriteAudit quarantineRecord(Time Now, const std::string &Endpoint,
                            const std::string &Reason, RequestNumber Number,
                            std::optional<Duration> Length) {
  Json Fields = {
      {"endpoint", Endpoint}, {"state", "quarantined"}, {"reason", Reason}};
  if (Length)
    Fields["length_us"] = Length->count();
  return record(AuditKind::Endpoint, Now, Number, Fields);
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
  return record(AuditKind::Configuration, Now, 0, Fields);
}

WriteAudit membershipRecord(Time Now, const PeersChanged &Change) {
  return record(AuditKind::Membership, Now, 0,
                {{"live_peers", Change.m_LivePeers},
                 {"unreachable_domains", Change.m_UnreachableDomains}});
}

WriteAudit drainRecord(Time Now, std::size_t RequestsInProgress) {
  return record(
      AuditKind::Membership, Now, 0,
      {{"state", "draining"}, {"requests_in_progress", RequestsInProgress}});
}

} // namespace parsleyring
