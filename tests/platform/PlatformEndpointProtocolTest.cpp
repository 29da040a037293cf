#include "PlatformEndpointProtocol.h"

#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using nlohmann::json;

static const char *const Report =
    R"({"stage":"colocated","busy":false,"sequence":2,"queued":1,"pace":1.5,)"
    R"("stalled":[{"id":"a","address":"1.2.3.4:5"}],"handles":0})";

TEST_GROUP(PlatformEndpointProtocol) {
  PlatformEndpointProtocol m_Protocol;
  std::string m_Finding;

  EngineReport read(const std::string &Body) {
    m_Finding.clear();
    return m_Protocol.parseReport(Body, m_Finding);
  }
};

// Guards against a sound report that is not read, or gives a finding.
TEST(PlatformEndpointProtocol, ReadsReport) {
  EngineReport Read = read(Report);
  STRCMP_EQUAL("", m_Finding.c_str());
  DOUBLES_EQUAL(1.5, Read.m_Pace.value(), 0);
  LONGS_EQUAL(1, Read.m_Stalled.size());
  STRCMP_EQUAL("a", Read.m_Stalled[0].m_RequestId.c_str());
  STRCMP_EQUAL("1.2.3.4:5", Read.m_Stalled[0].m_Address.c_str());
  Read = read("{}");
  STRCMP_EQUAL("", m_Finding.c_str());
  CHECK(!Read.m_Pace);
  LONGS_EQUAL(0, Read.m_Stalled.size());
}

// Guards against a spoiled part of a report that ends the process, or that
// hides the parts which are valid.
TEST(PlatformEndpointProtocol, SpoiledPartsOfReportsAreLeftOut) {
  const char *const Sound = R"({"id":"b","address":"1.2.3.4:6"})";
  for (const char *Spoiled :
       {R"({"id":null,"address":null})", R"({"id":7,"address":"1.2.3.4:5"})",
        R"({"id":"a","address":["1.2.3.4:5"]})", R"({"id":"a"})", "{}", "null",
        "[]", "\"a\"", "1e999"}) {
    EngineReport Read = read(std::string(R"({"pace":1.5,"stalled":[)") +
                             Spoiled + "," + Sound + "]}");
    CHECK(!m_Finding.empty());
    if (std::string(Spoiled) == "1e999") // Not JSON at all.
      continue;
    DOUBLES_EQUAL(1.5, Read.m_Pace.value(), 0);
    LONGS_EQUAL(1, Read.m_Stalled.size());
    STRCMP_EQUAL("b", Read.m_Stalled[0].m_RequestId.c_str());
  }
  for (const char *Body : {"", "7", "[]", "null", "{\"pace\"", "\xff\xfe"}) {
    EngineReport Read = read(Body);
    CHECK(!m_Finding.empty());
    CHECK(!Read.m_Pace);
    LONGS_EQUAL(0, Read.m_Stalled.size());
  }
}

// Guards against a pace that cannot be told to other VMs: a negative one made
// them reject the whole digest.
TEST(PlatformEndpointProtocol, PacesOutOfRangeAreNotUsed) {
  for (const char *Pace : {"0", "-1", "-0.001", "1e300", "\"1\"", "true"}) {
    EngineReport Read = read(std::string(R"({"pace":)") + Pace + "}");
    CHECK(!Read.m_Pace);
    STRCMP_CONTAINS("pace", m_Finding.c_str());
  }
}

// Guards against any value of another type that ends the process.
TEST(PlatformEndpointProtocol, ReportsWithValuesOfAnyTypeAreRead) {
  const json Values[] = {nullptr,
                         true,
                         -1,
                         1e300,
                         "",
                         "a",
                         json::array(),
                         json::array({nullptr}),
                         json::object()};
  for (const char *Path : {"", "/pace", "/stalled", "/stalled/0",
                           "/stalled/0/id", "/stalled/0/address"})
    for (const json &Value : Values) {
      json Spoiled = json::parse(Report);
      Spoiled[json::json_pointer(Path)] = Value;
      EngineReport Read = read(Spoiled.dump());
      CHECK(Read.m_Stalled.size() <= 1);
    }
}

// Guards against a request whose id is not UTF-8 and that ends the process when
// its path is to be changed.
TEST(PlatformEndpointProtocol, OrdersMayNameAnyRequest) {
  auto Engine = std::make_shared<FleetEndpoint>();
  Engine->m_Entry.m_Address = "1.2.3.4:5";
  for (const char *Id : {"a", "\xff", "a\"b\\", "\xc3"}) {
    EndpointCall Call = m_Protocol.repathCall(Id, {{Engine, {0, 10}}});
    json Order = json::parse(Call.m_Body, nullptr, false);
    CHECK(Order.is_object());
    STRCMP_EQUAL("1.2.3.4:5=0-10", Order["path"].get<std::string>().c_str());
  }
}

PARSLEYRING_TEST_MAIN
