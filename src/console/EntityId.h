#ifndef PARSLEYRING_CONSOLE_ENTITYID_H
#define PARSLEYRING_CONSOLE_ENTITYID_H

#include "parsleyring/Types.h"

#include <tuple>

namespace parsleyring {

/// Kinds of the parts of a document that are edited and compared separately.
enum class EntityKind {
  Policy,
  Pipeline,
  Pool, ///< The pool's own fields, without its endpoints.
  Endpoint,
  Rules, ///< All rules as one entity: their order matters.
  Link,
  Account,
};

std::string_view name(EntityKind Value);
std::optional<EntityKind> entityKindFromName(std::string_view Name);

struct EntityId {
  EntityKind m_Kind = EntityKind::Policy;
  std::string m_Name;       ///< Endpoint: name of its pool. Link: "from".
  std::string m_SecondName; ///< Endpoint: its name. Link: "to".

  bool operator<(const EntityId &Other) const {
    return std::tie(m_Kind, m_Name, m_SecondName) <
           std::tie(Other.m_Kind, Other.m_Name, Other.m_SecondName);
  }
};

/// Text for messages, for example "endpoint engines/full-a".
std::string toString(const EntityId &Value);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ENTITYID_H
