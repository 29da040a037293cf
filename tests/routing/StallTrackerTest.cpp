#include "routing/StallTracker.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(StallTracker) {
  StallTracker m_Tracker;
  Time m_Start{1000s};
};

// Guards against blaming endpoints whose routes stalled only because they also
// contained the faulty endpoint.
TEST(StallTracker, TheCommonEndpointIsBlamed) {
  STRCMP_EQUAL("", m_Tracker.noteStall(m_Start, {"y1", "x"}).c_str());
  STRCMP_EQUAL("", m_Tracker.noteStall(m_Start, {"y1", "x"}).c_str());
  STRCMP_EQUAL("x", m_Tracker.noteStall(m_Start, {"y2", "x"}).c_str());
  STRCMP_EQUAL("", m_Tracker.noteStall(m_Start, {"y1", "z"}).c_str());
  STRCMP_EQUAL("", m_Tracker.noteStall(m_Start, {"y1", "z"}).c_str());
}

// Guards against quarantine for a few stalls spread over a long time.
TEST(StallTracker, OldStallsDoNotCount) {
  m_Tracker.noteStall(m_Start, {"x"});
  m_Tracker.noteStall(m_Start + 6s, {"x"});
  STRCMP_EQUAL("", m_Tracker.noteStall(m_Start + 11s, {"x"}).c_str());
  STRCMP_EQUAL("x", m_Tracker.noteStall(m_Start + 16s, {"x"}).c_str());
}

PARSLEYRING_TEST_MAIN
