#include "support/CrowdTrial.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(StalledBodies) {
  CrowdTrial m_Trial;

  void setup() override { m_Trial.start(); }
};

// Guards against unfinished bodies that together exceed the memory of the
// process.
TEST(StalledBodies, LargeChunks) {
  m_Trial.checkCrowd({m_Trial.stalledLargeChunks(90)});
}

// Guards against unfinished bodies of one-byte chunks that together exceed the
// memory of the process.
TEST(StalledBodies, ChunksOfOneByte) {
  m_Trial.checkCrowd({m_Trial.stalledSmallChunks(90)});
}

PARSLEYRING_TEST_MAIN
