#ifndef PARSLEYRING_CONSOLE_FINDINGLOCATION_H
#define PARSLEYRING_CONSOLE_FINDINGLOCATION_H

#include "parsleyring/Document.h"

#include "console/EntityId.h"
#include "console/HtmlWriter.h"

namespace parsleyring {

/// The entity and field that a finding's key, for example
/// "pool[2].endpoint[0].slots", refers to.
struct FindingLocation {
  EntityId m_Entity;
  /// Index in the document's list, or for an endpoint in its pool's list.
  std::size_t m_Index = 0;
  std::string m_Field; ///< Empty if the finding is about the whole entity.
};

/// Empty if the key names no entity of the document.
std::optional<FindingLocation> locateFinding(const Document &Value,
                                             const std::string &Key);

/// Writes a table of findings, each with its entity, field and current value.
void writeFindingsWithValues(HtmlWriter &Out, const Document &Value,
                             const std::vector<Finding> &Findings);

/// Path of the page that edits an entity.
std::string editPath(const EntityId &Entity);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_FINDINGLOCATION_H
