#include "document/DocumentDifference.h"

#include "document/DocumentFields.h"

#include <unordered_map>
#include <unordered_set>

namespace parsleyring {

using Lines = std::vector<std::string>;
using Fields = std::vector<DocumentField>;

/// Appends "LABEL: KEY OLD -> NEW" for each key that differs. A key that one
/// side lacks (layers, after a change of the pool's kind) has the value "none".
static void compareFields(const std::string &Label, const Fields &From,
                          const Fields &To, Lines &Result) {
  auto ValueOf = [](const Fields &Side, std::string_view Key) {
    for (const DocumentField &Field : Side)
      if (Field.m_Key == Key)
        return Field.m_Value;
    return std::string("none");
  };
  auto Compare = [&](std::string_view Key) {
    std::string Old = ValueOf(From, Key);
    std::string New = ValueOf(To, Key);
    if (Old != New)
      Result.push_back(Label + ": " + std::string(Key) + " " + Old + " -> " +
                       New);
  };
  for (const DocumentField &Field : From)
    Compare(Field.m_Key);
  for (const DocumentField &Field : To)
    if (ValueOf(From, Field.m_Key) == "none")
      Compare(Field.m_Key);
}

/// Matches the entities of both sides by label; CompareBoth is called for those
/// that exist on both sides.
template <typename Entity, typename Label, typename Compare>
static void compareEntities(const std::vector<Entity> &From,
                            const std::vector<Entity> &To, Label LabelOf,
                            Compare CompareBoth, Lines &Result) {
  std::unordered_map<std::string, const Entity *> New;
  New.reserve(To.size());
  for (const Entity &Each : To)
    New.emplace(LabelOf(Each), &Each);
  std::unordered_map<std::string, const Entity *> Old;
  Old.reserve(From.size());
  for (const Entity &Each : From) {
    std::string Text = LabelOf(Each);
    Old.emplace(Text, &Each);
    auto Found = New.find(Text);
    if (Found == New.end())
      Result.push_back(Text + ": removed");
    else
      CompareBoth(Text, Each, *Found->second);
  }
  for (const Entity &Each : To) {
    std::string Text = LabelOf(Each);
    if (Old.find(Text) == Old.end())
      Result.push_back(Text + ": added");
  }
}

template <typename Entity>
static void compareNamed(std::string_view Kind, const std::vector<Entity> &From,
                         const std::vector<Entity> &To, Lines &Result) {
  compareEntities(
      From, To,
      [&](const Entity &Each) {
        return std::string(Kind) + " " + tomlString(Each.m_Name);
      },
      [&](const std::string &Label, const Entity &Old, const Entity &New) {
        compareFields(Label, fields(Old), fields(New), Result);
      },
      Result);
}

static void comparePools(const Document &From, const Document &To,
                         Lines &Result) {
  compareNamed("pool", From.m_Pools, To.m_Pools, Result);
  static const Pool EmptyPool;
  auto EndpointLabel = [](const Pool &Owner) {
    return [&Owner](const EndpointSpec &Each) {
      return "pool " + tomlString(Owner.m_Name) + " endpoint " +
             tomlString(Each.m_Name);
    };
  };
  // The endpoints of a pool that is added or removed are listed as well.
  auto CompareEndpoints = [&](const Pool &Owner, const Pool &Old,
                              const Pool &New) {
    compareEntities(
        Old.m_Endpoints, New.m_Endpoints, EndpointLabel(Owner),
        [&](const std::string &Label, const EndpointSpec &Before,
            const EndpointSpec &After) {
          compareFields(Label, fields(Before, Old.m_Kind),
                        fields(After, New.m_Kind), Result);
        },
        Result);
  };
  auto FindPool = [](const std::vector<Pool> &Pools, const std::string &Name) {
    for (const Pool &Each : Pools)
      if (Each.m_Name == Name)
        return &Each;
    return &EmptyPool;
  };
  for (const Pool &Old : From.m_Pools)
    CompareEndpoints(Old, Old, *FindPool(To.m_Pools, Old.m_Name));
  for (const Pool &New : To.m_Pools)
    if (FindPool(From.m_Pools, New.m_Name) == &EmptyPool)
      CompareEndpoints(New, EmptyPool, New);
}

static std::string ruleLabel(const IdempotencyRule &Each) {
  return "rule " + Each.m_Pool + " " + Each.m_Method + " " + Each.m_Path;
}

/// Labels of the rules of Value that also occur in Other, in Value's order.
static Lines commonRuleLabels(const Document &Value, const Document &Other) {
  std::unordered_set<std::string> OtherLabels;
  for (const IdempotencyRule &Each : Other.m_Rules)
    OtherLabels.insert(ruleLabel(Each));
  Lines Labels;
  for (const IdempotencyRule &Each : Value.m_Rules)
    if (OtherLabels.count(ruleLabel(Each)) > 0)
      Labels.push_back(ruleLabel(Each));
  return Labels;
}

static void compareRules(const Document &From, const Document &To,
                         Lines &Result) {
  compareEntities(
      From.m_Rules, To.m_Rules, ruleLabel,
      [&](const std::string &Label, const IdempotencyRule &Old,
          const IdempotencyRule &New) {
        compareFields(Label, fields(Old), fields(New), Result);
      },
      Result);
  // The first matching rule decides, so a change of order is a change.
  if (commonRuleLabels(From, To) != commonRuleLabels(To, From))
    Result.push_back("rules: order changed");
}

static void compareLinks(const Document &From, const Document &To,
                         Lines &Result) {
  compareEntities(
      From.m_Links, To.m_Links,
      [](const Link &Each) {
        return "link " + tomlString(Each.m_From) + " to " +
               tomlString(Each.m_To);
      },
      [&](const std::string &Label, const Link &Old, const Link &New) {
        compareFields(Label, fields(Old), fields(New), Result);
      },
      Result);
}

std::vector<std::string> documentDifference(const Document &From,
                                            const Document &To) {
  Lines Result;
  compareFields("policy", fields(From.m_Policy), fields(To.m_Policy), Result);
  compareNamed("pipeline", From.m_Pipelines, To.m_Pipelines, Result);
  comparePools(From, To, Result);
  compareRules(From, To, Result);
  compareLinks(From, To, Result);
  compareNamed("account", From.m_Accounts, To.m_Accounts, Result);
  return Result;
}

} // namespace parsleyring
