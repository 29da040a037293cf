#include "PlatformSettings.h"

#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using nlohmann::json;

static json goodSettings() {
  return {{"node_name", "edge-a-1"},
          {"zone", "a"},
          {"ip", "10.0.0.1"},
          {"listen",
           {{"frontend", "10.0.0.1:1"},
            {"ready", "10.0.0.1:2"},
            {"control", "10.0.0.1:3"}}},
          {"internal_ports", {7340, 7355}},
          {"seeds", {"10.0.0.2:3"}},
          {"platform", {{"address", "10.0.0.9:9"}}},
          {"bounds",
           {{"grace_s", 8},
            {"config_apply_ms", 2000},
            {"retry_ratio", 0.2},
            {"retry_slack", 198},
            {"retry_window_s", 10}}},
          {"a_new_field", 1}};
}

TEST_GROUP(PlatformSettings) {
  std::vector<Finding> m_Findings;

  GatewaySettings read(const json &Settings) {
    return readPlatformSettings("f", Settings.dump(), m_Findings);
  }
};

// Guards against refusing settings that the platform writes.
TEST(PlatformSettings, ReadsPlatformSettings) {
  GatewaySettings Settings = read(goodSettings());
  LONGS_EQUAL(0, m_Findings.size());
  STRCMP_EQUAL("edge-a-1", Settings.m_VM.c_str());
  STRCMP_EQUAL("10.0.0.1:7340", Settings.m_DigestAddress.c_str());
  LONGS_EQUAL(8000000, Settings.m_ShutdownTimeout.count());
  DOUBLES_EQUAL(198, Settings.m_RetryBound.m_FixedRetries, 0);
}

// Guards against small VMs that do the work of large ones since their capacity
// is not read, and against settings without it that are refused.
TEST(PlatformSettings, ReadsTheCapacityOfTheVM) {
  json Settings = goodSettings();
  DOUBLES_EQUAL(0, read(Settings).m_Cores, 0);
  Settings["limits"] = {{"cpu_share", 0.25}, {"cores", 2}};
  DOUBLES_EQUAL(0.5, read(Settings).m_Cores, 0);
  LONGS_EQUAL(0, m_Findings.size());
  Settings["limits"]["cores"] = "2";
  read(Settings);
  LONGS_EQUAL(1, m_Findings.size());
}

// Guards against reporting only the first finding.
TEST(PlatformSettings, ReportsAllFindings) {
  json Settings = goodSettings();
  Settings.erase("node_name");
  Settings["listen"]["ready"] = "nowhere";
  Settings["bounds"]["grace_s"] = "8";
  Settings["internal_ports"] = {1};
  read(Settings);
  LONGS_EQUAL(4, m_Findings.size());
  STRCMP_EQUAL("listen.ready", m_Findings[1].m_Key.c_str());
}

// Guards against a crash on text that is not JSON.
TEST(PlatformSettings, RejectsTextThatIsNotJson) {
  readPlatformSettings("f", "{", m_Findings);
  LONGS_EQUAL(1, m_Findings.size());
}

PARSLEYRING_TEST_MAIN
