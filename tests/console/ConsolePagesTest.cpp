#include "console/AccountPages.h"
#include "console/RolloutPoll.h"
#include "support/ConsoleBrowser.h"
#include "support/SampleDocument.h"
#include "support/ScriptedServer.h"
#include "support/TestConsole.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(ConsolePages) {
  FakePlatform m_Platform;
  Settings m_Settings = testConsoleSettings();
  std::unique_ptr<TestConsole> m_Server;
  std::unique_ptr<ConsoleBrowser> m_Ann;

  void setup() override { m_Settings.m_Routers = {{"vm-1", "127.0.0.1:1"}}; }

  void start(unsigned Accounts = 3) {
    m_Server = std::make_unique<TestConsole>(m_Settings, m_Platform);
    m_Server->publish(sampleDocument(Accounts), 0, "setup");
    m_Ann = std::make_unique<ConsoleBrowser>(m_Server->port());
    m_Ann->signIn("ann", "ann-password");
  }

  Document published() {
    m_Ann->submit("/publish");
    CHECK_TEXT(m_Ann->pageContains("id=\"version\">2<"), m_Ann->page().c_str());
    return *m_Server->load().m_Configuration->m_Document;
  }
};

// Guards against accounts that the search misses or that no list page shows.
TEST(ConsolePages, AccountListSearchAndPaging) {
  start(AccountPages::RowsPerPage + 5);
  m_Ann->get("/accounts");
  CHECK(m_Ann->pageContains("1 to 50 of 55 accounts"));
  m_Ann->submit("/accounts", {{"from", "50"}});
  CHECK(m_Ann->pageContains("51 to 55 of 55 accounts"));
  CHECK(m_Ann->pageContains("href=\"/account?open=account%2D9\""));
  m_Ann->submit("/accounts", {{"search", "nt-54"}});
  CHECK(m_Ann->pageContains("1 to 1 of 1 account\n"));
  m_Ann->get("/accounts?search=" + sha256Hex("key-7").substr(0, 12));
  CHECK(m_Ann->pageContains("open=account%2D7"));
  m_Ann->get("/accounts?search=nothing&from=99999999999999999999999");
  CHECK(m_Ann->pageContains("0 to 0 of 0 accounts"));
}

// Guards against a later edit that discards the earlier edits of the draft.
TEST(ConsolePages, DraftCollectsSeveralEdits) {
  start();
  m_Ann->get("/account?open=account-0");
  m_Ann->submit("/account/delete");
  m_Ann->submit("/account?open=account-1");
  m_Ann->submit("/account/save", {{"account.name", "renamed"}});
  m_Ann->submit("/policy");
  m_Ann->submit("/policy/save", {{"policy.preference", "throughput"}});
  CHECK(m_Ann->pageContains("account &quot;renamed&quot;: added"));
  CHECK(m_Ann->pageContains("Review draft (4 changes)"));
  Document After = published();
  LONGS_EQUAL(2, After.m_Accounts.size());
  CHECK(After.m_Policy.m_Preference == Preference::Throughput);
}

// Guards against an account that replaces another one because it was given the
// same name.
TEST(ConsolePages, DuplicateNameIsRejected) {
  start();
  m_Ann->get("/account?open=account-0");
  m_Ann->submit("/account/save", {{"account.name", "account-1"}});
  LONGS_EQUAL(422, m_Ann->status());
  CHECK(m_Ann->pageContains("occurs already"));
  m_Ann->get("/account");
  m_Ann->submit("/account/save", {{"account.name", "account-1"}});
  LONGS_EQUAL(422, m_Ann->status());
  m_Ann->get("/account?open=nobody");
  LONGS_EQUAL(400, m_Ann->status());
}

// Guards against endpoints of a pool that are lost, swapped or not removable.
TEST(ConsolePages, EditPoolWithEndpoints) {
  start();
  m_Ann->get("/pools");
  CHECK(m_Ann->pageContains("href=\"/pool?open=engines\""));
  m_Ann->get("/pool?open=engines");
  m_Ann->submit("/pool/save", {{"pool.queue_limit", "9"},
                               {"endpoint.0.remove", "on"},
                               {"endpoint.1.slots", "3"},
                               {"endpoint.4.name", "full-d"},
                               {"endpoint.4.address", "bad"},
                               {"endpoint.4.failure_domain", "fd-d"},
                               {"endpoint.4.end_layer", "8"}});
  CHECK(m_Ann->pageContains("endpoint engines/full-d"));
  CHECK(m_Ann->pageContains("<td>address</td><td>&quot;bad&quot;</td>"));
  m_Ann->submit("/pool?open=engines");
  CHECK(m_Ann->pageContains(
      "value=\"bad\"> <span class=\"finding\">must be IP:port"));
  m_Ann->submit("/pool/save", {{"endpoint.3.address", "127.0.0.1:7009"}});
  Document After = published();
  LONGS_EQUAL(9, After.m_Pools[0].m_QueueLimit);
  LONGS_EQUAL(4, After.m_Pools[0].m_Endpoints.size());
  STRCMP_EQUAL("full-b", After.m_Pools[0].m_Endpoints[0].m_Name.c_str());
  LONGS_EQUAL(3, After.m_Pools[0].m_Endpoints[0].m_Slots);
  LONGS_EQUAL(8, After.m_Pools[0].m_Endpoints[3].m_Layers.m_End);
}

// Guards against losing the order of rules: the first matching rule applies.
TEST(ConsolePages, EditRulesAndLinks) {
  start();
  m_Ann->get("/rules");
  m_Ann->submit("/rules/save", {{"rule.1.pool", "registry"},
                                {"rule.1.method", "*"},
                                {"rule.1.path", "/fees/list"},
                                {"rule.1.idempotent", "true"},
                                {"rule.1.position", "0.5"}});
  m_Ann->submit("/links");
  m_Ann->submit("/links/save", {{"link.0.position", "x"}});
  CHECK(m_Ann->pageContains("must be a number"));
  m_Ann->submit("/links/save", {{"link.0.position", "1"},
                                {"link.1.from", "fd-b"},
                                {"link.1.to", "fd-a"},
                                {"link.1.one_way_micros", "700"}});
  Document After = published();
  STRCMP_EQUAL("/fees/list", After.m_Rules[0].m_Path.c_str());
  CHECK(After.m_Rules[0].m_IsIdempotent);
  LONGS_EQUAL(2, After.m_Rules.size());
  LONGS_EQUAL(700, After.m_Links[1].m_OneWayMicros);
}

// Guards against a merging import that removes or changes entities that the
// text does not contain.
TEST(ConsolePages, MergeImport) {
  start();
  m_Ann->get("/import");
  std::string Account = "[[account]]\nname = \"account-1\"\nkey_sha256 = \"" +
                        sha256Hex("other") + "\"\nshare = 3\n";
  m_Ann->submit("/import/review",
                {{"mode", "merge"}, {"text", Account + Account}});
  LONGS_EQUAL(422, m_Ann->status());
  CHECK(m_Ann->pageContains("occurs more than once in the text"));
  m_Ann->submit("/import/review", {{"mode", "merge"}, {"text", Account}});
  Document After = published();
  LONGS_EQUAL(3, After.m_Accounts.size());
  CHECK(After.accountByKeyHash(sha256Hex("other"))->m_Share == 3);
}

// Guards against a rollout that is shown as complete although routers are
// behind or do not respond.
TEST(ConsolePages, Rollout) {
  // Stands for a router whose metrics lack the gauge: the metrics of a console
  // have the version under another name.
  TestConsole Other(m_Settings, m_Platform);
  m_Settings.m_Routers.push_back(
      {"vm-2", "127.0.0.1:" + std::to_string(Other.port())});
  start();
  m_Ann->get("/rollout");
  CHECK(m_Ann->pageContains("0 of 2 routers"));
  CHECK(m_Ann->pageContains("no answer"));
  CHECK(m_Ann->pageContains("no configuration version"));
  CHECK(versionInMetrics("a 1\nparsleyring_configuration_version 12\nb 1\n") ==
        std::optional<ConfigurationVersion>(12));
  CHECK(versionInMetrics("parsleyring_configuration_version 1e+06\n") ==
        std::optional<ConfigurationVersion>(1000000));
  CHECK_FALSE(
      versionInMetrics("# parsleyring_configuration_version 2\n").has_value());
  CHECK_FALSE(
      versionInMetrics("parsleyring_configuration_version NaN\n").has_value());
}

// Guards against a rollout page with a wrong time for a router's version.
TEST(ConsolePages, RouterVersionInForceSince) {
  std::string Metrics = "parsleyring_configuration_version 3\n"
                        "parsleyring_configuration_age_seconds 7200\n";
  ScriptedServer Router(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Metrics.size()) +
          "\r\n\r\n" + Metrics,
      ScriptedServer::End::Close);
  RouterVersion Polled =
      pollRouterVersions({{"vm-1", Router.address()}}).front();
  LONGS_EQUAL(3, Polled.m_Version);
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  std::int64_t Age =
      std::chrono::duration_cast<std::chrono::seconds>(Now).count() -
      Polled.m_InForceSinceMillis / 1000;
  CHECK(Age >= 7199 && Age < 7300);
}

// Guards against a version that is read from metrics of which a part is
// missing, since the router has reset the connection.
TEST(ConsolePages, MetricsEndedByAResetAreNotUsed) {
  ScriptedServer Router(
      "HTTP/1.1 200 OK\r\n\r\nparsleyring_configuration_version 3\n",
      {ScriptedServer::End::Reset, std::chrono::milliseconds(20), 0, 0});
  RouterVersion Polled =
      pollRouterVersions({{"vm-1", Router.address()}}).front();
  LONGS_EQUAL(0, Polled.m_Version);
  STRCMP_EQUAL("no answer", Polled.m_Problem.c_str());
}

// Guards against pages that other sites can frame or that can run scripts, and
// against health and metrics pages that need a session.
TEST(ConsolePages, HeadersAndStatusPages) {
  start();
  STRCMP_EQUAL("default-src 'none'; style-src 'self'; form-action 'self'; "
               "base-uri 'none'; frame-ancestors 'none'",
               m_Ann->header("Content-Security-Policy").c_str());
  CHECK(m_Ann->header("Set-Cookie").find("; HttpOnly; SameSite=Strict") !=
        std::string::npos);
  ConsoleBrowser Nobody(m_Server->port());
  STRCMP_EQUAL("alive\n", Nobody.get("/healthz").c_str());
  CHECK(Nobody.get("/metrics").find("parsleyring_console_sign_ins_total 1") !=
        std::string::npos);
  for (const char *Path : {"/", "/document.toml", "/rollout", "/none"}) {
    Nobody.get(Path);
    LONGS_EQUAL(303, Nobody.status());
  }
  m_Ann->get("/none");
  LONGS_EQUAL(404, m_Ann->status());
  m_Ann->get("/publish");
  LONGS_EQUAL(405, m_Ann->status());
  m_Ann->get("/");
  m_Ann->submit("/sign-out");
  m_Ann->get("/");
  LONGS_EQUAL(303, m_Ann->status());
}

PARSLEYRING_TEST_MAIN
