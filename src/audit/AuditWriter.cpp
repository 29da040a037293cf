#include "audit/AuditWriter.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <stdexcept>

namespace parsleyring {

static std::string jsonText(std::string_view Text) {
  return nlohmann::json(Text).dump();
}

AuditWriter::AuditWriter(const Incarnation &Self, std::ostream &Output)
    : m_Self(Self),
      m_SelfJson(",\"vm\":" + jsonText(Self.m_VM) +
                 ",\"incarnation\":" + std::to_string(Self.m_Number)),
      m_Output(Output) {}

void AuditWriter::write(const WriteAudit &Record, std::string_view Module) {
  const std::string &Fields = Record.m_FieldsJson;
  // Checks only the outer form: parsing each record would cost more than
  // writing it. A line break would split the record.
  if (Fields.size() < 2 || Fields.front() != '{' || Fields.back() != '}' ||
      Fields.find('\n') != std::string::npos)
    throw std::invalid_argument("an audit record is not a JSON object: " +
                                Fields);
  std::string Line =
      ",\"at_us\":" + std::to_string(Record.m_At.time_since_epoch().count()) +
      m_SelfJson + ",\"kind\":" + jsonText(name(Record.m_Kind));
  if (Record.m_Request != 0)
    Line += ",\"request\":" + jsonText(requestId(m_Self, Record.m_Request));
  if (!Module.empty())
    Line += ",\"module\":" + jsonText(Module);
  if (Fields.size() > 2)
    Line += "," + Fields.substr(1);
  else
    Line += "}";
  Line += '\n';
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Output << "{\"seq\":" << ++m_Sequence << Line;
  // Events of the Router are too frequent to flush each; the next decision
  // flushes them.
  if (Record.m_Kind != AuditKind::CoreEvent)
    m_Output.flush();
  if (m_Output)
    return;
  ++m_WriteFailures;
  m_Output.clear();
}

std::uint64_t AuditWriter::writeFailures() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_WriteFailures;
}

} // namespace parsleyring
