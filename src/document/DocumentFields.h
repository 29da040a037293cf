#ifndef PARSLEYRING_DOCUMENT_DOCUMENTFIELDS_H
#define PARSLEYRING_DOCUMENT_DOCUMENTFIELDS_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// One key of an entity and its value as canonical TOML.
struct DocumentField {
  std::string_view m_Key;
  std::string m_Value;
};

/// The keys of an entity in canonical order, without nested tables. Used by
/// both DocumentWriter and documentDifference(), so that they cover the same
/// keys.
std::vector<DocumentField> fields(const Policy &Value);
std::vector<DocumentField> fields(const ClientAccount &Value);
std::vector<DocumentField> fields(const Pipeline &Value);
std::vector<DocumentField> fields(const Pool &Value);
std::vector<DocumentField> fields(const EndpointSpec &Value, PoolKind Kind);
std::vector<DocumentField> fields(const IdempotencyRule &Value);
std::vector<DocumentField> fields(const Link &Value);

/// Returns Text as a quoted TOML basic string.
std::string tomlString(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTFIELDS_H
