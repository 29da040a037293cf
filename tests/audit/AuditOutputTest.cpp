#include "audit/AuditOutput.h"

#include "support/TestMain.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(AuditOutput) {
  std::array<int, 2> m_Pipe{};

  void setup() override { CHECK(::pipe2(m_Pipe.data(), O_CLOEXEC) == 0); }
  void teardown() override {
    for (int Descriptor : m_Pipe)
      if (Descriptor >= 0)
        ::close(Descriptor);
  }

  std::string readAll() {
    ::close(m_Pipe[1]);
    m_Pipe[1] = -1;
    std::string Text;
    std::array<char, 4096> Buffer;
    for (ssize_t Count;
         (Count = ::read(m_Pipe[0], Buffer.data(), Buffer.size())) > 0;)
      Text.append(Buffer.data(), static_cast<std::size_t>(Count));
    return Text;
  }
};

// Guards against records that are lost or truncated at shutdown.
TEST(AuditOutput, CloseWritesAllLines) {
  AuditOutput Output(m_Pipe[1]);
  std::string Expected;
  for (int Line = 0; Line < 100; ++Line) {
    Output.stream() << "line " << Line << "\n" << std::flush;
    Expected += "line " + std::to_string(Line) + "\n";
  }
  Output.close(seconds(60));
  STRCMP_EQUAL(Expected.c_str(), readAll().c_str());
  LONGS_EQUAL(0, Output.lostLineCount());
}

// Guards against a router that blocks, or cannot shut down, because its log
// collector does not read.
TEST(AuditOutput, BlockedReaderDoesNotBlockWriter) {
  AuditOutput Output(m_Pipe[1]);
  std::string Line(64 * 1024, 'x');
  for (int Count = 0; Count < 300; ++Count)
    Output.stream() << Line << '\n';
  CHECK(Output.isCongested());
  Output.close(milliseconds(10));
  CHECK(Output.lostLineCount() > 0);
}

PARSLEYRING_TEST_MAIN
