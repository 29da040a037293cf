#include "support/CrowdTrial.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(ConnectionCrowd) {
  CrowdTrial m_Trial;

  void setup() override { m_Trial.start(); }
};

// Guards against idle connections that use up the descriptors.
TEST(ConnectionCrowd, Idle) {
  m_Trial.checkCrowd({m_Trial.idleConnections(400)});
}

// Guards against connections with an unfinished head that use up the
// descriptors.
TEST(ConnectionCrowd, HalfHeads) {
  CrowdPlan Plan = m_Trial.halfHeads(400);
  Plan.m_Reconnects = true;
  m_Trial.checkCrowd({Plan});
}

// Guards against connections to the listeners for the load balancer and for
// other VMs that use up the descriptors.
TEST(ConnectionCrowd, OtherListeners) {
  m_Trial.checkCrowd(m_Trial.idleAtOtherListeners(200));
}

PARSLEYRING_TEST_MAIN
