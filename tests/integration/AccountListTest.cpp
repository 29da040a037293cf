#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using nlohmann::json;

/// A configuration with the routes "/once/", which needs a key where there is a
/// list of accounts, and "/open/", which never does. Without a list if Accounts
/// is empty.
static json configuration(int Version, const std::optional<json> &Accounts) {
  json Root = json::parse(gatewayConfiguration(Version));
  json Open = Root["routes"][0];
  Open["name"] = "open";
  Open["prefix"] = "/open/";
  Open["anonymous"] = true;
  Root["routes"].push_back(Open);
  Root.erase("tenants");
  if (Accounts)
    Root["tenants"] = *Accounts;
  return Root;
}

static json account(const std::string &Name, const json &Keys) {
  return {{"name", Name}, {"api_keys", Keys}};
}

static const json NoAccounts = json::array();

TEST_GROUP(AccountList) {
  FakeMetadataStore m_Store;
  FakeEndpoint m_Endpoint{
      [](const ReceivedCall &) { return FakeEndpointAnswer(); }};
  std::unique_ptr<GatewayProcess> m_Gateway;
  int m_Requests = 0;
  int m_Version = 0;

  void setup() override {
    m_Store.put("servers/e1", serverEntry("plain", m_Endpoint.address()));
  }
  void teardown() override { m_Gateway.reset(); }
  void start() {
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
  }
  /// Waits for a text in the log that comes Times or more.
  bool logs(const std::string &Text, std::size_t Times = 1) const {
    return eventually([&] { return timesLogged(Text) >= Times; });
  }
  std::size_t timesLogged(const std::string &Text) const {
    std::string Output = m_Gateway->process().output();
    std::size_t Times = 0;
    for (std::size_t At = Output.find(Text); At != std::string::npos;
         At = Output.find(Text, At + 1))
      ++Times;
    return Times;
  }
  void write(const std::optional<json> &Accounts) {
    m_Store.put("op/config", configuration(++m_Version, Accounts).dump());
  }
  /// Returns when the configuration is in force.
  void apply(const std::optional<json> &Accounts) {
    write(Accounts);
    CHECK(logs("\"event\":\"configuration\",\"version\":" +
               std::to_string(m_Version) + ","));
  }
  HttpRequest makeRequest(const std::string &Path, const std::string &Key) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Deadline-Ms", "2500"}};
    if (!Key.empty())
      Request.m_Headers["Authorization"] = "Bearer " + Key;
    return Request;
  }
  /// Without a key if Key is empty.
  void checkServed(const std::string &Path, const std::string &Key,
                   const std::string &Account) {
    std::size_t CallsBefore = m_Endpoint.calls().size();
    HttpRequest Request = makeRequest(Path, Key);
    LONGS_EQUAL(200, sendHttp(m_Gateway->callerAddress(), Request).m_Status);
    LONGS_EQUAL(CallsBefore + 1, m_Endpoint.calls().size());
    STRCMP_EQUAL(Account.c_str(),
                 m_Endpoint.calls().back().header("Tenant").c_str());
  }
  void checkRefused(const std::string &Key) {
    std::size_t CallsBefore = m_Endpoint.calls().size();
    HttpAnswer Answer =
        sendHttp(m_Gateway->callerAddress(), makeRequest("/once/a", Key));
    LONGS_EQUAL_TEXT(401, Answer.m_Status, Key.c_str());
    STRCMP_EQUAL("Bearer", Answer.header("WWW-Authenticate").c_str());
    LONGS_EQUAL_TEXT(CallsBefore, m_Endpoint.calls().size(), Key.c_str());
  }
  /// No key is valid, and the open route is served.
  void checkAdmitsNobody() {
    checkRefused("key-1");
    checkRefused("key-2");
    checkRefused("key-that-never-was");
    checkRefused("");
    checkServed("/open/a", "", "");
    checkServed("/open/a", "key-that-never-was", "");
  }
};

// Guards against a withdrawal of the last account after which every request is
// let in, with a withdrawn key, an unknown one or none.
TEST(AccountList, WithdrawalOfTheLastAccountAdmitsNobody) {
  json First = account("first", {"key-1"});
  json Second = account("second", {"key-2"});
  write(json::array({First, Second}));
  start();
  httplib::Client Kept("http://" + m_Gateway->callerAddress());
  Kept.set_keep_alive(true);
  auto SendKept = [&] {
    HttpRequest Request = makeRequest("/once/a", "key-1");
    httplib::Headers Headers(Request.m_Headers.begin(),
                             Request.m_Headers.end());
    auto Answer = Kept.Post("/once/a", Headers, Request.m_Body, "text/plain");
    return Answer ? Answer->status : 0;
  };
  checkServed("/once/a", "key-1", "first");
  checkServed("/once/a", "key-2", "second");
  checkRefused("key-that-never-was");
  checkRefused("");
  LONGS_EQUAL(200, SendKept());
  apply(json::array({First}));
  checkServed("/once/a", "key-1", "first");
  checkRefused("key-2");
  apply(NoAccounts);
  checkAdmitsNobody();
  LONGS_EQUAL(401, SendKept());
  apply(NoAccounts);
  checkAdmitsNobody();
  // One account returns.
  apply(json::array({Second}));
  checkServed("/once/a", "key-2", "second");
  checkRefused("key-1");
  checkRefused("key-that-never-was");
  checkServed("/open/a", "", "");
}

// Guards against a process that starts under an empty list and lets everyone
// in, or that does not let the first account in which is added.
TEST(AccountList, StartWithAnEmptyListAdmitsNobody) {
  write(NoAccounts);
  start();
  checkAdmitsNobody();
  apply(json::array({account("first", {"key-1"})}));
  checkServed("/once/a", "key-1", "first");
  checkRefused("key-that-never-was");
}

// Guards against accounts of which none has a key and that are taken for no
// list of accounts.
TEST(AccountList, AccountsWithoutKeysAdmitNobody) {
  write(json::array({account("first", json::array()), {{"name", "second"}}}));
  start();
  checkAdmitsNobody();
}

// Guards against a list of accounts that cannot be read and that opens the
// routes: the list before it stays in force, and without one nothing runs.
TEST(AccountList, UnreadableListIsNotTaken) {
  for (const json &Unreadable :
       {json(nullptr), json::object(), json("key-1")}) {
    write(Unreadable);
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    const std::string Rejected = "\"event\":\"configuration-rejected\"";
    CHECK(logs(Rejected));
    std::size_t CallsBefore = m_Endpoint.calls().size();
    HttpRequest Request = makeRequest("/once/a", "key-1");
    LONGS_EQUAL(503, sendHttp(m_Gateway->callerAddress(), Request).m_Status);
    LONGS_EQUAL(CallsBefore, m_Endpoint.calls().size());
    apply(json::array({account("first", {"key-1"})}));
    write(Unreadable);
    CHECK(logs(Rejected, 2));
    checkServed("/once/a", "key-1", "first");
    checkRefused("key-that-never-was");
    checkRefused("");
    m_Gateway.reset();
  }
}

// Guards against a configuration without a list of accounts that asks for keys,
// and against a list that is added or removed without effect.
TEST(AccountList, WithoutAListNoKeyIsNeeded) {
  write(std::nullopt);
  start();
  checkServed("/once/a", "", "");
  checkServed("/once/a", "key-1", "");
  checkServed("/open/a", "", "");
  apply(json::array({account("first", {"key-1"})}));
  checkServed("/once/a", "key-1", "first");
  checkRefused("");
  apply(NoAccounts);
  checkAdmitsNobody();
  apply(std::nullopt);
  checkServed("/once/a", "", "");
  checkServed("/once/a", "key-that-never-was", "");
}

// Guards against a state that lets nobody in, perhaps by mistake, and that
// neither the log nor the metrics explain.
TEST(AccountList, LogAndMetricsTellWhoIsLetIn) {
  auto Metrics = [&] {
    return sendHttp(m_Gateway->metricsAddress(), {"GET", "/metrics"}).m_Body;
  };
  auto CheckShown = [&](const char *RequiresKey, const char *Accounts,
                        const char *Keys) {
    CHECK(logs(std::string("\"requires_key\":") + RequiresKey +
               ",\"accounts\":" + Accounts + ",\"keys\":" + Keys));
    std::string Text = Metrics();
    std::string Name = "\nparsleyring_configuration_";
    STRCMP_CONTAINS((Name + "requires_key " + RequiresKey + "\n").c_str(),
                    Text.c_str());
    STRCMP_CONTAINS((Name + "accounts " + Accounts + "\n").c_str(),
                    Text.c_str());
    STRCMP_CONTAINS((Name + "keys " + Keys + "\n").c_str(), Text.c_str());
  };
  const std::string NoKeysLine = "\"event\":\"configuration-without-keys\"";
  write(std::nullopt);
  start();
  CheckShown("0", "0", "0");
  apply(json::array(
      {account("first", {"key-1", "key-2"}), account("second", {"key-3"})}));
  CheckShown("1", "2", "3");
  LONGS_EQUAL(0, timesLogged(NoKeysLine));
  apply(json::array({account("first", json::array())}));
  CheckShown("1", "1", "0");
  CHECK(logs(NoKeysLine + ",\"version\":3,\"accounts\":1,\"keys\":0"));
  apply(NoAccounts);
  CheckShown("1", "0", "0");
  CHECK(logs(NoKeysLine + ",\"version\":4,\"accounts\":0,\"keys\":0"));
}

PARSLEYRING_TEST_MAIN
