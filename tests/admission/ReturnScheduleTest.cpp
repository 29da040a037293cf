#include "admission/ReturnSchedule.h"

#include "support/TestMain.h"

#include <map>

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

// Guards against callers that all come back when a rest ends, or are told a
// time at which the endpoint still rests, however long that is.
TEST(ReturnSchedule, CallersReturnSpreadAfterARest) {
  std::map<Duration, int> Callers;
  for (int Caller = 0; Caller < 500; ++Caller)
    ++Callers[m_Schedule.nextAfterRest(m_Now + 20s, m_Now)];
  CHECK(Callers.begin()->first == 20s);
  CHECK(Callers.rbegin()->first < 20s + ReturnSchedule::RestReturnTime);
  for (const auto &[Delay, Count] : Callers)
    LONGS_EQUAL(10, Count);
  // Another endpoint ends its rest earlier.
  CHECK(m_Schedule.nextAfterRest(m_Now + 2s, m_Now) == 2s);
  CHECK(m_Schedule.nextAfterRest(m_Now + 2s, m_Now) > 2s);
}

PARSLEYRING_TEST_MAIN
