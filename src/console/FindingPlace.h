#ifndef PARSLEYRING_CONSOLE_FINDINGPLACE_H
#define PARSLEYRING_CONSOLE_FINDINGPLACE_H

#include "parsleyring/Document.h"

#include "console/EntityId.h"
#include "console/HtmlWriter.h"

namespace parsleyring {

/// What a key like "pool[2].endpoint[0].slots" of a finding is about.
struct FindingPlace {
  EntityId m_Entity;
  /// Index in its list; for an endpoint in the list of its pool.
  std::size_t m_Index = 0;
  std::string m_Field; ///< Empty: the entity itself.
};

/// Empty if the key names no entity of the document.
std::optional<FindingPlace> placeOfFinding(const Document &Value,
                                           const std::string &Key);

/// A table of findings of a document, each with the entity, the field and the
/// value that it is about.
void writeFindingsBesideValues(HtmlWriter &Out, const Document &Value,
                               const std::vector<Finding> &Findings);

/// Path of the page that edits an entity.
std::string editPath(const EntityId &Entity);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_FINDINGPLACE_H
