#include "console/FormField.h"

#include "routing/RoutePlanner.h"

#include <charconv>
#include <limits>

namespace parsleyring {

/// Removes leading and trailing white space, which is entered by mistake.
static std::string trimmed(const std::string &Text) {
  static constexpr const char *Blanks = " \t\r\n";
  std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

static std::string toText(const std::string &Value) { return Value; }
static std::string toText(std::uint32_t Value) { return std::to_string(Value); }
static std::string toText(bool Value) { return Value ? "true" : "false"; }
static std::string toText(Preference Value) { return std::string(name(Value)); }
static std::string toText(PoolKind Value) { return std::string(name(Value)); }

static std::string toText(double Value) {
  char Text[32];
  auto Result = std::to_chars(std::begin(Text), std::end(Text), Value);
  return std::string(Text, Result.ptr);
}

static std::string toText(const std::vector<std::string> &Values) {
  std::string Text;
  for (const std::string &Each : Values)
    Text += Each + "\n";
  return Text;
}

static std::string fromText(const std::string &Text, std::string &Value) {
  // Not trimmed: a name in the document may begin or end with white space.
  Value = Text;
  return "";
}

static std::string fromText(const std::string &Text, std::uint32_t &Value) {
  std::string Digits = trimmed(Text);
  const char *End = Digits.data() + Digits.size();
  std::uint32_t Read = 0;
  auto Result = std::from_chars(Digits.data(), End, Read);
  if (Digits.empty() || Result.ec != std::errc() || Result.ptr != End)
    return "must be an integer from 0 to " +
           std::to_string(std::numeric_limits<std::uint32_t>::max());
  Value = Read;
  return "";
}

static std::string fromText(const std::string &Text, double &Value) {
  std::string Digits = trimmed(Text);
  const char *End = Digits.data() + Digits.size();
  double Read = 0;
  auto Result = std::from_chars(Digits.data(), End, Read);
  if (Digits.empty() || Result.ec != std::errc() || Result.ptr != End)
    return "must be a number, for example 2.5";
  Value = Read;
  return "";
}

static std::string fromText(const std::string &Text, bool &Value) {
  if (Text != "true" && Text != "false")
    return "must be true or false";
  Value = Text == "true";
  return "";
}

static std::string fromText(const std::string &Text, Preference &Value) {
  std::optional<Preference> Known = preferenceFromName(Text);
  if (!Known)
    return "is not one of the choices";
  Value = *Known;
  return "";
}

static std::string fromText(const std::string &Text, PoolKind &Value) {
  std::optional<PoolKind> Known = poolKindFromName(Text);
  if (!Known)
    return "is not one of the choices";
  Value = *Known;
  return "";
}

static std::string fromText(const std::string &Text,
                            std::vector<std::string> &Values) {
  static constexpr const char *Separators = " \t\r\n,";
  Values.clear();
  std::string_view Rest = Text;
  for (;;) {
    Rest.remove_prefix(
        std::min(Rest.find_first_not_of(Separators), Rest.size()));
    if (Rest.empty())
      return "";
    Values.emplace_back(Rest.substr(0, Rest.find_first_of(Separators)));
    Rest.remove_prefix(Values.back().size());
  }
}

/// A field whose member is accessed through a function.
template <typename Entity, typename Member>
static FormField<Entity> accessorField(const char *Key, Member Accessor,
                                       const char *Hint = "",
                                       std::vector<std::string> Choices = {}) {
  return {Key, Hint,
          [Accessor](const Entity &From) {
            // The cast is safe: Accessor only returns a reference and toText()
            // reads it.
            return toText(Accessor(const_cast<Entity &>(From)));
          },
          [Accessor](Entity &Into, const std::string &Text) {
            return fromText(Text, Accessor(Into));
          },
          std::move(Choices)};
}

template <typename Entity, typename Value>
static FormField<Entity> field(const char *Key, Value Entity::*Member,
                               const char *Hint = "",
                               std::vector<std::string> Choices = {}) {
  return accessorField<Entity>(
      Key, [Member](Entity &Each) -> Value & { return Each.*Member; }, Hint,
      std::move(Choices));
}

const std::vector<FormField<Policy>> &policyFields() {
  static const std::vector<FormField<Policy>> Fields{
      field("preference", &Policy::m_Preference, "",
            {"recovery", "throughput"}),
      field("route_strategy", &Policy::m_RouteStrategy, "",
            routeStrategyNames())};
  return Fields;
}

const std::vector<FormField<ClientAccount>> &accountFields() {
  static const std::vector<FormField<ClientAccount>> Fields = [] {
    std::vector<FormField<ClientAccount>> List{
        field("name", &ClientAccount::m_Name),
        field("key_sha256", &ClientAccount::m_KeySha256,
              "SHA-256 of each key, one per line"),
        field("share", &ClientAccount::m_Share, "weight in the fair queues"),
        field("requests_per_second", &ClientAccount::m_RequestsPerSecond,
              "over all VMs together"),
        field("max_outstanding", &ClientAccount::m_MaxOutstanding,
              "over all VMs together")};
    List[1].m_IsMultiline = true;
    return List;
  }();
  return Fields;
}

const std::vector<FormField<Pipeline>> &pipelineFields() {
  static const std::vector<FormField<Pipeline>> Fields{
      field("name", &Pipeline::m_Name, "model that callers ask for"),
      field("layers", &Pipeline::m_Layers),
      field("pool", &Pipeline::m_Pool, "pool of kind engine"),
      field("max_tokens", &Pipeline::m_MaxTokens)};
  return Fields;
}

const std::vector<FormField<Pool>> &poolFields() {
  static const std::vector<FormField<Pool>> Fields{
      field("name", &Pool::m_Name),
      field("kind", &Pool::m_Kind, "", {"engine", "service"}),
      field("queue_limit", &Pool::m_QueueLimit, "requests"),
      field("retry_budget", &Pool::m_RetryBudget,
            "retries per request, 0 to 1"),
      field("request_timeout_ms", &Pool::m_RequestTimeoutMillis)};
  return Fields;
}

const std::vector<FormField<EndpointSpec>> &endpointFields() {
  static const std::vector<FormField<EndpointSpec>> Fields{
      field("name", &EndpointSpec::m_Name),
      field("address", &EndpointSpec::m_Address),
      field("failure_domain", &EndpointSpec::m_FailureDomain),
      field("accelerator", &EndpointSpec::m_Accelerator),
      accessorField<EndpointSpec>("first_layer",
                                  [](EndpointSpec &Each) -> std::uint32_t & {
                                    return Each.m_Layers.m_First;
                                  }),
      accessorField<EndpointSpec>("end_layer",
                                  [](EndpointSpec &Each) -> std::uint32_t & {
                                    return Each.m_Layers.m_End;
                                  }),
      field("slots", &EndpointSpec::m_Slots),
      field("token_micros", &EndpointSpec::m_TokenMicros)};
  return Fields;
}

const std::vector<FormField<IdempotencyRule>> &ruleFields() {
  static const std::vector<FormField<IdempotencyRule>> Fields{
      field("pool", &IdempotencyRule::m_Pool),
      field("method", &IdempotencyRule::m_Method),
      field("path", &IdempotencyRule::m_Path),
      field("idempotent", &IdempotencyRule::m_IsIdempotent, "",
            {"false", "true"})};
  return Fields;
}

const std::vector<FormField<Link>> &linkFields() {
  static const std::vector<FormField<Link>> Fields{
      field("from", &Link::m_From), field("to", &Link::m_To),
      field("one_way_micros", &Link::m_OneWayMicros)};
  return Fields;
}

void writeInput(HtmlWriter &Out, const std::string &Name,
                const std::string &Value,
                const std::vector<std::string> &Choices, bool IsMultiline) {
  if (IsMultiline) {
    Out << "<textarea id=\"" << Name << "\" name=\"" << Name
        << "\" rows=\"3\" cols=\"66\">\n"
        << Value << "</textarea>";
    return;
  }
  if (Choices.empty()) {
    Out << "<input id=\"" << Name << "\" name=\"" << Name << "\" value=\""
        << Value << "\">";
    return;
  }
  Out << "<select id=\"" << Name << "\" name=\"" << Name << "\">";
  bool IsListed = false;
  for (const std::string &Choice : Choices) {
    bool IsSelected = Choice == Value;
    IsListed = IsListed || IsSelected;
    Out << "<option";
    if (IsSelected)
      Out << " selected";
    Out << ">" << Choice << "</option>";
  }
  // A value that is not among the choices, for example from an import, must
  // not change when the form is saved.
  if (!IsListed)
    Out << "<option selected>" << Value << "</option>";
  Out << "</select>";
}

void writeFieldFinding(HtmlWriter &Out, const FieldFindings &Findings,
                       const std::string &Name) {
  auto Found = Findings.find(Name);
  if (Found != Findings.end())
    Out << " <span class=\"finding\">" << Found->second << "</span>";
}

} // namespace parsleyring
