#include "console/FindingLocation.h"

#include "document/DocumentFields.h"

#include <charconv>

namespace parsleyring {

namespace {
/// One part "name[index]" of a key.
struct KeyPart {
  std::string_view m_Array;
  std::size_t m_Index = 0;
};
} // namespace

/// Removes the first part from Key and returns it. Empty if Key does not start
/// with one.
static std::optional<KeyPart> takeKeyPart(std::string_view &Key) {
  std::size_t Open = Key.find('[');
  std::size_t Close = Key.find(']');
  if (Open == std::string_view::npos || Close == std::string_view::npos ||
      Key.find('.') < Open)
    return std::nullopt;
  KeyPart Result{Key.substr(0, Open)};
  std::from_chars(Key.data() + Open + 1, Key.data() + Close, Result.m_Index);
  Key.remove_prefix(Close + 1);
  if (!Key.empty() && Key.front() == '.')
    Key.remove_prefix(1);
  return Result;
}

static std::optional<EntityId> entityOf(const Document &Value,
                                        const KeyPart &First) {
  std::size_t At = First.m_Index;
  if (First.m_Array == "account" && At < Value.m_Accounts.size())
    return EntityId{EntityKind::Account, Value.m_Accounts[At].m_Name, ""};
  if (First.m_Array == "pipeline" && At < Value.m_Pipelines.size())
    return EntityId{EntityKind::Pipeline, Value.m_Pipelines[At].m_Name, ""};
  if (First.m_Array == "pool" && At < Value.m_Pools.size())
    return EntityId{EntityKind::Pool, Value.m_Pools[At].m_Name, ""};
  if (First.m_Array == "rule" && At < Value.m_Rules.size())
    return EntityId{EntityKind::Rules, "", ""};
  if (First.m_Array == "link" && At < Value.m_Links.size())
    return EntityId{EntityKind::Link, Value.m_Links[At].m_From,
                    Value.m_Links[At].m_To};
  return std::nullopt;
}

std::optional<FindingLocation> locateFinding(const Document &Value,
                                             const std::string &Key) {
  static constexpr std::string_view PolicyPrefix = "policy.";
  std::string_view Rest = Key;
  if (Rest.substr(0, PolicyPrefix.size()) == PolicyPrefix)
    return FindingLocation{{}, 0, Key.substr(PolicyPrefix.size())};
  std::optional<KeyPart> First = takeKeyPart(Rest);
  std::optional<EntityId> Entity =
      First ? entityOf(Value, *First) : std::nullopt;
  if (!Entity)
    return std::nullopt;
  FindingLocation Location{*Entity, First->m_Index, ""};
  if (std::optional<KeyPart> Second = takeKeyPart(Rest)) {
    const Pool &Owner = Value.m_Pools[First->m_Index];
    if (First->m_Array != "pool" || Second->m_Index >= Owner.m_Endpoints.size())
      return std::nullopt;
    Location.m_Entity = {EntityKind::Endpoint, Owner.m_Name,
                         Owner.m_Endpoints[Second->m_Index].m_Name};
    Location.m_Index = Second->m_Index;
  }
  Location.m_Field = std::string(Rest);
  return Location;
}

static std::vector<DocumentField> fieldsAt(const Document &Value,
                                           const FindingLocation &Location) {
  switch (Location.m_Entity.m_Kind) {
  case EntityKind::Policy:
    return fields(Value.m_Policy);
  case EntityKind::Account:
    return fields(Value.m_Accounts[Location.m_Index]);
  case EntityKind::Pipeline:
    return fields(Value.m_Pipelines[Location.m_Index]);
  case EntityKind::Pool:
    return fields(Value.m_Pools[Location.m_Index]);
  case EntityKind::Endpoint:
    for (const Pool &Owner : Value.m_Pools)
      if (Owner.m_Name == Location.m_Entity.m_Name)
        return fields(Owner.m_Endpoints[Location.m_Index], Owner.m_Kind);
    return {};
  case EntityKind::Rules:
    return fields(Value.m_Rules[Location.m_Index]);
  case EntityKind::Link:
    return fields(Value.m_Links[Location.m_Index]);
  }
  return {};
}

void writeFindingsWithValues(HtmlWriter &Out, const Document &Value,
                             const std::vector<Finding> &Findings) {
  Out << "<table class=\"findings\">\n<tr><th>entity</th><th>field</th>"
         "<th>value</th><th>finding</th></tr>\n";
  for (const Finding &Each : Findings) {
    std::optional<FindingLocation> Location = locateFinding(Value, Each.m_Key);
    Out << "<tr><td>";
    if (Location)
      Out << toString(Location->m_Entity) << " <button formaction=\""
          << editPath(Location->m_Entity) << "\">Edit</button>";
    Out << "</td><td>" << (Location ? Location->m_Field : Each.m_Key)
        << "</td><td>";
    if (Location)
      for (const DocumentField &Field : fieldsAt(Value, *Location))
        if (Field.m_Key == Location->m_Field)
          Out << Field.m_Value;
    Out << "</td><td class=\"finding\">" << Each.m_Message << "</td></tr>\n";
  }
  Out << "</table>\n";
}

static std::string encodeForQuery(const std::string &Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char Letter : Text) {
    auto Code = static_cast<unsigned char>(Letter);
    if (std::isalnum(Code)) {
      Encoded += Letter;
      continue;
    }
    Encoded += '%';
    Encoded += Digits[Code >> 4];
    Encoded += Digits[Code & 15];
  }
  return Encoded;
}

std::string editPath(const EntityId &Entity) {
  switch (Entity.m_Kind) {
  case EntityKind::Policy:
    return "/policy";
  case EntityKind::Rules:
    return "/rules";
  case EntityKind::Link:
    return "/links";
  case EntityKind::Endpoint:
    return "/pool?open=" + encodeForQuery(Entity.m_Name);
  default:
    return "/" + std::string(name(Entity.m_Kind)) +
           "?open=" + encodeForQuery(Entity.m_Name);
  }
}

} // namespace parsleyring
