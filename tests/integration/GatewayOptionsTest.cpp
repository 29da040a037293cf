#include "support/ProcessRunner.h"
#include "support/TemporaryFile.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using nlohmann::json;

static constexpr int ExitUsage = 2;

TEST_GROUP(GatewayOptions) {
  TemporaryFile m_Settings{json({{"node_name", "edge-a-1"},
                                 {"zone", "a"},
                                 {"ip", "127.0.0.1"},
                                 {"listen",
                                  {{"frontend", "127.0.0.1:1"},
                                   {"ready", "127.0.0.1:2"},
                                   {"control", "127.0.0.1:3"}}},
                                 {"internal_ports", {4, 5}},
                                 {"seeds", json::array()},
                                 {"platform", {{"address", "127.0.0.1:6"}}},
                                 {"bounds",
                                  {{"grace_s", 8},
                                   {"config_apply_ms", 2000},
                                   {"retry_ratio", 0.2},
                                   {"retry_slack", 200},
                                   {"retry_window_s", 10}}}})
                               .dump()};

  void checkExit(int Expected, const std::string &Option) {
    ProcessRunner Process("parsleyring-gateway",
                          {"--settings", m_Settings.path(), "--check", Option});
    auto Code = Process.waitForExit();
    CHECK(Code.has_value());
    LONGS_EQUAL_TEXT(Expected, *Code, Option.c_str());
  }
};

// Guards against refusing the ends of the ranges that the documentation states.
TEST(GatewayOptions, AcceptsTheEndsOfTheRanges) {
  for (const char *Option :
       {"--request-memory-share=0.05", "--request-memory-share=0.9",
        "--receive-timeout-ms=1000", "--receive-timeout-ms=3600000",
        "--send-stall-timeout-ms=1000", "--send-stall-timeout-ms=3600000",
        "--max-caller-connections=1", "--max-caller-connections=65535"})
    checkExit(0, Option);
}

// Guards against a start without an effective limit, since a value is out of
// range or no number.
TEST(GatewayOptions, RejectsValuesOutsideTheRanges) {
  for (const char *Option :
       {"--request-memory-share=0.049", "--request-memory-share=0.91",
        "--request-memory-share=nan", "--request-memory-share=x",
        "--receive-timeout-ms=999", "--receive-timeout-ms=3600001",
        "--receive-timeout-ms=-1", "--receive-timeout-ms=1500.5",
        "--send-stall-timeout-ms=999", "--send-stall-timeout-ms=3600001",
        "--send-stall-timeout-ms=x", "--max-caller-connections=0",
        "--max-caller-connections=65536", "--max-caller-connections=-1"})
    checkExit(ExitUsage, Option);
}

PARSLEYRING_TEST_MAIN
