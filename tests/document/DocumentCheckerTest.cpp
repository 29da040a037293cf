#include "document/DocumentChecker.h"

#include "document/CheckCommand.h"
#include "document/DocumentReader.h"
#include "support/Findings.h"
#include "support/SampleDocument.h"
#include "support/TemporaryFile.h"
#include "support/TestMain.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(DocumentChecker) {
  Document m_Document = sampleDocument();

  void expect(const char *Key, const char *Text) const {
    std::vector<Finding> Findings = DocumentChecker().check(m_Document);
    CHECK_TEXT(hasFinding(Findings, 0, Key, Text),
               describeFindings(Findings).c_str());
  }
  bool isValid() const { return DocumentChecker().check(m_Document).empty(); }
};

// Guards against accepting layer ranges that no route can combine.
TEST(DocumentChecker, LayerRangesMustCoverModel) {
  CHECK(isValid());
  Pool &Engines = m_Document.m_Pools[0];
  Engines.m_Endpoints.erase(Engines.m_Endpoints.begin(),
                            Engines.m_Endpoints.begin() + 2);
  CHECK(isValid()); // The two halves suffice, in either order.
  std::swap(Engines.m_Endpoints[0], Engines.m_Endpoints[1]);
  CHECK(isValid());
  m_Document.m_Pipelines.push_back({"small", 4, "engines", 16});
  CHECK(isValid()); // The lower half alone serves a model of 4 layers.
  m_Document.m_Pipelines.push_back({"other", 6, "engines", 16});
  expect("pipeline[2].layers", "cannot cover [0, 6)");
  m_Document.m_Pipelines.resize(1);
  Engines.m_Endpoints[0].m_Layers = {3, 8}; // Overlap.
  expect("pipeline[0].layers", "cannot cover [0, 8)");
  Engines.m_Endpoints[0].m_Layers = {5, 8}; // Gap.
  expect("pipeline[0].layers", "cannot cover [0, 8)");
  Engines.m_Endpoints[0].m_Layers = {8, 8};
  expect("pool[0].endpoint[0].end_layer", "above first_layer");
}

// Guards against references to missing pools or pools of the wrong kind.
TEST(DocumentChecker, PoolReferences) {
  m_Document.m_Pipelines[0].m_Pool = "registry";
  expect("pipeline[0].pool", "is a service pool");
  m_Document.m_Pipelines[0].m_Pool = "engine";
  expect("pipeline[0].pool", "pools: \"engines\" \"registry\"");
  m_Document.m_Rules[0].m_Pool = "engines";
  expect("rule[0].pool", "is an engine pool");
  m_Document.m_Rules[0].m_Pool = "none";
  expect("rule[0].pool", "no pool has the name");
  m_Document.m_Rules.push_back(m_Document.m_Rules[0]);
  expect("rule[1].path", "occurs already");
  m_Document.m_Rules[0].m_Method = "post";
  expect("rule[0].method", "upper-case");
  m_Document.m_Rules[0].m_Path = "fees";
  expect("rule[0].path", "begin with");
  m_Document.m_Pools[1].m_Endpoints.clear();
  expect("pool[1].endpoint", "one endpoint or more");
}

// Guards against entities with the same name and accounts with the same key.
TEST(DocumentChecker, Duplicates) {
  m_Document.m_Accounts[2].m_Name = "account-0";
  expect("account[2].name", "occurs already in account[0]");
  m_Document.m_Accounts[1].m_KeySha256 = m_Document.m_Accounts[0].m_KeySha256;
  expect("account[1].key_sha256", "occurs already in account[0]");
  m_Document.m_Pools[1].m_Endpoints[0].m_Name = "full-a";
  expect("pool[1].endpoint[0].name", "occurs already");
  m_Document.m_Pools[1].m_Name = "engines";
  expect("pool[1].name", "occurs already in pool[0]");
  m_Document.m_Links.push_back(m_Document.m_Links[0]);
  expect("link[1].to", "occurs already");
}

// Guards against values that cause a division by zero or admit no request.
TEST(DocumentChecker, Values) {
  ClientAccount &Account = m_Document.m_Accounts[0];
  Account.m_Share = 0;
  expect("account[0].share", "above 0");
  Account.m_RequestsPerSecond = std::numeric_limits<double>::infinity();
  expect("account[0].requests_per_second", "above 0");
  Account.m_MaxOutstanding = 0;
  expect("account[0].max_outstanding", "above 0");
  Account.m_KeySha256 = {std::string(64, 'A')};
  expect("account[0].key_sha256", "lower-case");
  Account.m_KeySha256.clear();
  expect("account[0].key_sha256", "one hash or more");
  m_Document.m_Pools[0].m_QueueLimit = 0;
  expect("pool[0].queue_limit", "above 0");
  m_Document.m_Pools[0].m_RetryBudget = -1;
  expect("pool[0].retry_budget", "from 0 to 1");
  m_Document.m_Pools[0].m_Endpoints[1].m_Address = "engine:80";
  expect("pool[0].endpoint[1].address", "IP:port");
  m_Document.m_Policy.m_RouteStrategy = "fastest";
  expect("policy.route_strategy", "allowed: \"round-robin\"");
  LONGS_EQUAL(0, DocumentChecker({"fastest"})
                     .check(sampleDocument())
                     .front()
                     .m_Key.compare("policy.route_strategy"));
}

// Guards against a wrong line for an entity in the second text, and against an
// unbounded list of findings.
TEST(DocumentChecker, FindingsHaveFileAndLine) {
  std::vector<Finding> Findings;
  DocumentReader Reader;
  std::string First = "[[account]]\nname = \"a\"\nkey_sha256 = \"" +
                      std::string(64, 'b') + "\"\n";
  std::string Second = "\n[[account]]\nname = \"a\"\nkey_sha256 = [\"" +
                       std::string(64, 'c') + "\"]\nshare = -1\n";
  Reader.add("one", First, Findings);
  Reader.add("two", Second, Findings);
  Reader.check(DocumentChecker(), Findings);
  STRCMP_EQUAL("two:3: account[0].name: \"a\" occurs already in account[0]; "
               "each is allowed once\n"
               "two:5: account[0].share: must be above 0\n",
               describeFindings(Findings).c_str());
  m_Document.m_Accounts.assign(1000, ClientAccount());
  Findings = DocumentChecker().check(m_Document);
  LONGS_EQUAL(DocumentChecker::MaxFindings + 1, Findings.size());
}

// Guards against schema findings that hide semantic ones, and against reporting
// one problem twice.
TEST(DocumentChecker, CheckCommandReportsSchemaAndSemantics) {
  TemporaryFile File("[policy]\npreference = \"speed\"\n"
                     "[[pool]]\nname = \"p\"\nkind = \"service\"\ncolour = 1\n"
                     "[[pool.endpoint]]\nname = \"e\"\nfailure_domain = \"f\"\n"
                     "[[rule]]\npool = \"q\"\nmethod = \"*\"\npath = \"/\"\n");
  std::vector<Finding> Findings = CheckCommand::checkDocument(File.path());
  CHECK(hasFinding(Findings, 2, "policy.preference", "\"recovery\""));
  CHECK(hasFinding(Findings, 6, "pool[0].colour", "unknown; allowed"));
  CHECK(hasFinding(Findings, 7, "pool[0].endpoint[0].address", "required"));
  CHECK(hasFinding(Findings, 11, "rule[0].pool", "no pool"));
  LONGS_EQUAL_TEXT(4, Findings.size(), describeFindings(Findings).c_str());
}

PARSLEYRING_TEST_MAIN
