#include "routing/LeavingEndpointTable.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(LeavingEndpointTable) { LeavingEndpointTable m_Table; };

// Guards against new requests for a leaving process that still sends reports,
// and against sending no requests to the process that replaces it.
TEST(LeavingEndpointTable, HoldsForOneIncarnation) {
  CHECK_FALSE(m_Table.noteIncarnation("e", "one"));
  CHECK(m_Table.setLeaving("e", "one"));
  CHECK_FALSE(m_Table.setLeaving("e", "one"));
  CHECK_FALSE(m_Table.setLeaving("e", ""));
  CHECK_FALSE(m_Table.noteIncarnation("e", "one"));
  CHECK(m_Table.isLeaving("e"));
  CHECK(m_Table.noteIncarnation("e", "two"));
  CHECK_FALSE(m_Table.isLeaving("e"));
  CHECK(m_Table.noteIncarnation("e", "one"));
  CHECK(m_Table.isLeaving("e"));
}

// Guards against withholding requests from the new process of an endpoint
// because digests repeat an old notice.
TEST(LeavingEndpointTable, RepeatedNoticesHaveNoEffect) {
  m_Table.noteIncarnation("e", "one");
  m_Table.setLeaving("e", "one");
  m_Table.noteIncarnation("e", "two");
  CHECK_FALSE(m_Table.setLeaving("e", "one"));
  CHECK_FALSE(m_Table.isLeaving("e"));
  CHECK(m_Table.setLeaving("e", ""));
  CHECK(m_Table.isLeaving("e"));
}

// Guards against a leaving notice from the VM list that the first load report
// cancels.
TEST(LeavingEndpointTable, NoticeBeforeTheFirstReport) {
  CHECK(m_Table.setLeaving("e", ""));
  CHECK(m_Table.isLeaving("e"));
  m_Table.noteIncarnation("e", "one");
  CHECK(m_Table.isLeaving("e"));
  m_Table.noteIncarnation("e", "two");
  CHECK_FALSE(m_Table.isLeaving("e"));
}

// Guards against ignoring a peer's notice because this VM has not yet seen a
// report of that incarnation, and against a lasting effect of a late notice.
TEST(LeavingEndpointTable, NoticeForAnotherIncarnation) {
  m_Table.noteIncarnation("e", "one");
  CHECK(m_Table.setLeaving("e", "two"));
  CHECK(m_Table.isLeaving("e"));
  m_Table.noteIncarnation("e", "one");
  CHECK_FALSE(m_Table.isLeaving("e"));
}

PARSLEYRING_TEST_MAIN
