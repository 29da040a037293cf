#include "retries/RetryBudget.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(RetryBudget) {
  Time m_Now{1000s};

  int takeAll(RetryBudget & Budget) const {
    int Taken = 0;
    while (Taken < 1000 && Budget.tryTake(m_Now))
      ++Taken;
    return Taken;
  }
};

// Guards against a pool with few requests that cannot retry, and against a
// minimum rate that accumulates retries while nothing fails.
TEST(RetryBudget, MinimumRatePerSecond) {
  RetryBudget Budget(0.1);
  LONGS_EQUAL(3, takeAll(Budget));
  int Taken = 0;
  for (int Step = 0; Step < 100; ++Step) {
    m_Now += 100ms;
    Taken += takeAll(Budget);
  }
  CHECK(Taken >= 29 && Taken <= 30);
  m_Now += 1h;
  LONGS_EQUAL(3, takeAll(Budget));
}

// Guards against retries that multiply the load on a failing pool.
TEST(RetryBudget, RetriesPerRequest) {
  RetryBudget Budget(0.25);
  takeAll(Budget);
  for (int Request = 0; Request < 100; ++Request)
    Budget.noteRequest(m_Now);
  LONGS_EQUAL(25, takeAll(Budget));
  for (int Request = 0; Request < 10000; ++Request)
    Budget.noteRequest(m_Now);
  LONGS_EQUAL(50, takeAll(Budget));
}

PARSLEYRING_TEST_MAIN
