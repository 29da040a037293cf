#include "load/LatencyHistogram.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(LatencyHistogram){};

// Guards against buckets that overlap or leave gaps between octaves: the
// percentile that falls on a value exceeds it by at most 1/64.
TEST(LatencyHistogram, SingleValuesKeepTheirPrecision) {
  for (std::uint64_t Value = 1; Value < 10000000; Value += 1 + Value / 7) {
    LatencyHistogram Times;
    Times.add(Value);
    Times.add(Value * 4);
    std::uint64_t Found = Times.percentile(0.5);
    CHECK(Found >= Value);
    CHECK(Found <= Value + Value / 64);
  }
}

// Guards against a percentile that is off by one rank, and a maximum that is
// rounded up to the upper bound of its bucket.
TEST(LatencyHistogram, PercentilesAreRanks) {
  LatencyHistogram Times;
  LONGS_EQUAL(0, Times.percentile(0.95));
  for (std::uint64_t Value = 1; Value <= 100; ++Value)
    Times.add(Value);
  LONGS_EQUAL(50, Times.percentile(0.5));
  LONGS_EQUAL(95, Times.percentile(0.95));
  LONGS_EQUAL(100, Times.percentile(1));
  Times.add(1000001);
  LONGS_EQUAL(1000001, Times.percentile(1));
}

PARSLEYRING_TEST_MAIN
