#include "fleet/EndpointRest.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(EndpointRest) {
  EndpointRest m_Rest;
  Time m_Now{1000s};

  std::optional<Duration> parse(std::string_view Text) const {
    return EndpointRest::parse(Text, m_Now);
  }
};

// Guards against times that are read wrongly: fractions of a second, and each
// format of a date (RFC 9110, section 5.6.7).
TEST(EndpointRest, ReadsSecondsAndDates) {
  CHECK(parse("3") == 3s);
  CHECK(parse("0.25") == 250ms);
  CHECK(parse("1e3") == std::nullopt);
  m_Now = Time(784111777s) - 90s;
  CHECK(parse("Sun, 06 Nov 1994 08:49:37 GMT") == 90s);
  CHECK(parse("Sunday, 06-Nov-94 08:49:37 GMT") == 90s);
  CHECK(parse("Sun Nov  6 08:49:37 1994") == 90s);
  CHECK(EndpointRest::parseDate("Sun, 06 Nov 1994 08:49:37 GMT") ==
        Time(784111777s));
}

// Guards against endpoints that are left alone because of a value that states
// no time, and against values that overflow.
TEST(EndpointRest, IgnoresValuesThatStateNoTime) {
  m_Now = Time(784111777s);
  for (const char *Text :
       {"", "0", "0.0", "0.0000001", "-1", "+1", "abc", "1s", "1 2", "1,2",
        "nan", "inf", "0x10", "Sun, 06 Nov 1994 08:49:37 GMT", "Sun, 06 Nov",
        "Sun, 06 Nov 2994 08:49:37 GMT and more"})
    CHECK_TEXT(!parse(Text), Text);
  CHECK(parse("99999999999999999999999") == EndpointRest::MaxStated);
  CHECK(parse("Sun, 06 Nov 2994 08:49:37 GMT") == EndpointRest::MaxStated);
}

// Guards against requests before the end of the stated time, and against an end
// that is missing in the log or told twice.
TEST(EndpointRest, RestsForTheStatedTime) {
  CHECK(!m_Rest.isResting(m_Now));
  CHECK(!m_Rest.takeEnd(m_Now));
  CHECK(m_Rest.noteStated(2s, m_Now));
  CHECK(m_Rest.isResting(m_Now + 1999ms));
  CHECK(!m_Rest.takeEnd(m_Now + 1999ms));
  CHECK(!m_Rest.isResting(m_Now + 2s));
  CHECK(m_Rest.takeEnd(m_Now + 2s));
  CHECK(!m_Rest.takeEnd(m_Now + 2s));
  CHECK(m_Rest.noteStated(1s, m_Now + 2s));
}

// Guards against a rest that is cut short by answers that were on their way:
// shorter times, and answers to requests that were sent before.
TEST(EndpointRest, LaterAnswersDoNotEndIt) {
  m_Rest.noteStated(5s, m_Now);
  CHECK(!m_Rest.noteStated(1s, m_Now + 10ms));
  m_Rest.noteAccepted(m_Now - 10ms, m_Now + 20ms);
  CHECK(m_Rest.until() == m_Now + 5s);
  CHECK(!m_Rest.noteStated(6s, m_Now + 10ms));
  CHECK(m_Rest.until() == m_Now + 6s + 10ms);
}

// Guards against more requests than an endpoint may get while it rests, if that
// is longer than it is left untested, and against one that never gets any again
// because of a wrong value.
TEST(EndpointRest, LongRestsAreTestedTwice) {
  m_Rest.noteStated(1000h, m_Now);
  Time Now = m_Now;
  for (int Test = 0; Test < EndpointRest::MaxTests; ++Test) {
    CHECK(m_Rest.isResting(Now + EndpointRest::MaxUntested - 1us));
    Now += EndpointRest::MaxUntested;
    CHECK(!m_Rest.isResting(Now));
    m_Rest.noteSent(Now);
    CHECK(m_Rest.isResting(Now));
    CHECK(!m_Rest.noteStated(100h, Now + 1ms));
    Now += 1ms;
  }
  CHECK(m_Rest.isResting(m_Now + 1000h - 1us));
  CHECK(!m_Rest.takeEnd(Now));
  CHECK(m_Rest.takeEnd(m_Now + 1000h));

  EndpointRest Wrong;
  Wrong.noteStated(1000h, m_Now);
  Now = m_Now + EndpointRest::MaxUntested;
  Wrong.noteSent(Now);
  Wrong.noteAccepted(Now, Now + 5ms);
  CHECK(!Wrong.isResting(Now + 5ms));
  CHECK(Wrong.takeEnd(Now + 5ms));
}

PARSLEYRING_TEST_MAIN
