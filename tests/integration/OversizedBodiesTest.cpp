#include "support/CrowdTrial.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(OversizedBodies) {
  CrowdTrial m_Trial;

  void setup() override { m_Trial.start(); }
};

// Guards against memory that is reserved for an announced length.
TEST(OversizedBodies, Announced) {
  m_Trial.checkCrowd({m_Trial.announcedOversizedBody(90)});
}

// Guards against bodies that are kept up to the limit before they are refused.
TEST(OversizedBodies, SentWithoutEnd) {
  CrowdPlan Plan = m_Trial.endlessBody(90);
  Plan.m_Reconnects = true;
  m_Trial.checkCrowd({Plan});
}

// Guards against heads that are collected without a limit.
TEST(OversizedBodies, HeadsWithoutEnd) {
  m_Trial.checkCrowd({m_Trial.endlessHead(90)});
}

// Guards against chunk lines that are collected for as long as they are sent.
TEST(OversizedBodies, ChunkLinesWithoutEnd) {
  m_Trial.checkCrowd({m_Trial.endlessChunkLine(600)});
}

PARSLEYRING_TEST_MAIN
