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

// Guards against VMs whose memory or descriptors run out since their limits are
// not read, and against settings without them that are refused.
TEST(PlatformSettings, ReadsTheMemoryAndDescriptorsOfTheVM) {
  json Settings = goodSettings();
  Settings["limits"] = {{"cpu_share", 0.25}, {"cores", 1}};
  LONGS_EQUAL(0, read(Settings).m_MemoryBytes);
  LONGS_EQUAL(0, read(Settings).m_MaxDescriptors);
  Settings["limits"]["memory_mb"] = 112;
  LONGS_EQUAL(112 << 20, read(Settings).m_MemoryBytes);
  LONGS_EQUAL(0, read(Settings).m_MaxDescriptors);
  Settings["limits"]["memory_mb"] = 260.0;
  Settings["limits"]["max_fds"] = 4200;
  LONGS_EQUAL(260 << 20, read(Settings).m_MemoryBytes);
  LONGS_EQUAL(4200, read(Settings).m_MaxDescriptors);
  LONGS_EQUAL(0, m_Findings.size());
}

// Guards against a process without a limit, or with one that no conversion
// defines, since a value is wrong.
TEST(PlatformSettings, RejectsWrongMemoryAndDescriptors) {
  for (const char *Name : {"memory_mb", "max_fds"})
    for (const json &Wrong :
         {json(0), json(-1), json(0.5), json(1e300), json("112"), json(true),
          json(json::array({112}))}) {
      json Settings = goodSettings();
      Settings["limits"] = {{"cpu_share", 0.25}, {"cores", 1}};
      Settings["limits"][Name] = Wrong;
      m_Findings.clear();
      read(Settings);
      LONGS_EQUAL(1, m_Findings.size());
      STRCMP_EQUAL(("limits." + std::string(Name)).c_str(),
                   m_Findings[0].m_Key.c_str());
    }
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
