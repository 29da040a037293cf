#ifndef PARSLEYRING_CONSOLE_ENTITYID_H
#define PARSLEYRING_CONSOLE_ENTITYID_H

#include "parsleyring/Types.h"

#include <tuple>

namespace parsleyring {

/// Units of the document that are edited and compared.
enum class EntityKind {
  Policy,
  Pipeline,
  Pool, ///< Its own fields, without its endpoints.
  Endpoint,
  Rules, ///< All of them: the first one that matches decides.
  Link,
  Account,
};

std::string_view name(EntityKind Value);
std::optional<EntityKind> entityKindFromName(std::string_view Name);

struct EntityId {
  EntityKind m_Kind = EntityKind::Policy;
  std::string m_Name;  ///< Of an endpoint: its pool. Of a link: from.
  std::string m_Inner; ///< Of an endpoint: its name. Of a link: to.

  bool operator<(const EntityId &Other) const {
    return std::tie(m_Kind, m_Name, m_Inner) <
           std::tie(Other.m_Kind, Other.m_Name, Other.m_Inner);
  }
};

/// For people, for example "endpoint engines/full-a".
std::string toString(const EntityId &Value);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ENTITYID_H
