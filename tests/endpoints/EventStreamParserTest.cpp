#include "endpoints/EventStreamParser.h"

#include "support/TestMain.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(EventStreamParser) {
  std::vector<std::string> m_Events;

  EventStreamParser parser() {
    return EventStreamParser([this](const std::string &Data) {
      m_Events.push_back(Data);
      return Data != "stop";
    });
  }
};

// Guards against events that are lost or truncated at chunk boundaries.
TEST(EventStreamParser, AnySplitGivesTheSameEvents) {
  const std::string Text = ": note\r\ndata: one\r\n\r\nevent: x\ndata:two\n"
                           "data: 2\n\ndata: three\r\r\n\ndata: torn";
  for (std::size_t Size = 1; Size <= Text.size(); ++Size) {
    m_Events.clear();
    EventStreamParser Parser = parser();
    for (std::size_t At = 0; At < Text.size(); At += Size)
      CHECK(Parser.feed(std::string_view(Text).substr(At, Size)) ==
            EventStreamParser::Status::Ok);
    CHECK((m_Events == std::vector<std::string>{"one", "two\n2", "three"}));
  }
}

// Guards against unbounded memory use when an engine sends no line ends.
TEST(EventStreamParser, LineLengthIsBounded) {
  EventStreamParser Parser = parser();
  std::string Line(EventStreamParser::MaxBytes, 'x');
  CHECK(Parser.feed(Line) == EventStreamParser::Status::Ok);
  CHECK(Parser.feed("x") == EventStreamParser::Status::TooLong);
}

// Guards against events delivered after the callback asked to stop.
TEST(EventStreamParser, StopsWhenCallbackReturnsFalse) {
  EventStreamParser Parser = parser();
  CHECK(Parser.feed("data: stop\n\ndata: late\n\n") ==
        EventStreamParser::Status::Stopped);
  LONGS_EQUAL(1, m_Events.size());
}

PARSLEYRING_TEST_MAIN
