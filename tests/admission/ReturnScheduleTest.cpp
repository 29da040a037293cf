#include "admission/ReturnSchedule.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(ReturnSchedule) {
  ReturnSchedule m_Schedule;
  Time m_Now{1000s};
};

// Guards against refused callers that all come back at the same time, to be
// refused again.
TEST(ReturnSchedule, CallersReturnOneAfterTheOther) {
  CHECK(m_Schedule.next(200ms, 4, m_Now) == 200ms);
  CHECK(m_Schedule.next(200ms, 4, m_Now) == 450ms);
  CHECK(m_Schedule.next(100ms, 4, m_Now + 100ms) == 600ms);
  CHECK(m_Schedule.next(100ms, 4, m_Now + 10s) == 100ms);
}

// Guards against callers that are sent away for minutes, or at a rate of zero
// for ever.
TEST(ReturnSchedule, DelayIsBounded) {
  for (int Caller = 0; Caller < 100; ++Caller)
    CHECK(m_Schedule.next(0ms, 0.01, m_Now) <= ReturnSchedule::MaxDelay);
  CHECK(m_Schedule.next(1h, 0, m_Now) == ReturnSchedule::MaxDelay);
}

PARSLEYRING_TEST_MAIN
