#include "routing/LoadEstimate.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(LoadEstimate) {
  LoadEstimate m_Load;
  Time m_Start{1000s};
};

// Guards against counting requests twice or not at all when this VM started or
// ended requests after the time of the report.
TEST(LoadEstimate, LaggingReportIsCorrected) {
  m_Load.noteStarted(m_Start, 0us);         // Included in the report.
  m_Load.noteStarted(m_Start + 200ms, 0us); // After the report.
  m_Load.noteStarted(m_Start + 300ms, 0us);
  m_Load.noteEnded(m_Start + 400ms, 0us);
  m_Load.noteReport(m_Start + 500ms, m_Start + 100ms, 5);
  DOUBLES_EQUAL(6, m_Load.requests(m_Start + 500ms), 0);
  DOUBLES_EQUAL(1, m_Load.ownAtReport(), 0);
  DOUBLES_EQUAL(4, m_Load.othersAtReport(m_Start + 500ms), 0);
  m_Load.noteEnded(m_Start + 600ms, 0us);
  DOUBLES_EQUAL(5, m_Load.requests(m_Start + 600ms), 0);
}

// Guards against errors on slow links: a request sent before the report that
// arrived later is not in the report, and a request whose end this VM saw after
// the report can have ended before it.
TEST(LoadEstimate, LinkDelayShiftsTheReportTime) {
  m_Load.noteStarted(m_Start, 10ms);
  m_Load.noteStarted(m_Start + 95ms, 10ms);
  m_Load.noteEnded(m_Start + 105ms, 10ms);
  m_Load.noteReport(m_Start + 120ms, m_Start + 100ms, 0);
  DOUBLES_EQUAL(1, m_Load.requests(m_Start + 120ms), 0);
}

// Guards against a late report from a peer that replaces a newer one, against
// trusting an old report forever, and against a reporter's clock that is ahead.
TEST(LoadEstimate, OldAndFutureReports) {
  m_Load.noteStarted(m_Start - 1s, 0us);
  m_Load.noteReport(m_Start, m_Start, 4);
  m_Load.noteReport(m_Start, m_Start - 500ms, 9);
  DOUBLES_EQUAL(4, m_Load.requests(m_Start), 0);
  DOUBLES_EQUAL(1, m_Load.requests(m_Start + 11s), 0);
  m_Load.noteReport(m_Start + 12s, m_Start + 1h, 6);
  m_Load.noteStarted(m_Start + 13s, 0us);
  DOUBLES_EQUAL(7, m_Load.requests(m_Start + 13s), 0);
}

// Guards against an estimate below the number of this VM's own requests.
TEST(LoadEstimate, OwnRequestsAreTheLowerBound) {
  for (int Count = 0; Count < 3; ++Count)
    m_Load.noteStarted(m_Start, 0us);
  m_Load.noteReport(m_Start + 1s, m_Start + 1s, 0);
  DOUBLES_EQUAL(3, m_Load.requests(m_Start + 1s), 0);
  LONGS_EQUAL(3, m_Load.outstanding());
}

// Guards against sending to an endpoint right after it refused a request.
TEST(LoadEstimate, RefusalHoldsForAShortTime) {
  m_Load.noteRefused(m_Start);
  CHECK(m_Load.isRefusing(m_Start + 99ms));
  CHECK_FALSE(m_Load.isRefusing(m_Start + 100ms));
}

PARSLEYRING_TEST_MAIN
