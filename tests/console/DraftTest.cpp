#include "console/Draft.h"

#include "console/Base64Url.h"
#include "document/DocumentDifference.h"
#include "document/DocumentWriter.h"
#include "support/SampleDocument.h"
#include "support/TestMain.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(Draft) {
  const Document m_Base = sampleDocument();

  /// The draft of an edit, encoded and decoded as in a form.
  Draft makeDraft(const std::function<void(Document &)> &Edit) const {
    Document Edited = m_Base;
    Edit(Edited);
    std::vector<Finding> Findings;
    auto Result =
        Draft::decode(Draft({7, "{}"}, m_Base, Edited).encode(), Findings);
    CHECK(Result.has_value());
    CHECK(documentDifference(Edited, Result->applyTo(m_Base)).empty());
    return *Result;
  }

  static std::string names(const std::vector<EntityId> &Ids) {
    std::string Text;
    for (const EntityId &Each : Ids)
      Text += toString(Each) + ";";
    return Text;
  }
};

// Guards against a draft that loses the edits of some kind of entity.
TEST(Draft, EveryKindOfEntity) {
  CHECK(makeDraft([](Document &) {}).isEmpty());
  Draft All = makeDraft([](Document &Edited) {
    Edited.m_Policy.m_Preference = Preference::Throughput;
    Edited.m_Pipelines[0].m_Name = "renamed";
    Edited.m_Pools[0].m_QueueLimit = 5;
    Edited.m_Pools[0].m_Endpoints[1].m_Slots = 99;
    Edited.m_Pools[0].m_Endpoints.erase(Edited.m_Pools[0].m_Endpoints.begin());
    Edited.m_Pools.erase(Edited.m_Pools.begin() + 1);
    Edited.m_Rules.clear();
    Edited.m_Links[0].m_OneWayMicros = 1;
    Edited.m_Accounts[0].m_KeySha256.push_back(sha256Hex("another"));
    Edited.m_Accounts.erase(Edited.m_Accounts.begin() + 2);
  });
  STRCMP_EQUAL("policy;pipeline ledger;pipeline renamed;pool engines;pool "
               "registry;endpoint engines/full-a;endpoint engines/full-b;"
               "endpoint registry/registry-a;rules;link fd-a to fd-b;account "
               "account-0;account account-2;",
               names(All.changedEntities()).c_str());
  LONGS_EQUAL(7, All.base().m_Version);
  // A new order of the rules is a change.
  makeDraft([](Document &Edited) {
    Edited.m_Rules.insert(Edited.m_Rules.begin(), {"registry", "*", "/", true});
  });
}

// Guards against another operator's changes that are overwritten, and against
// conflicts although the operators changed different entities.
TEST(Draft, Conflicts) {
  Draft Mine = makeDraft([](Document &Edited) {
    Edited.m_Pools[0].m_Endpoints[1].m_Slots = 99;
    Edited.m_Accounts[0].m_Share = 4;
    Edited.m_Accounts.push_back(Edited.m_Accounts[1]);
    Edited.m_Accounts.back().m_Name = "new";
  });
  Document Theirs = m_Base;
  Theirs.m_Pools[0].m_QueueLimit = 7;
  Theirs.m_Pools[0].m_Endpoints[0].m_Slots = 3;
  Theirs.m_Accounts[1].m_Share = 6;
  CHECK(Mine.conflicts(Theirs).empty());
  Document Both = Mine.rebased({8, ""}, Theirs).applyTo(Theirs);
  LONGS_EQUAL(7, Both.m_Pools[0].m_QueueLimit);
  LONGS_EQUAL(3, Both.m_Pools[0].m_Endpoints[0].m_Slots);
  LONGS_EQUAL(99, Both.m_Pools[0].m_Endpoints[1].m_Slots);
  LONGS_EQUAL(4, Both.m_Accounts.size());

  Theirs.m_Accounts.erase(Theirs.m_Accounts.begin());
  Theirs.m_Accounts.push_back(m_Base.m_Accounts[1]);
  Theirs.m_Accounts.back().m_Name = "new";
  Theirs.m_Accounts.back().m_Share = 8;
  STRCMP_EQUAL("account account-0;account new;",
               names(Mine.conflicts(Theirs)).c_str());
  Draft Rest = Mine.rebased({8, ""}, Theirs);
  STRCMP_EQUAL("endpoint engines/full-b;",
               names(Rest.changedEntities()).c_str());
  // The same change by both operators is no conflict.
  CHECK(Mine.conflicts(Mine.applyTo(m_Base)).empty());
}

// Guards against the removal of a pool that also removes an endpoint that
// another operator has added since.
TEST(Draft, RemovedPoolWithNewEndpoint) {
  Draft Mine = makeDraft([](Document &Edited) {
    Edited.m_Pools.erase(Edited.m_Pools.begin() + 1);
    Edited.m_Rules.clear();
  });
  Document Theirs = m_Base;
  EndpointSpec Added = Theirs.m_Pools[1].m_Endpoints[0];
  Added.m_Name = "registry-b";
  Theirs.m_Pools[1].m_Endpoints.push_back(Added);
  STRCMP_EQUAL("endpoint registry/registry-b;",
               names(Mine.conflicts(Theirs)).c_str());
  Document After = Mine.rebased({8, ""}, Theirs).applyTo(Theirs);
  LONGS_EQUAL(2, After.m_Pools.size());
  STRCMP_EQUAL("registry-b", After.m_Pools[1].m_Endpoints[0].m_Name.c_str());
}

// Guards against accepting drafts that were modified in the browser or come
// from another release.
TEST(Draft, DamagedDrafts) {
  const std::string Texts[] = {
      std::string(1000000, '['),
      "[]",
      "{}",
      "null",
      "{\"version\":-1,\"head\":\"\"}",
      "{\"version\":1,\"head\":\"\",\"changes\":{},\"set\":5}",
      "{\"version\":1,\"head\":\"\",\"changes\":[[\"shape\",\"\",\"\",\"\"]],"
      "\"set\":\"\"}",
      "{\"version\":1,\"head\":\"\",\"changes\":[[\"pool\"]],\"set\":\"\"}",
      "{\"version\":1,\"head\":\"\",\"changes\":[],\"set\":\"[\"}"};
  for (const std::string &Json : Texts) {
    std::vector<Finding> Findings;
    CHECK_FALSE(Draft::decode(encodeBase64Url(Json), Findings).has_value());
    LONGS_EQUAL(1, Findings.size());
    STRCMP_EQUAL("draft", Findings[0].m_Key.c_str());
  }
}

PARSLEYRING_TEST_MAIN
