#include "audit/RecordDescription.h"

#include "audit/RouteDescription.h"
#include "core/TimeFormat.h"
#include "requests/RequestResult.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

namespace {

struct NamedText {
  std::string_view m_Name;
  std::string_view m_Text;
};

using DescribeFunction = std::string (*)(const RequestHistory &History,
                                         const AuditRecord &Record);

struct KindDescription {
  AuditKind m_Kind;
  DescribeFunction m_Describe;
};

} // namespace

/// Reasons why attempts ended or were abandoned.
static constexpr NamedText ReasonTexts[] = {
    {"finished", "the whole answer arrived"},
    {"connect-failed", "no connection could be made, so nothing was run"},
    {"refused-not-run", "the endpoint refused and states that it ran nothing"},
    {"refused-leaving", "the endpoint is leaving and ran nothing"},
    {"rejected", "the endpoint rejected the request itself"},
    {"connection-lost", "the connection was lost before the whole answer"},
    {"timed-out", "no answer arrived within the time limit"},
    {"malformed", "the answer could not be parsed"},
    {"cancelled", "the router closed the connection"},
    {"stalled", "no token arrived within the progress timeout"},
    {"slow", "no answer arrived within the usual time of the service"},
    {"wrong-hop", "a token had not passed the layers of the route"},
    {"wrong-position", "a token arrived out of order"},
    {"stalls", "several streams through it stalled"},
};

static constexpr NamedText ClaimTexts[] = {
    {"requested", "The idempotency key was to be claimed before the call"},
    {"granted", "The claim was granted: only this VM could send the call, "
                "once"},
    {"in-progress", "The claim was refused: the key was claimed before, and "
                    "that call was not known to have ended"},
    {"completed", "The claim was refused: the call with this key had run, and "
                  "its answer was no longer kept"},
    {"answer-kept", "The call with this key had run; the caller got its kept "
                    "answer"},
    {"body-differs", "The claim was refused: the key was used before with "
                     "another method, path or body"},
    {"unavailable", "The claim was not settled in time: the platform did not "
                    "answer, or its shard was full"},
    {"key-rejected", "The claim was refused: the key is malformed, too old or "
                     "ahead of time"},
};

/// Requests that were refused before the admission checks.
static constexpr NamedText RefusalTexts[] = {
    {"malformed-body", "the body was not a completion request"},
    {"malformed-path", "the path was not that of a service call"},
    {"malformed-key", "the Idempotency-Key header was not usable"},
    {"body-too-large", "the body was larger than this VM accepts"},
    {"body-timeout", "the body did not arrive in time"},
    {"body-broken", "the body did not arrive whole"},
    {"no-configuration", "the VM had no configuration yet"},
};

template <std::size_t Count>
static std::string lookUpText(const NamedText (&Table)[Count],
                              const std::string &Name) {
  for (const NamedText &Each : Table)
    if (Each.m_Name == Name)
      return std::string(Each.m_Text);
  return "\"" + Name + "\"";
}

static std::string countText(std::int64_t Count, const std::string &Noun) {
  return std::to_string(Count) + " " + Noun + (Count == 1 ? "" : "s");
}

static std::string elapsedText(const AuditRecord &Record) {
  return formatDuration(Duration(Record.number("elapsed_us")));
}

static std::string statusText(const AuditRecord &Record) {
  return Record.number("status") == 0
             ? std::string()
             : ", HTTP status " + std::to_string(Record.number("status"));
}

static std::string targetText(const AuditRecord &Record) {
  return "\"" + Record.text("target") + "\"";
}

static std::string describeRejection(const AuditRecord &Record) {
  std::string Code = Record.text("code");
  std::string Message = Record.text("message");
  std::string Account = Record.text("account");
  std::string Text = "Refused before anything was sent to an endpoint: ";
  Text += Message.empty() ? lookUpText(RefusalTexts, Code) : Message;
  Text += " (code \"" + Code + "\").";
  if (!Record.text("target").empty())
    Text += " The target was " + targetText(Record) +
            (Account.empty() ? ", the account is not known."
                             : ", the account \"" + Account + "\".");
  return Text + " Configuration version " +
         std::to_string(Record.number("configuration")) + " was in force.";
}

static std::string describeAdmission(const RequestHistory &,
                                     const AuditRecord &Record) {
  if (Record.text("decision") == "rejected")
    return describeRejection(Record);
  std::string Text = "Admitted for the account \"" + Record.text("account") +
                     "\" to the pool \"" + Record.text("pool") + "\" (target " +
                     targetText(Record) + ") under configuration version " +
                     std::to_string(Record.number("configuration")) +
                     ", with a time limit of " +
                     formatDuration(Duration(Record.number("timeout_us"))) +
                     ".";
  if (Record.has("max_tokens"))
    return Text + " A completion of about " +
           countText(Record.number("prompt_tokens"), "prompt token") +
           " and at most " +
           countText(Record.number("max_tokens"), "new token") + ", priority " +
           std::to_string(Record.number("priority")) + ".";
  Text +=
      Record.flag("idempotent")
          ? " By the rules the call is idempotent."
          : " By the rules the call is not idempotent: it may run once only.";
  std::string Key = Record.text("idempotency_key");
  return Text + (Key.empty()
                     ? " It has no idempotency key."
                     : " Its idempotency key has the hash " + Key + ".");
}

static std::string describeAbandonment(const AuditRecord &Record) {
  std::string Text = "Attempt " + std::to_string(Record.number("attempt")) +
                     " was abandoned after " + elapsedText(Record) + " and " +
                     countText(Record.number("tokens"), "token") + ": " +
                     lookUpText(ReasonTexts, Record.text("reason")) + ".";
  std::string Avoid;
  if (auto Found = Record.m_Fields->find("avoid");
      Found != Record.m_Fields->end() && Found->is_array())
    for (const auto &Each : *Found)
      Avoid += (Avoid.empty() ? "" : ", ") + Each.get<std::string>();
  return Avoid.empty()
             ? Text
             : Text + " From now on this request avoids " + Avoid + ".";
}

static bool isCompletion(const RequestHistory &History) {
  for (const AuditRecord &Record : History.records())
    if (Record.has("max_tokens"))
      return true;
  return false;
}

static std::string describeAttemptEnd(const RequestHistory &History,
                                      const AuditRecord &Record) {
  if (Record.text("result") == "abandoned")
    return describeAbandonment(Record);
  std::string Text = "Attempt " + std::to_string(Record.number("attempt"));
  if (Record.flag("abandoned"))
    Text += ", abandoned before,";
  Text += " on " + Record.text("endpoint") + " ended after " +
          elapsedText(Record) +
          (isCompletion(History)
               ? " with " + countText(Record.number("tokens"), "token")
               : "") +
          ": " + lookUpText(ReasonTexts, Record.text("result")) +
          statusText(Record);
  if (!Record.text("failed_endpoint").empty())
    Text += ", and " + Record.text("failed_endpoint") +
            " is reported as the stage that failed";
  if (!Record.text("detail").empty())
    Text += " (" + Record.text("detail") + ")";
  return Text + ".";
}

static std::string describeRetry(const RequestHistory &,
                                 const AuditRecord &Record) {
  std::string Text =
      Record.flag("resume")
          ? "The stream is to be resumed after " +
                countText(Record.number("position"), "delivered token")
          : std::string("The request is to be retried");
  Text += ", because " + lookUpText(ReasonTexts, Record.text("reason")) + "; " +
          countText(Record.number("attempts"), "attempt") +
          " since the last progress.";
  Time NotBefore(Duration(Record.number("not_before_us")));
  return NotBefore > Record.m_At
             ? Text + " Not before " + formatTime(NotBefore) + "."
             : Text;
}

static std::string describeClaim(const RequestHistory &,
                                 const AuditRecord &Record) {
  std::string Step = Record.text("step");
  // Records of the end of a claim have no key. Their step may be "completed" as
  // well, with another meaning.
  if (!Record.has("idempotency_key"))
    return Step == "released"
               ? "The claim was released, since the call provably did not run: "
                 "the key can be used again."
               : "The claim was marked as completed: the call ran.";
  std::string Text = lookUpText(ClaimTexts, Step);
  if (Step == "requested")
    Text += " (hash " + Record.text("idempotency_key") + ")";
  if (!Record.text("detail").empty())
    Text += " (" + Record.text("detail") + ")";
  return Text + ".";
}

static std::string describeOutcome(const RequestHistory &,
                                   const AuditRecord &Record) {
  std::string Code = Record.text("code");
  std::string Text = "The caller was told the outcome \"" +
                     Record.text("outcome") + "\"" + statusText(Record);
  if (Code == "caller-gone")
    Text = "The caller had closed the connection and got no answer; the "
           "outcome was \"" +
           Record.text("outcome") + "\"";
  else if (!Code.empty())
    Text += ", code \"" + Code + "\"";
  if (Record.number("elapsed_us") > 0)
    Text += ", after " + elapsedText(Record);
  if (Record.number("tokens") > 0)
    Text += " and " + countText(Record.number("tokens"), "token");
  std::string_view Message = messageForCode(Code);
  return Message.empty() ? Text + "."
                         : Text + ": " + std::string(Message) + ".";
}

static std::string describeEndpoint(const RequestHistory &,
                                    const AuditRecord &Record) {
  std::string Text = Record.text("endpoint") + " was set to the state \"" +
                     Record.text("state") + "\"";
  if (!Record.text("reason").empty())
    Text += ", because " + lookUpText(ReasonTexts, Record.text("reason"));
  if (Record.number("length_us") > 0)
    Text += ", for " + formatDuration(Duration(Record.number("length_us")));
  return Text + ".";
}

static constexpr KindDescription KindDescriptions[] = {
    {AuditKind::Admission, describeAdmission},
    {AuditKind::Route, describeRoute},
    {AuditKind::AttemptEnd, describeAttemptEnd},
    {AuditKind::Retry, describeRetry},
    {AuditKind::Claim, describeClaim},
    {AuditKind::Outcome, describeOutcome},
    {AuditKind::Endpoint, describeEndpoint},
};

std::string describeRecord(const RequestHistory &History,
                           const AuditRecord &Record) {
  try {
    for (const KindDescription &Each : KindDescriptions)
      if (Each.m_Kind == Record.m_Kind)
        return Each.m_Describe(History, Record);
  } catch (const nlohmann::json::exception &) {
    // The record was written by another version of the router.
  }
  return "This record cannot be interpreted: " +
         Record.m_Fields->dump(-1, ' ', false,
                               nlohmann::json::error_handler_t::replace);
}

} // namespace parsleyring
