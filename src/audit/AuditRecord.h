#ifndef PARSLEYRING_AUDIT_AUDITRECORD_H
#define PARSLEYRING_AUDIT_AUDITRECORD_H

#include "parsleyring/Actions.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace parsleyring {

/// A parsed audit record.
struct AuditRecord {
  std::uint64_t m_Sequence = 0;
  Time m_At;
  Incarnation m_Writer;
  AuditKind m_Kind = AuditKind::Admission;
  std::string m_Request; ///< Request id; empty if about no single request.
  std::shared_ptr<const nlohmann::json> m_Fields; ///< The whole JSON object.

  /// Returns nullopt if the line is not an audit record.
  static std::optional<AuditRecord> fromLine(const std::string &Line);

  // Records of other versions may lack a field or have another type for it; the
  // functions then return an empty string, 0 or false.
  std::string text(const char *Field) const;
  std::int64_t number(const char *Field) const;
  bool flag(const char *Field) const;
  bool has(const char *Field) const;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_AUDITRECORD_H
