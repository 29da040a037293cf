#ifndef PARSLEYRING_CONSOLE_ENTITYMAP_H
#define PARSLEYRING_CONSOLE_ENTITYMAP_H

#include "parsleyring/Document.h"

#include "console/EntityId.h"

#include <map>

namespace parsleyring {

/// The entities of a document with their fields as text. Two texts are equal if
/// and only if the entities are equal.
using EntityMap = std::map<EntityId, std::string>;

EntityMap entitiesOf(const Document &Value);

/// Short hash of an entity's content.
std::string entityHash(const std::string &Content);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ENTITYMAP_H
