#include "audit/AuditRecord.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::json;

static const Json *find(const Json &Object, const char *Field) {
  auto Found = Object.find(Field);
  return Found == Object.end() ? nullptr : &*Found;
}

std::optional<AuditRecord> AuditRecord::fromLine(const std::string &Line) {
  Json Parsed = Json::parse(Line, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  const Json *Sequence = find(Parsed, "seq");
  const Json *At = find(Parsed, "at_us");
  const Json *Incarnation = find(Parsed, "incarnation");
  if (!Sequence || !Sequence->is_number_unsigned() || !At ||
      !At->is_number_integer() || !Incarnation ||
      !Incarnation->is_number_unsigned())
    return std::nullopt;
  AuditRecord Result;
  Result.m_Fields = std::make_shared<Json>(std::move(Parsed));
  auto Kind = auditKindFromName(Result.text("kind"));
  Result.m_Writer.m_VM = Result.text("vm");
  if (!Kind || Result.m_Writer.m_VM.empty())
    return std::nullopt;
  Result.m_Kind = *Kind;
  Result.m_Sequence = Result.m_Fields->at("seq").get<std::uint64_t>();
  Result.m_At = Time(Duration(Result.number("at_us")));
  Result.m_Writer.m_Number =
      Result.m_Fields->at("incarnation").get<std::uint64_t>();
  Result.m_Request = Result.text("request");
  return Result;
}

std::string AuditRecord::text(const char *Field) const {
  const Json *Found = find(*m_Fields, Field);
  return Found && Found->is_string() ? Found->get<std::string>()
                                     : std::string();
}

std::int64_t AuditRecord::number(const char *Field) const {
  const Json *Found = find(*m_Fields, Field);
  return Found && Found->is_number() ? Found->get<std::int64_t>() : 0;
}

bool AuditRecord::flag(const char *Field) const {
  const Json *Found = find(*m_Fields, Field);
  return Found && Found->is_boolean() && Found->get<bool>();
}

bool AuditRecord::has(const char *Field) const {
  return find(*m_Fields, Field) != nullptr;
}

} // namespace parsleyring
