#include "admission/RecentSet.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static const Time Start{std::chrono::hours(1)};

TEST_GROUP(RecentSet){};

// Guards against memory that grows with each request, and against a recent
// entry that is lost because of many others.
TEST(RecentSet, KeepsTheLastOnes) {
  RecentSet Set(10, 1min);
  for (int Number = 0; Number < 100; ++Number)
    Set.add(std::to_string(Number), Start);
  int Kept = 0;
  for (int Number = 0; Number < 100; ++Number)
    Kept += Set.contains(std::to_string(Number));
  CHECK(Kept <= 20);
  for (int Number = 90; Number < 100; ++Number)
    CHECK(Set.contains(std::to_string(Number)));
}

// Guards against entries that are kept for ever by a VM with few requests.
TEST(RecentSet, ForgetsOldOnes) {
  RecentSet Set(10, 1min);
  Set.add("old", Start);
  Set.add("a", Start + 50s);
  Set.add("b", Start + 90s);
  CHECK(Set.contains("old"));
  Set.add("c", Start + 180s);
  CHECK_FALSE(Set.contains("old"));
  CHECK(Set.contains("b"));
}

PARSLEYRING_TEST_MAIN
