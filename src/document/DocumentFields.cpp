#include "document/DocumentFields.h"

#include <charconv>

namespace parsleyring {

std::string tomlString(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Quoted = "\"";
  for (char Character : Text) {
    auto Code = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Quoted += '\\';
      Quoted += Character;
    } else if (Code < 0x20 || Code == 0x7f) {
      Quoted += "\\u00";
      Quoted += Digits[Code >> 4];
      Quoted += Digits[Code & 15];
    } else {
      Quoted += Character;
    }
  }
  return Quoted + '"';
}

/// Returns the shortest text that parses to the same number.
static std::string tomlReal(double Value) {
  char Text[32];
  auto Result = std::to_chars(std::begin(Text), std::end(Text), Value);
  return std::string(Text, Result.ptr);
}

static std::string tomlFlag(bool Value) { return Value ? "true" : "false"; }

static std::string tomlArray(const std::vector<std::string> &Texts) {
  std::string Array = "[";
  for (const std::string &Text : Texts)
    Array += (Array.size() > 1 ? ", " : "") + tomlString(Text);
  return Array + "]";
}

std::vector<DocumentField> fields(const Policy &Value) {
  return {{"preference", tomlString(name(Value.m_Preference))},
          {"route_strategy", tomlString(Value.m_RouteStrategy)}};
}

std::vector<DocumentField> fields(const ClientAccount &Value) {
  return {{"name", tomlString(Value.m_Name)},
          {"key_sha256", tomlArray(Value.m_KeySha256)},
          {"share", tomlReal(Value.m_Share)},
          {"requests_per_second", tomlReal(Value.m_RequestsPerSecond)},
          {"max_outstanding", std::to_string(Value.m_MaxOutstanding)}};
}

std::vector<DocumentField> fields(const Pipeline &Value) {
  return {{"name", tomlString(Value.m_Name)},
          {"layers", std::to_string(Value.m_Layers)},
          {"pool", tomlString(Value.m_Pool)},
          {"max_tokens", std::to_string(Value.m_MaxTokens)}};
}

std::vector<DocumentField> fields(const Pool &Value) {
  return {{"name", tomlString(Value.m_Name)},
          {"kind", tomlString(name(Value.m_Kind))},
          {"queue_limit", std::to_string(Value.m_QueueLimit)},
          {"retry_budget", tomlReal(Value.m_RetryBudget)},
          {"request_timeout_ms", std::to_string(Value.m_RequestTimeoutMillis)}};
}

std::vector<DocumentField> fields(const EndpointSpec &Value, PoolKind Kind) {
  std::vector<DocumentField> Fields{
      {"name", tomlString(Value.m_Name)},
      {"address", tomlString(Value.m_Address)},
      {"failure_domain", tomlString(Value.m_FailureDomain)},
      {"accelerator", tomlString(Value.m_Accelerator)}};
  if (Kind == PoolKind::Engine) {
    Fields.push_back({"first_layer", std::to_string(Value.m_Layers.m_First)});
    Fields.push_back({"end_layer", std::to_string(Value.m_Layers.m_End)});
  }
  Fields.push_back({"slots", std::to_string(Value.m_Slots)});
  Fields.push_back({"token_micros", std::to_string(Value.m_TokenMicros)});
  return Fields;
}

std::vector<DocumentField> fields(const IdempotencyRule &Value) {
  return {{"pool", tomlString(Value.m_Pool)},
          {"method", tomlString(Value.m_Method)},
          {"path", tomlString(Value.m_Path)},
          {"idempotent", tomlFlag(Value.m_IsIdempotent)}};
}

std::vector<DocumentField> fields(const Link &Value) {
  return {{"from", tomlString(Value.m_From)},
          {"to", tomlString(Value.m_To)},
          {"one_way_micros", std::to_string(Value.m_OneWayMicros)}};
}

} // namespace parsleyring
