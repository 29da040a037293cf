#ifndef PARSLEYRING_AUDIT_AUDITRECORD_H
#define PARSLEYRING_AUDIT_AUDITRECORD_H

#include "parsleyring/Actions.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace parsleyring {

/// An audit record as it was read back.
struct AuditRecord {
  std::uint64_t m_Sequence = 0;
  Time m_At;
  Incarnation m_Writer;
  AuditKind m_Kind = AuditKind::Admission;
  std::string m_Request; ///< Request id; empty if not about one request.
  std::shared_ptr<const nlohmann::json> m_Fields; ///< The whole object.

  /// Empty if the line is not an audit record.
  static std::optional<AuditRecord> fromLine(const std::string &Line);

  // Fields of older or newer writers may be absent or of another type; such a
  // field reads as empty, 0 or false.
  std::string text(const char *Field) const;
  std::int64_t number(const char *Field) const;
  bool flag(const char *Field) const;
  bool has(const char *Field) const;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_AUDITRECORD_H
