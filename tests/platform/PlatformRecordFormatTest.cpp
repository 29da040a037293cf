#include "PlatformEndpointProtocol.h"
#include "PlatformStoreProtocol.h"

#include "gateway/HttpConnection.h"
#include "support/GatewayTestServers.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using nlohmann::json;

TEST_GROUP(PlatformRecordFormat) {
  PlatformRecordFormat m_Records;
  PlatformEndpointProtocol m_Endpoints;
  PlatformStoreProtocol m_Store;
  std::string m_Finding;
};

// Guards against a configuration in which a path matches the wrong route prefix
// or a key belongs to the wrong account.
TEST(PlatformRecordFormat, ParsesConfiguration) {
  auto Table = m_Records.parseConfiguration(gatewayConfiguration(7), m_Finding);
  CHECK(Table != nullptr);
  LONGS_EQUAL(7, Table->m_Version);
  STRCMP_EQUAL("once", Table->find("host", "/once/x/y")->m_Name.c_str());
  CHECK(!Table->find("host", "/oncex/y"));
  CHECK(!Table->find("other", "/once/x"));
  CHECK(Table->find("host", "/stream/")->isRepeatable());
  STRCMP_EQUAL("account", Table->m_AccountsByKey.at("key-1").m_Name.c_str());
  CHECK(Table->service("model")->isLayered());
  CHECK(!Table->service("plain")->isLayered());
}

// Guards against an empty list of accounts, or one without keys, that is taken
// for the absence of a list, which leaves all routes open.
TEST(PlatformRecordFormat, EmptyAccountListRequiresKeys) {
  auto RequiresKey = [&](const json &Accounts, bool IsAnonymous) {
    json Root = json::parse(gatewayConfiguration(7));
    Root["routes"][0]["anonymous"] = IsAnonymous;
    Root.erase("tenants");
    if (!Accounts.is_null())
      Root["tenants"] = Accounts;
    auto Table = m_Records.parseConfiguration(Root.dump(), m_Finding);
    return Table->requiresKey(*Table->find("host", "/once/a"));
  };
  const json Lists[] = {json::array(), json::parse(R"([{"name": "a"}])"),
                        json::parse(R"([{"name": "a", "api_keys": []}])"),
                        json::parse(R"([{"name": "a", "api_keys": ["k"]}])")};
  for (const json &Accounts : Lists) {
    CHECK(RequiresKey(Accounts, false));
    CHECK(!RequiresKey(Accounts, true));
  }
  const json NoList;
  CHECK(!RequiresKey(NoList, false));
  CHECK(!RequiresKey(NoList, true));
}

// Guards against a list of accounts that cannot be read and that is taken for
// the absence of a list.
TEST(PlatformRecordFormat, UnreadableAccountListIsRejected) {
  for (const char *Accounts :
       {"null", "{}", "7", "true", R"("account")", "[null]", "[7]", "[[]]",
        R"([{"api_keys": ["k"]}])", R"([{"name": "a", "api_keys": "k"}])",
        R"([{"name": "a", "api_keys": [null]}])"}) {
    json Root = json::parse(gatewayConfiguration(7));
    Root["tenants"] = json::parse(Accounts);
    m_Finding.clear();
    CHECK_TEXT(!m_Records.parseConfiguration(Root.dump(), m_Finding), Accounts);
    STRCMP_CONTAINS("tenants", m_Finding.c_str());
  }
}

// Guards against a partly read configuration that replaces a valid one.
TEST(PlatformRecordFormat, RejectsInvalidConfiguration) {
  CHECK(!m_Records.parseConfiguration("[]", m_Finding));
  m_Finding.clear();
  CHECK(!m_Records.parseConfiguration(
      R"({"version": 1, "routes": [{"name": "r"}]})", m_Finding));
  STRCMP_CONTAINS("routes[0]", m_Finding.c_str());
}

// Guards against forwarding to a server whose entry is malformed.
TEST(PlatformRecordFormat, RejectsInvalidEndpointEntries) {
  auto Good =
      m_Records.parseEndpoint("e", serverEntry("s", "1.2.3.4:5"), m_Finding);
  CHECK(Good.has_value());
  for (const char *Text :
       {"", "7", "{}", R"({"service":"s","address":5})",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
        R"("state":"asleep"})",
        "\xff\xfe"}) {
    m_Finding.clear();
    CHECK(!m_Records.parseEndpoint("e", Text, m_Finding));
    CHECK(!m_Finding.empty());
  }
}

// Guards against numbers that do not fit the type of their field: the result of
// the conversion differs between kinds of machines.
TEST(PlatformRecordFormat, NumbersOutOfRangeAreRejected) {
  const char *const Fields[] = {"/version",
                                "/routes/0/timeout_ms",
                                "/routes/0/latency_goal_ms",
                                "/routes/0/max_attempts",
                                "/services/1/engine/layers",
                                "/services/1/engine/loads_at_once",
                                "/limits/max_header_bytes",
                                "/limits/max_body_bytes",
                                "/limits/header_timeout_ms",
                                "/limits/idle_timeout_ms"};
  for (const char *Field : Fields)
    for (double Number : {-1.0, 1e16, 1e300, -1e300}) {
      json Root = json::parse(gatewayConfiguration(7));
      Root[json::json_pointer(Field)] = Number;
      m_Finding.clear();
      CHECK(!m_Records.parseConfiguration(Root.dump(), m_Finding));
      std::string Name =
          std::string(Field).substr(std::string(Field).rfind('/') + 1);
      STRCMP_CONTAINS(Name.c_str(), m_Finding.c_str());
    }
  for (double Priority : {-1.0, 1e300, -1e300}) {
    json Root = json::parse(gatewayConfiguration(7));
    Root["routes"][0]["priority"] = Priority;
    m_Finding.clear();
    auto Table = m_Records.parseConfiguration(Root.dump(), m_Finding);
    CHECK(Table != nullptr);
    int Read = Table->find("host", "/once/a")->m_Priority;
    CHECK((Priority < 0) == (Read < 0));
  }
}

// Guards against the entry of an endpoint with numbers that do not fit: such
// layers would be taken for others, which the endpoint does not hold.
TEST(PlatformRecordFormat, EntriesWithNumbersOutOfRange) {
  json Entry = json::parse(serverEntry("s", "1.2.3.4:5"));
  for (double Slots : {-1.0, 1e300}) {
    json Spoiled = Entry;
    Spoiled["slots"] = Slots;
    m_Finding.clear();
    CHECK(!m_Records.parseEndpoint("e", Spoiled.dump(), m_Finding));
    STRCMP_CONTAINS("slots", m_Finding.c_str());
  }
  m_Finding.clear();
  Entry["layers"]["target"] = (1ULL << 32) + 10;
  auto Read = m_Records.parseEndpoint("e", Entry.dump(), m_Finding);
  CHECK(Read.has_value());
  LONGS_EQUAL(0, Read->m_Layers.m_End);
}

// Guards against accepting store answers that are truncated or malformed.
TEST(PlatformRecordFormat, ParsesStoreAnswers) {
  auto Read = m_Store.parsePage(
      R"({"items":[{"key":"k","value":"AP8gdGU=","revision":5,"created":1,)"
      R"("lease_id":0}],"has_more":true,"at":9})");
  CHECK(Read.has_value());
  CHECK(Read->m_Items[0].m_Value == std::string("\0\xff te", 5));
  CHECK(Read->m_HasMore);
  LONGS_EQUAL(9, Read->m_Revision);
  auto Changes = m_Store.parseChanges(
      R"({"events":[{"key":"k","revision":6,"deleted":true}],"at":6})");
  CHECK(Changes->m_Items[0].m_IsDeleted);
  for (const char *Text :
       {"", "{}", R"({"items":[{"key":"k"}],"at":1})",
        R"({"items":[{"key":"k","revision":1,"value":"?"}],"at":1})"})
    CHECK(!m_Store.parsePage(Text));
}

// Guards against orders, paths and reports in a format that differs from the
// servers' one.
TEST(PlatformRecordFormat, EncodesPathsAndOrders) {
  auto Endpoint = std::make_shared<FleetEndpoint>();
  Endpoint->m_Entry.m_Address = "1.2.3.4:5";
  LayerPath Path{{Endpoint, {0, 20}}, {Endpoint, {20, 80}}};
  STRCMP_EQUAL("1.2.3.4:5=0-20,1.2.3.4:5=20-80",
               m_Endpoints.pathText(Path).c_str());
  STRCMP_CONTAINS("\"target\":31",
                  m_Endpoints.placeCall({20, 31}).m_Body.c_str());
  auto Report = m_Endpoints.parseReport(
      R"({"layers":{"from":1,"target":2,"version":1},"pace":3.5,)"
      R"("stalled":[{"id":"r","address":"a"}]})",
      m_Finding);
  STRCMP_EQUAL("", m_Finding.c_str());
  LONGS_EQUAL(1, Report.m_Stalled.size());
  DOUBLES_EQUAL(3.5, Report.m_Pace.value(), 0);
}

// Guards against a statement that is missed since the field's name is written
// in other letters' case, or the field comes several times, and against other
// values taken for it.
TEST(PlatformRecordFormat, ReadsWhetherAnEndpointIsLeaving) {
  auto Read = [&](const std::vector<const char *> &Values,
                  const char *Name = "Server-Leaving") {
    ResponseHead Head;
    Head.m_Status = 200;
    for (const char *Value : Values)
      Head.m_Fields.insert(Name, Value);
    return m_Endpoints.leavingStatement(Head);
  };
  CHECK(Read({}) == LeavingStatement::None);
  CHECK(Read({"1"}, "Server-Leave") == LeavingStatement::None);
  CHECK(Read({"1"}) == LeavingStatement::Leaving);
  CHECK(Read({"1"}, "server-LEAVING") == LeavingStatement::Leaving);
  CHECK(Read({" 1 "}) == LeavingStatement::Leaving);
  CHECK(Read({"0", "1"}) == LeavingStatement::Leaving);
  CHECK(Read({"1", "0"}) == LeavingStatement::Leaving);
  CHECK(Read({"0, 1"}) == LeavingStatement::Leaving);
  for (const char *Value : {"", "0", "2", "11", "1.0", "-1", "true", "1;x"})
    CHECK(Read({Value}) == LeavingStatement::Invalid);
}

PARSLEYRING_TEST_MAIN
