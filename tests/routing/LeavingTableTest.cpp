#include "routing/LeavingTable.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(LeavingTable) { LeavingTable m_Table; };

// Guards against a leaving process that gets new work when its reports go on,
// and against its successor that gets none.
TEST(LeavingTable, HoldsForOneIncarnation) {
  CHECK_FALSE(m_Table.noteIncarnation("e", "one"));
  CHECK(m_Table.mark("e", "one"));
  CHECK_FALSE(m_Table.mark("e", "one"));
  CHECK_FALSE(m_Table.mark("e", ""));
  CHECK_FALSE(m_Table.noteIncarnation("e", "one"));
  CHECK(m_Table.isLeaving("e"));
  CHECK(m_Table.noteIncarnation("e", "two"));
  CHECK_FALSE(m_Table.isLeaving("e"));
  CHECK(m_Table.noteIncarnation("e", "one"));
  CHECK(m_Table.isLeaving("e"));
}

// Guards against digests that repeat an old sign and so keep the successor of
// the endpoint without work.
TEST(LeavingTable, RepeatedSignsHaveNoEffect) {
  m_Table.noteIncarnation("e", "one");
  m_Table.mark("e", "one");
  m_Table.noteIncarnation("e", "two");
  CHECK_FALSE(m_Table.mark("e", "one"));
  CHECK_FALSE(m_Table.isLeaving("e"));
  CHECK(m_Table.mark("e", ""));
  CHECK(m_Table.isLeaving("e"));
}

// Guards against a sign of the VM list that the first load report cancels.
TEST(LeavingTable, SignBeforeTheFirstReport) {
  CHECK(m_Table.mark("e", ""));
  CHECK(m_Table.isLeaving("e"));
  m_Table.noteIncarnation("e", "one");
  CHECK(m_Table.isLeaving("e"));
  m_Table.noteIncarnation("e", "two");
  CHECK_FALSE(m_Table.isLeaving("e"));
}

// Guards against a peer's sign being ignored because this VM has not yet seen
// a report of that incarnation, and against a late sign with lasting effect.
TEST(LeavingTable, SignOfAnotherIncarnation) {
  m_Table.noteIncarnation("e", "one");
  CHECK(m_Table.mark("e", "two"));
  CHECK(m_Table.isLeaving("e"));
  m_Table.noteIncarnation("e", "one");
  CHECK_FALSE(m_Table.isLeaving("e"));
}

PARSLEYRING_TEST_MAIN
