#include "console/EntityId.h"

#include "core/NameTable.h"

namespace parsleyring {

static constexpr NameTable<EntityKind, 7> KindNames{
    {"policy", "pipeline", "pool", "endpoint", "rules", "link", "account"}};

std::string_view name(EntityKind Value) { return KindNames.name(Value); }

std::optional<EntityKind> entityKindFromName(std::string_view Name) {
  return KindNames.value(Name);
}

std::string toString(const EntityId &Value) {
  std::string Text(name(Value.m_Kind));
  if (!Value.m_Name.empty())
    Text += " " + Value.m_Name;
  if (Value.m_Kind == EntityKind::Endpoint)
    Text += "/" + Value.m_SecondName;
  if (Value.m_Kind == EntityKind::Link)
    Text += " to " + Value.m_SecondName;
  return Text;
}

} // namespace parsleyring
