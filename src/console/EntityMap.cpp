#include "console/EntityMap.h"

#include "document/DocumentFields.h"

namespace parsleyring {

/// Short hashes suffice to detect changes by operators: a collision gains an
/// attacker nothing.
static constexpr std::size_t HashDigits = 16;

static std::string content(const std::vector<DocumentField> &Fields) {
  std::string Text;
  for (const DocumentField &Field : Fields) {
    Text += Field.m_Key;
    Text += '=';
    Text += Field.m_Value;
    Text += '\n';
  }
  return Text;
}

EntityMap entitiesOf(const Document &Value) {
  EntityMap Entities;
  Entities[{EntityKind::Policy, "", ""}] = content(fields(Value.m_Policy));
  for (const Pipeline &Each : Value.m_Pipelines)
    Entities[{EntityKind::Pipeline, Each.m_Name, ""}] = content(fields(Each));
  for (const Pool &Owner : Value.m_Pools) {
    Entities[{EntityKind::Pool, Owner.m_Name, ""}] = content(fields(Owner));
    for (const EndpointSpec &Each : Owner.m_Endpoints)
      Entities[{EntityKind::Endpoint, Owner.m_Name, Each.m_Name}] =
          content(fields(Each, Owner.m_Kind));
  }
  std::string Rules;
  for (const IdempotencyRule &Each : Value.m_Rules)
    Rules += content(fields(Each));
  Entities[{EntityKind::Rules, "", ""}] = Rules;
  for (const Link &Each : Value.m_Links)
    Entities[{EntityKind::Link, Each.m_From, Each.m_To}] =
        content(fields(Each));
  for (const ClientAccount &Each : Value.m_Accounts)
    Entities[{EntityKind::Account, Each.m_Name, ""}] = content(fields(Each));
  return Entities;
}

std::string entityHash(const std::string &Content) {
  return sha256Hex(Content).substr(0, HashDigits);
}

} // namespace parsleyring
