#include "fleet/EndpointLimit.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(EndpointLimit) {
  EndpointLimit m_Limit;
  Time m_Now{1000s};
};

// Guards against values of an endpoint in trouble that are read as a limit, or
// a limit that is not read.
TEST(EndpointLimit, OnlyDecimalNumbersAreRates) {
  DOUBLES_EQUAL(12, EndpointLimit::parseRate("12").value(), 0);
  DOUBLES_EQUAL(0.25, EndpointLimit::parseRate("0.25").value(), 0);
  DOUBLES_EQUAL(0, EndpointLimit::parseRate("0").value(), 0);
  DOUBLES_EQUAL(1e18, EndpointLimit::parseRate("1000000000000000000").value(),
                0);
  for (const char *Text : {"", "-1", "+1", "1e3", "inf", "nan", "-0", "0x10",
                           "1,5", " 1", "1 ", "many", "1.5/s"})
    CHECK_TEXT(!EndpointLimit::parseRate(Text), Text);
  CHECK(!EndpointLimit::parseRate(std::string(400, '9')));
}

// Guards against a limit that ends because an older answer on another
// connection arrives after the one that stated it.
TEST(EndpointLimit, OnlyALaterRequestShowsThatTheLimitHasEnded) {
  CHECK(m_Limit.noteStated(5, m_Now));
  CHECK(!m_Limit.noteStated(5, m_Now + 1s));
  CHECK(!m_Limit.noteNotStated(m_Now + 1s));
  DOUBLES_EQUAL(5, m_Limit.rate().value(), 0);
  CHECK(m_Limit.noteNotStated(m_Now + 1001ms));
  CHECK(!m_Limit.rate());
}

// Guards against an older report of another VM that replaces a newer answer, in
// either direction.
TEST(EndpointLimit, NewestStatementCounts) {
  CHECK(m_Limit.apply({5, 100ms}, m_Now));
  CHECK(!m_Limit.apply({7, 200ms}, m_Now));
  CHECK(m_Limit.noteStated(7, m_Now + 1s));
  CHECK(!m_Limit.apply({std::nullopt, 1s}, m_Now + 1500ms));
  CHECK(m_Limit.apply({std::nullopt, 100ms}, m_Now + 1500ms));
  CHECK(!m_Limit.rate());
}

// Guards against reports that are passed on from VM to VM and never get old.
TEST(EndpointLimit, OnlyOwnAnswersAreReported) {
  m_Limit.apply({5, 100ms}, m_Now);
  CHECK(!m_Limit.ownReport(m_Now));
  m_Limit.noteStated(5, m_Now + 1s);
  auto Report = m_Limit.ownReport(m_Now + 3s);
  CHECK(Report && Report->m_Rate == 5.0 && Report->m_Age == 2s);
  m_Limit.noteNotStated(m_Now + 4s);
  Report = m_Limit.ownReport(m_Now + 5s);
  CHECK(Report && !Report->m_Rate && Report->m_Age == 1s);
  CHECK(!m_Limit.ownReport(m_Now + 1h));
}

// Guards against a VM that still reports a limit which has ended according to
// another one.
TEST(EndpointLimit, SupersededAnswerIsNotReported) {
  m_Limit.noteStated(5, m_Now);
  m_Limit.apply({std::nullopt, 100ms}, m_Now + 1s);
  CHECK(!m_Limit.ownReport(m_Now + 1s));
}

PARSLEYRING_TEST_MAIN
