#include "load/LoadPlan.h"

#include "support/TestMain.h"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static LoadOptions options() {
  LoadOptions Options;
  Options.m_Routers = {"127.0.0.1:1", "127.0.0.1:2"};
  Options.m_Accounts = {{"large", 3}, {"small", 1}};
  Options.m_CallsPerSecond = 1000;
  Options.m_DurationSeconds = 20;
  Options.m_ServiceShare = 0.25;
  return Options;
}

TEST_GROUP(LoadPlan){};

// Guards against a load that differs from the requested one, which would make
// every benchmark figure relative to the throughput bound wrong.
TEST(LoadPlan, KeepsRateWeightsAndShares) {
  std::vector<PlannedCall> Calls = planCalls(options());
  double Large = 0, Services = 0, Tokens = 0;
  for (const PlannedCall &Call : Calls) {
    Large += Call.m_Account == 0;
    Services += Call.m_IsService;
    Tokens += Call.m_Tokens;
    CHECK(Call.m_DueAt < std::chrono::seconds(20));
  }
  auto Count = static_cast<double>(Calls.size());
  DOUBLES_EQUAL(20000, Count, 600);
  DOUBLES_EQUAL(0.75, Large / Count, 0.02);
  DOUBLES_EQUAL(0.25, Services / Count, 0.02);
  DOUBLES_EQUAL(24, Tokens / Count, 0.5);
}

// Guards against comparing routing strategies under different arrivals.
TEST(LoadPlan, SameSeedGivesSamePlan) {
  std::vector<PlannedCall> First = planCalls(options());
  std::vector<PlannedCall> Second = planCalls(options());
  CHECK(First.size() == Second.size());
  for (std::size_t Index = 0; Index < First.size(); ++Index) {
    CHECK(First[Index].m_DueAt == Second[Index].m_DueAt);
    CHECK(First[Index].m_Prompt == Second[Index].m_Prompt);
  }
}

// Guards against a plan that uses up the memory.
TEST(LoadPlan, RefusesTooManyCalls) {
  LoadOptions Options = options();
  Options.m_CallsPerSecond = 1e6;
  CHECK_THROWS(std::invalid_argument, planCalls(Options));
}

PARSLEYRING_TEST_MAIN
