#include "callers/CompletionRequest.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace parsleyring {

using Json = nlohmann::json;

static constexpr std::size_t PrefixStepBytes = 256;
/// Covers prefixes up to 16 KB; keeps the event and its audit record small.
static constexpr std::size_t MaxPrefixHashes = 64;

namespace {
/// Reads the fields of one JSON object and collects the findings.
class FieldReader {
public:
  FieldReader(const Json &Object, std::vector<Finding> &Findings)
      : m_Object(Object), m_Findings(Findings) {}

  const Json *consume(const char *Key) {
    m_ConsumedKeys.push_back(Key);
    auto Found = m_Object.find(Key);
    return Found == m_Object.end() || Found->is_null() ? nullptr : &*Found;
  }

  void report(const char *Key, const std::string &Message) {
    Finding Value;
    Value.m_Key = Key;
    Value.m_Message = Message;
    m_Findings.push_back(std::move(Value));
  }

  std::string requiredString(const char *Key) {
    const Json *Value = consume(Key);
    if (Value && Value->is_string() &&
        !Value->get_ref<const std::string &>().empty())
      return Value->get<std::string>();
    report(Key, Value ? "must be a string that is not empty" : "is missing");
    return {};
  }

  std::int64_t integer(const char *Key, std::int64_t Default, std::int64_t Low,
                       std::int64_t High) {
    const Json *Value = consume(Key);
    if (!Value)
      return Default;
    bool IsTooLarge = Value->is_number_unsigned() &&
                      Value->get<std::uint64_t>() >
                          static_cast<std::uint64_t>(
                              std::numeric_limits<std::int64_t>::max());
    if (Value->is_number_integer() && !IsTooLarge) {
      auto Number = Value->get<std::int64_t>();
      if (Number >= Low && Number <= High)
        return Number;
    }
    report(Key, "must be a whole number from " + std::to_string(Low) + " to " +
                    std::to_string(High));
    return Default;
  }

  bool boolean(const char *Key) {
    const Json *Value = consume(Key);
    if (Value && !Value->is_boolean())
      report(Key, "must be true or false");
    return Value && Value->is_boolean() && Value->get<bool>();
  }

  /// Fields that were not read.
  Json remainingFields() const {
    Json Remaining = m_Object;
    for (const std::string &Key : m_ConsumedKeys)
      Remaining.erase(Key);
    return Remaining;
  }

private:
  const Json &m_Object;
  std::vector<Finding> &m_Findings;
  std::vector<std::string> m_ConsumedKeys;
};
} // namespace

static Finding syntaxFinding(std::string_view Body,
                             const Json::parse_error &Error) {
  // Error.byte is 1-based and may be one past the end of the text.
  std::size_t Offset =
      std::min(Error.byte > 0 ? Error.byte - 1 : 0, Body.size());
  std::string_view Before = Body.substr(0, Offset);
  auto Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  std::size_t LineStart = Before.rfind('\n');
  std::size_t Column =
      LineStart == std::string_view::npos ? Offset + 1 : Offset - LineStart;
  Finding Result;
  Result.m_Line = static_cast<int>(Line);
  Result.m_Message = "line " + std::to_string(Line) + ", column " +
                     std::to_string(Column) + ": the body is not valid JSON";
  return Result;
}

CompletionPayload parseCompletionRequest(std::string_view Body,
                                         std::vector<Finding> &Findings) {
  Json Object;
  try {
    Object = Json::parse(Body);
  } catch (const Json::parse_error &Error) {
    Findings.push_back(syntaxFinding(Body, Error));
    return {};
  }
  if (!Object.is_object()) {
    Finding Value;
    Value.m_Line = 1;
    Value.m_Message = "line 1, column 1: the body must be a JSON object";
    Findings.push_back(std::move(Value));
    return {};
  }
  FieldReader Reader(Object, Findings);
  CompletionPayload Result;
  Result.m_Model = Reader.requiredString("model");
  Result.m_Prompt = Reader.requiredString("prompt");
  Result.m_MaxTokens = static_cast<std::uint32_t>(Reader.integer(
      "max_tokens", 0, 1, std::numeric_limits<std::int32_t>::max()));
  Result.m_Priority = static_cast<std::int32_t>(
      Reader.integer("priority", 0, std::numeric_limits<std::int32_t>::min(),
                     std::numeric_limits<std::int32_t>::max()));
  Result.m_IsStreamed = Reader.boolean("stream");
  // Only one choice per request is supported: an answer is one token sequence.
  Reader.integer("n", 1, 1, 1);
  Reader.consume("pipeline"); // Only the router sets the route.
  Result.m_ExtraJson = Reader.remainingFields().dump();
  return Result;
}

std::string joinFindings(const std::vector<Finding> &Findings) {
  std::string Text;
  for (const Finding &Value : Findings) {
    if (!Text.empty())
      Text += "; ";
    if (!Value.m_Key.empty())
      Text += Value.m_Key + ": ";
    Text += Value.m_Message;
  }
  return Text;
}

std::uint32_t estimatedTokens(std::string_view Text) {
  static constexpr std::size_t BytesPerToken = 4;
  return static_cast<std::uint32_t>((Text.size() + BytesPerToken - 1) /
                                    BytesPerToken);
}

CompletionArrived completionArrived(RequestNumber Request,
                                    const std::string &AccountKeySha256,
                                    const CompletionPayload &Payload) {
  CompletionArrived Result;
  Result.m_Request = Request;
  Result.m_AccountKeySha256 = AccountKeySha256;
  Result.m_Pipeline = Payload.m_Model;
  const std::string &Prompt = Payload.m_Prompt;
  Result.m_PromptTokens = estimatedTokens(Prompt);
  Result.m_MaxTokens = Payload.m_MaxTokens;
  Result.m_Priority = Payload.m_Priority;
  std::size_t Steps =
      std::min(Prompt.size() / PrefixStepBytes, MaxPrefixHashes);
  for (std::size_t Step = 1; Step <= Steps; ++Step)
    Result.m_PrefixHashes.push_back(
        XXH3_64bits(Prompt.data(), Step * PrefixStepBytes));
  return Result;
}

} // namespace parsleyring
