#include "gateway/EventScanner.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(EventScanner) { EventScanner m_Scanner; };

// Guards against forwarding a partial event to the caller when an endpoint
// stops in the middle of an event.
TEST(EventScanner, WaitsForTheEndOfAnEvent) {
  m_Scanner.add("id: 7\nda");
  CHECK(!m_Scanner.next());
  CHECK(m_Scanner.hasPartialEvent());
  m_Scanner.add("ta: x\n");
  CHECK(!m_Scanner.next());
  m_Scanner.add("\n");
  auto Event = m_Scanner.next();
  CHECK(Event.has_value());
  STRCMP_EQUAL("id: 7\ndata: x\n\n", Event->m_Bytes.c_str());
  LONGS_EQUAL(7, *Event->m_Id);
  CHECK(!m_Scanner.hasPartialEvent());
}

// Guards against events that are lost or joined when several arrive at once.
TEST(EventScanner, SplitsEventsReceivedTogether) {
  m_Scanner.add(
      "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\nid: 3");
  LONGS_EQUAL(1, *m_Scanner.next()->m_Id);
  LONGS_EQUAL(2, *m_Scanner.next()->m_Id);
  CHECK(!m_Scanner.next());
  CHECK(m_Scanner.hasPartialEvent());
}

// Guards against misread CRLF line ends and ids that are not numbers.
TEST(EventScanner, ReadsCrlfLineEndsAndInvalidIds) {
  m_Scanner.add("id:4\r\ndata: a\r\n\r\nid: 5x\ndata: b\n\ndata: c\n\n");
  LONGS_EQUAL(4, *m_Scanner.next()->m_Id);
  CHECK(!m_Scanner.next()->m_Id);
  CHECK(!m_Scanner.next()->m_Id);
}

PARSLEYRING_TEST_MAIN
