#include "gateway/DecisionLog.h"

#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(DecisionLog) {
  int m_Pipe[2] = {-1, -1};
  Time m_Now{1000s};

  void setup() override { CHECK(pipe(m_Pipe) == 0); }
  void teardown() override {
    close(m_Pipe[0]);
    close(m_Pipe[1]);
  }
  std::string read() const {
    std::string Text(1 << 20, '\0');
    ssize_t Size = ::read(m_Pipe[0], Text.data(), Text.size());
    Text.resize(Size > 0 ? Size : 0);
    return Text;
  }
};

// Guards against lines that are not valid JSON because a caller's request id
// contains special characters.
TEST(DecisionLog, EscapesRequestIds) {
  DecisionLog Log(m_Pipe[1], "vm-0");
  Log.write(m_Now, "request-end", "a\"b\\\n\xff",
            {{"status", std::int64_t(3)}});
  auto Line = nlohmann::json::parse(read());
  STRCMP_EQUAL("request-end", Line["event"].get<std::string>().c_str());
  LONGS_EQUAL(3, Line["status"].get<int>());
}

// Guards against logging that uses up the processor under load, and against
// lines that are dropped without being counted.
TEST(DecisionLog, LimitsRateAndReportsDroppedLines) {
  DecisionLog Log(m_Pipe[1], "vm-0");
  for (int Line = 0; Line < 1000; ++Line)
    Log.write(m_Now, "x", "", {});
  LONGS_EQUAL(1000 - DecisionLog::BurstLines, Log.droppedLines());
  read();
  m_Now += 1s;
  Log.write(m_Now, "x", "", {});
  auto Line = nlohmann::json::parse(read());
  LONGS_EQUAL(1000 - DecisionLog::BurstLines,
              Line["lines_left_out"].get<int>());
}

// Guards against a log reader that stops reading and thereby blocks requests;
// the test would then not end.
TEST(DecisionLog, NeverBlocksOnAFullPipe) {
  DecisionLog Log(m_Pipe[1], "vm-0");
  const std::string Long(4000, 'x');
  for (int Line = 0; Line < 200; ++Line) {
    m_Now += 1s;
    Log.write(m_Now, "x", Long, {});
  }
  CHECK(Log.droppedLines() > 100);
  std::string Text = read();
  m_Now += 1s;
  Log.write(m_Now, "last", "", {});
  Text += read();
  // Each line is complete, also the one that the full pipe accepted in part.
  std::size_t Start = 0;
  int Lines = 0;
  while (Start < Text.size()) {
    std::size_t End = Text.find('\n', Start);
    CHECK(End != std::string::npos);
    CHECK(nlohmann::json::parse(Text.substr(Start, End - Start), nullptr, false)
              .is_object());
    Start = End + 1;
    ++Lines;
  }
  CHECK(Lines >= 2);
}

PARSLEYRING_TEST_MAIN
