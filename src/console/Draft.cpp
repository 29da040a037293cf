#include "console/Draft.h"

#include "console/Base64Url.h"
#include "document/DocumentReader.h"
#include "document/DocumentWriter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleyring {

using Json = nlohmann::json;

static EntityId pipelineId(const Pipeline &Each) {
  return {EntityKind::Pipeline, Each.m_Name, ""};
}
static EntityId poolId(const Pool &Each) {
  return {EntityKind::Pool, Each.m_Name, ""};
}
static EntityId linkId(const Link &Each) {
  return {EntityKind::Link, Each.m_From, Each.m_To};
}
static EntityId accountId(const ClientAccount &Each) {
  return {EntityKind::Account, Each.m_Name, ""};
}

/// Returns the entities whose ids are in Changes.
template <typename Entity, typename IdOf>
static std::vector<Entity>
selectChanged(const std::vector<Entity> &Entities, IdOf MakeId,
              const std::map<EntityId, std::string> &Changes) {
  std::vector<Entity> Changed;
  for (const Entity &Each : Entities)
    if (Changes.count(MakeId(Each)) > 0)
      Changed.push_back(Each);
  return Changed;
}

Draft::Draft(DraftBase NewBase, const Document &Base, const Document &Edited)
    : m_Base(std::move(NewBase)) {
  EntityMap Before = entitiesOf(Base);
  EntityMap After = entitiesOf(Edited);
  for (const auto &[Id, Content] : Before) {
    auto Found = After.find(Id);
    if (Found == After.end() || Found->second != Content)
      m_Changes[Id] = entityHash(Content);
  }
  for (const auto &[Id, Content] : After)
    if (Before.count(Id) == 0)
      m_Changes[Id] = "";

  m_NewValues.m_Policy = Edited.m_Policy;
  m_NewValues.m_Pipelines =
      selectChanged(Edited.m_Pipelines, pipelineId, m_Changes);
  m_NewValues.m_Links = selectChanged(Edited.m_Links, linkId, m_Changes);
  m_NewValues.m_Accounts =
      selectChanged(Edited.m_Accounts, accountId, m_Changes);
  if (isChanged({EntityKind::Rules, "", ""}))
    m_NewValues.m_Rules = Edited.m_Rules;
  for (const Pool &Owner : Edited.m_Pools) {
    Pool Changed = Owner;
    Changed.m_Endpoints = selectChanged(
        Owner.m_Endpoints,
        [&](const EndpointSpec &Each) {
          return EntityId{EntityKind::Endpoint, Owner.m_Name, Each.m_Name};
        },
        m_Changes);
    if (isChanged(poolId(Owner)) || !Changed.m_Endpoints.empty())
      m_NewValues.m_Pools.push_back(std::move(Changed));
  }
}

std::string Draft::encode() const {
  Json Changes = Json::array();
  for (const auto &[Id, Hash] : m_Changes)
    Changes.push_back({name(Id.m_Kind), Id.m_Name, Id.m_SecondName, Hash});
  return encodeBase64Url(Json{{"version", m_Base.m_Version},
                              {"head", m_Base.m_HeadJson},
                              {"changes", Changes},
                              {"set", DocumentWriter::write(m_NewValues)}}
                             .dump());
}

/// Throws nlohmann::json::exception.
static std::pair<EntityId, std::string> changeFromJson(const Json &Change) {
  EntityId Id{EntityKind::Policy, Change.at(1), Change.at(2)};
  auto Kind = entityKindFromName(Change.at(0).get<std::string>());
  // A draft of a newer release can have kinds that this release does not know.
  Id.m_Kind =
      Kind ? *Kind : throw Json::other_error::create(501, "kind", nullptr);
  return {Id, Change.at(3)};
}

std::optional<Draft> Draft::decode(const std::string &Text,
                                   std::vector<Finding> &Findings) {
  auto Refuse = [&](const std::string &Message) {
    Findings.push_back({"", 0, "draft", Message});
    return std::nullopt;
  };
  // Scripts that store a draft in a file append a line end.
  std::size_t End = Text.find_last_not_of("\r\n");
  std::optional<std::string> Decoded = decodeBase64Url(
      std::string_view(Text).substr(0, End == std::string::npos ? 0 : End + 1));
  Json Root = Decoded ? Json::parse(*Decoded, nullptr, false) : Json();
  if (!Root.is_object())
    return Refuse("is damaged: it is not the draft of a form of this console");
  Draft Result;
  std::string NewValues;
  try {
    Result.m_Base = {Root.at("version"), Root.at("head")};
    for (const Json &Change : Root.at("changes"))
      Result.m_Changes.insert(changeFromJson(Change));
    NewValues = Root.at("set");
  } catch (const Json::exception &Error) {
    return Refuse(std::string("is damaged: ") + Error.what());
  }
  std::vector<Finding> ReadFindings;
  DocumentReader Reader;
  Reader.add("draft", NewValues, ReadFindings);
  if (!ReadFindings.empty())
    return Refuse("is damaged: " + toString(ReadFindings.front()));
  Result.m_NewValues = Reader.takeDocument();
  return Result;
}

std::vector<EntityId> Draft::changedEntities() const {
  std::vector<EntityId> Ids;
  for (const auto &Change : m_Changes)
    Ids.push_back(Change.first);
  return Ids;
}

template <typename Entity, typename IdOf>
void Draft::applyToEntities(const std::vector<Entity> &NewValues, IdOf MakeId,
                            std::vector<Entity> &Entities) const {
  std::map<EntityId, const Entity *> Pending;
  for (const Entity &Each : NewValues)
    if (isChanged(MakeId(Each)))
      Pending[MakeId(Each)] = &Each;
  std::vector<Entity> Result;
  Result.reserve(Entities.size() + Pending.size());
  for (Entity &Each : Entities) {
    EntityId Id = MakeId(Each);
    if (!isChanged(Id)) {
      Result.push_back(std::move(Each));
      continue;
    }
    auto Found = Pending.find(Id);
    if (Found == Pending.end())
      continue;
    Result.push_back(*Found->second);
    Pending.erase(Found);
  }
  for (const Entity &Each : NewValues)
    if (Pending.count(MakeId(Each)) > 0)
      Result.push_back(Each);
  Entities = std::move(Result);
}

void Draft::applyToPools(std::vector<Pool> &Pools) const {
  // Endpoints are separate entities: a pool whose own fields change keeps its
  // current endpoints.
  std::map<std::string, std::vector<EndpointSpec>> Endpoints;
  for (Pool &Each : Pools)
    Endpoints[Each.m_Name] = std::move(Each.m_Endpoints);
  applyToEntities(m_NewValues.m_Pools, poolId, Pools);
  std::map<std::string, const Pool *> NewValues;
  for (const Pool &Each : m_NewValues.m_Pools)
    NewValues[Each.m_Name] = &Each;
  static const std::vector<EndpointSpec> None;
  for (Pool &Owner : Pools) {
    Owner.m_Endpoints = std::move(Endpoints[Owner.m_Name]);
    auto Found = NewValues.find(Owner.m_Name);
    applyToEntities(
        Found == NewValues.end() ? None : Found->second->m_Endpoints,
        [&](const EndpointSpec &Each) {
          return EntityId{EntityKind::Endpoint, Owner.m_Name, Each.m_Name};
        },
        Owner.m_Endpoints);
  }
}

Document Draft::applyTo(const Document &Current) const {
  Document Result = Current;
  if (isChanged({EntityKind::Policy, "", ""}))
    Result.m_Policy = m_NewValues.m_Policy;
  if (isChanged({EntityKind::Rules, "", ""}))
    Result.m_Rules = m_NewValues.m_Rules;
  applyToEntities(m_NewValues.m_Pipelines, pipelineId, Result.m_Pipelines);
  applyToPools(Result.m_Pools);
  applyToEntities(m_NewValues.m_Links, linkId, Result.m_Links);
  applyToEntities(m_NewValues.m_Accounts, accountId, Result.m_Accounts);
  return Result;
}

std::vector<EntityId> Draft::conflicts(const Document &Current) const {
  EntityMap Before = entitiesOf(Current);
  EntityMap After = entitiesOf(applyTo(Current));
  std::vector<EntityId> Conflicts;
  for (const auto &[Id, Hash] : m_Changes) {
    auto Old = Before.find(Id);
    auto New = After.find(Id);
    bool IsPresent = Old != Before.end();
    bool MatchesDraft = IsPresent == (New != After.end()) &&
                        (!IsPresent || Old->second == New->second);
    if (!MatchesDraft && (IsPresent ? entityHash(Old->second) : "") != Hash)
      Conflicts.push_back(Id);
  }
  // Removing a pool also removes its endpoints, including those that another
  // operator has added since.
  for (const auto &Each : Before)
    if (After.count(Each.first) == 0 && !isChanged(Each.first))
      Conflicts.push_back(Each.first);
  return Conflicts;
}

Draft Draft::rebased(DraftBase NewBase, const Document &Current) const {
  Draft Reduced = *this;
  for (const EntityId &Id : conflicts(Current)) {
    Reduced.m_Changes.erase(Id);
    // Keeps the endpoint's pool: removing the pool would remove the endpoint.
    if (Id.m_Kind == EntityKind::Endpoint)
      Reduced.m_Changes.erase({EntityKind::Pool, Id.m_Name, ""});
  }
  return Draft(std::move(NewBase), Current, Reduced.applyTo(Current));
}

std::string Draft::toToml() const {
  std::string Text;
  for (const auto &Change : m_Changes)
    Text += "# " + toString(Change.first) + "\n";
  return Text + "\n" + DocumentWriter::write(m_NewValues);
}

} // namespace parsleyring
