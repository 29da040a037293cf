#ifndef PARSLEYRING_DOCUMENT_DOCUMENTFIELDS_H
#define PARSLEYRING_DOCUMENT_DOCUMENTFIELDS_H

#include "parsleyring/Document.h"

namespace parsleyring {

/// One key of an entity and its value as canonical TOML.
struct DocumentField {
  std::string_view m_Key;
  std::string m_Value;
};

/// The keys of an entity in canonical order, without nested tables. Writer
/// and difference share them, so neither can miss a key of the other.
std::vector<DocumentField> fields(const Policy &Value);
std::vector<DocumentField> fields(const ClientAccount &Value);
std::vector<DocumentField> fields(const Pipeline &Value);
std::vector<DocumentField> fields(const Pool &Value);
std::vector<DocumentField> fields(const EndpointSpec &Value, PoolKind Kind);
std::vector<DocumentField> fields(const IdempotencyRule &Value);
std::vector<DocumentField> fields(const Link &Value);

/// Text as a TOML basic string with quotes.
std::string tomlString(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_DOCUMENTFIELDS_H
