#include "support/CrowdTrial.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(MixedCrowd) {
  CrowdTrial m_Trial;

  void setup() override { m_Trial.start(); }

  std::vector<CrowdPlan> allKinds() const {
    std::vector<CrowdPlan> Plans{m_Trial.stalledLargeChunks(50),
                                 m_Trial.stalledSmallChunks(10),
                                 m_Trial.announcedOversizedBody(10),
                                 m_Trial.endlessBody(10),
                                 m_Trial.endlessHead(10),
                                 m_Trial.endlessChunkLine(10),
                                 m_Trial.idleConnections(100),
                                 m_Trial.halfHeads(100),
                                 m_Trial.slowReaders(20)};
    for (CrowdPlan &Plan : Plans)
      Plan.m_Reconnects = true;
    return Plans;
  }
};

// Guards against faults that only occur when crowds of all kinds act at once.
TEST(MixedCrowd, AllKinds) { m_Trial.checkCrowd(allKinds()); }

// Guards against a planned stop that waits for the crowd until the process is
// killed.
TEST(MixedCrowd, StopsInTime) { m_Trial.checkStop(allKinds()); }

PARSLEYRING_TEST_MAIN
