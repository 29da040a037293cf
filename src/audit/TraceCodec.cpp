#include "audit/TraceCodec.h"

#include "core/RedactedDetail.h"
#include "core/RedactedKey.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::ordered_json;

static constexpr const char *EventField = "event";
static constexpr const char *FieldsField = "fields";
static constexpr const char *StartName = "started";
static constexpr const char *IdempotencyKeyField = "idempotency_key";

// Times and durations are written in microseconds, enumerators as names.

namespace {

/// Visitor that writes the fields of an event as JSON.
class FieldWriter {
public:
  FieldWriter(Json &Fields, const TraceCodec::DocumentToText &ToText)
      : m_Fields(Fields), m_DocumentToText(ToText) {}

  template <typename Value>
  void operator()(const char *Field, const Value &From) {
    if constexpr (std::is_enum_v<Value>)
      m_Fields[Field] = name(From);
    else
      m_Fields[Field] = From;
  }
  void operator()(const char *Field, const std::string &From) {
    m_Fields[Field] = std::string_view(Field) == IdempotencyKeyField
                          ? redactedKey(From)
                          : From;
  }
  void operator()(const char *Field, const Time &From) {
    m_Fields[Field] = From.time_since_epoch().count();
  }
  void operator()(const char *Field, const std::vector<Hop> &From) {
    Json &Hops = m_Fields[Field] = Json::array();
    for (const Hop &Each : From)
      Hops.push_back(Json::array(
          {Each.m_Endpoint, Each.m_Layers.m_First, Each.m_Layers.m_End}));
  }
  void operator()(const char *Field,
                  const std::shared_ptr<const Document> &From) {
    m_Fields[Field] = From ? Json(m_DocumentToText(*From)) : Json();
  }

private:
  Json &m_Fields;
  const TraceCodec::DocumentToText &m_DocumentToText;
};

/// Visitor that reads the fields of an event from JSON.
class FieldReader {
public:
  FieldReader(const Json &Fields, const TraceCodec::DocumentFromText &FromText)
      : m_Fields(Fields), m_DocumentFromText(FromText) {}

  template <typename Value> void operator()(const char *Field, Value &To) {
    To = m_Fields.at(Field).get<Value>();
  }
  void operator()(const char *Field, AttemptResult &To) {
    readEnum(Field, To, attemptResultFromName);
  }
  void operator()(const char *Field, LeavingSource &To) {
    readEnum(Field, To, leavingSourceFromName);
  }
  void operator()(const char *Field, ClaimResult &To) {
    readEnum(Field, To, claimResultFromName);
  }
  void operator()(const char *Field, Time &To) {
    To = Time(Duration(m_Fields.at(Field).get<Duration::rep>()));
  }
  void operator()(const char *Field, std::vector<Hop> &To) {
    for (const Json &Each : m_Fields.at(Field))
      To.push_back(
          {Each.at(0).get<std::string>(),
           {Each.at(1).get<std::uint32_t>(), Each.at(2).get<std::uint32_t>()}});
  }
  void operator()(const char *Field, std::shared_ptr<const Document> &To) {
    const Json &Text = m_Fields.at(Field);
    if (!Text.is_null())
      To = m_DocumentFromText(Text.get<std::string>());
  }

private:
  template <typename Enum>
  void readEnum(const char *Field, Enum &To,
                std::optional<Enum> (*FromName)(std::string_view)) {
    auto Text = m_Fields.at(Field).get<std::string>();
    auto Value = FromName(Text);
    if (!Value)
      throw TraceError(std::string(Field) + " has the unknown value \"" + Text +
                       "\"");
    To = *Value;
  }

  const Json &m_Fields;
  const TraceCodec::DocumentFromText &m_DocumentFromText;
};

} // namespace

/// Returns the request number of an event; 0 if it has none.
static RequestNumber requestOf(const Json &Fields) {
  auto Found = Fields.find("request");
  return Found == Fields.end() ? 0 : Found->get<RequestNumber>();
}

/// Returns a default event of the given name; throws TraceError if unknown.
template <std::size_t Index = 0>
static Event eventFromName(const std::string &Name) {
  if constexpr (Index == std::variant_size_v<Event>) {
    throw TraceError("unknown event \"" + Name + "\"");
  } else {
    Event Candidate(std::in_place_index<Index>);
    return name(Candidate) == Name ? Candidate : eventFromName<Index + 1>(Name);
  }
}

static WriteAudit eventRecord(Time Now, std::string_view Name, Json Fields) {
  RequestNumber Number = requestOf(Fields);
  Json Record = {{EventField, Name}, {FieldsField, std::move(Fields)}};
  // External text may be invalid UTF-8, for which dump() throws by default.
  return {AuditKind::CoreEvent, Now, Number,
          Record.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

TraceCodec::TraceCodec(DocumentToText ToText, DocumentFromText FromText)
    : m_DocumentToText(std::move(ToText)),
      m_DocumentFromText(std::move(FromText)) {}

WriteAudit TraceCodec::encode(Time Now, const Event &Input) const {
  Json Fields = Json::object();
  FieldWriter Writer(Fields, m_DocumentToText);
  std::visit(
      [&](const auto &Value) {
        std::decay_t<decltype(Value)>::describe(Value, Writer);
      },
      Input);
  if (auto *End = std::get_if<AttemptEnded>(&Input))
    Fields["detail"] = redactedDetail(*End);
  return eventRecord(Now, name(Input), std::move(Fields));
}

Event TraceCodec::decode(const std::string &FieldsJson) const {
  try {
    Json Record = Json::parse(FieldsJson);
    Event Result = eventFromName(Record.at(EventField).get<std::string>());
    FieldReader Reader(Record.at(FieldsField), m_DocumentFromText);
    std::visit(
        [&](auto &Value) {
          std::decay_t<decltype(Value)>::describe(Value, Reader);
        },
        Result);
    return Result;
  } catch (const Json::exception &Error) {
    throw TraceError(Error.what());
  }
}

WriteAudit TraceCodec::encodeStart(Time Now, const RouterOptions &Options) {
  return eventRecord(
      Now, StartName,
      {{"failure_domain", Options.m_FailureDomain},
       {"seed", Options.m_Seed},
       {"first_token_timeout_us", Options.m_FirstTokenTimeout.count()},
       {"claim_timeout_us", Options.m_ClaimTimeout.count()}});
}

std::optional<RouterOptions>
TraceCodec::decodeStart(const std::string &FieldsJson,
                        const Incarnation &Self) {
  try {
    Json Record = Json::parse(FieldsJson);
    if (Record.at(EventField).get<std::string>() != StartName)
      return std::nullopt;
    const Json &Fields = Record.at(FieldsField);
    RouterOptions Result;
    Result.m_Self = Self;
    Result.m_FailureDomain = Fields.at("failure_domain").get<std::string>();
    Result.m_Seed = Fields.at("seed").get<std::uint64_t>();
    Result.m_FirstTokenTimeout =
        Duration(Fields.at("first_token_timeout_us").get<Duration::rep>());
    Result.m_ClaimTimeout =
        Duration(Fields.at("claim_timeout_us").get<Duration::rep>());
    return Result;
  } catch (const Json::exception &Error) {
    throw TraceError(Error.what());
  }
}

} // namespace parsleyring
