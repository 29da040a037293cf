#include "core/NameTable.h"

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"

namespace parsleyring {

static constexpr NameTable<Outcome, 4> OutcomeNames{
    {"completed", "failed", "not-run", "unknown"}};

static constexpr NameTable<Preference, 2> PreferenceNames{
    {"recovery", "throughput"}};

static constexpr NameTable<PoolKind, 2> PoolKindNames{{"engine", "service"}};

static constexpr NameTable<AttemptResult, 9> AttemptResultNames{
    {"finished", "connect-failed", "refused-not-run", "refused-leaving",
     "rejected", "connection-lost", "timed-out", "malformed", "cancelled"}};

static constexpr NameTable<LeavingSource, 4> LeavingSourceNames{
    {"vm-list", "load-report", "answer", "peer"}};

static constexpr NameTable<ClaimResult, 7> ClaimResultNames{
    {"granted", "in-progress", "completed", "answer-kept", "body-differs",
     "unavailable", "key-rejected"}};

static constexpr NameTable<AuditKind, 10> AuditKindNames{
    {"admission", "route", "attempt-end", "retry", "claim", "outcome",
     "configuration", "membership", "endpoint", "event"}};

// In the order of the alternatives of the variant Event.
static constexpr std::array<std::string_view, 13> EventNames{
    "completion-arrived",
    "service-call-arrived",
    "caller-gone",
    "caller-returned",
    "token-arrived",
    "attempt-ended",
    "load-reported",
    "endpoint-leaving",
    "peers-changed",
    "configuration-applied",
    "claim-settled",
    "drain-started",
    "tick"};
static_assert(EventNames.size() == std::variant_size_v<Event>);

std::string_view name(Outcome Value) { return OutcomeNames.name(Value); }
std::optional<Outcome> outcomeFromName(std::string_view Name) {
  return OutcomeNames.value(Name);
}

std::string_view name(Preference Value) { return PreferenceNames.name(Value); }
std::optional<Preference> preferenceFromName(std::string_view Name) {
  return PreferenceNames.value(Name);
}

std::string_view name(PoolKind Value) { return PoolKindNames.name(Value); }
std::optional<PoolKind> poolKindFromName(std::string_view Name) {
  return PoolKindNames.value(Name);
}

std::string_view name(AttemptResult Value) {
  return AttemptResultNames.name(Value);
}
std::optional<AttemptResult> attemptResultFromName(std::string_view Name) {
  return AttemptResultNames.value(Name);
}

std::string_view name(LeavingSource Value) {
  return LeavingSourceNames.name(Value);
}
std::optional<LeavingSource> leavingSourceFromName(std::string_view Name) {
  return LeavingSourceNames.value(Name);
}

std::string_view name(ClaimResult Value) {
  return ClaimResultNames.name(Value);
}
std::optional<ClaimResult> claimResultFromName(std::string_view Name) {
  return ClaimResultNames.value(Name);
}

std::string_view name(AuditKind Value) { return AuditKindNames.name(Value); }
std::optional<AuditKind> auditKindFromName(std::string_view Name) {
  return AuditKindNames.value(Name);
}

std::string_view name(const Event &Value) { return EventNames[Value.index()]; }

} // namespace parsleyring
