#include "support/CrowdTrial.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(SlowReaders) {
  CrowdTrial m_Trial;

  void setup() override { m_Trial.start(); }
};

// Guards against responses that are kept whole for callers that do not read.
TEST(SlowReaders, LargeAnswers) {
  m_Trial.checkCrowd({m_Trial.slowReaders(80)});
}

PARSLEYRING_TEST_MAIN
