#include "audit/Replayer.h"
#include "audit/AuditWriter.h"
#include "requests/RouterFixture.h"

#include "support/TestMain.h"

#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

namespace {

TraceCodec testCodec() {
  return TraceCodec([](const Document &) { return "document"; },
                    [](const std::string &) { return testDocument(); });
}

/// Records the trace of a Router that serves a few requests.
std::vector<std::string> recordedTrace(std::uint64_t Incarnation) {
  RouterOptions Options = RouterFixture::options(5);
  Options.m_Self.m_Number = Incarnation;
  std::ostringstream Output;
  AuditWriter Writer(Options.m_Self, Output);
  TraceCodec Codec = testCodec();
  Router Subject(Options);
  Time Now = TestStart;
  Writer.write(TraceCodec::encodeStart(Now, Options));
  std::vector<StartCompletion> Started;
  auto Handle = [&](const Event &Input) {
    Now += std::chrono::milliseconds(7);
    Writer.write(Codec.encode(Now, Input));
    Actions Decided;
    Subject.handle(Now, Input, Decided);
    for (const WriteAudit &Record : actionsOf<WriteAudit>(Decided))
      Writer.write(Record);
    for (const StartCompletion &Start : actionsOf<StartCompletion>(Decided))
      Started.push_back(Start);
  };
  Handle(ConfigurationApplied{1, testDocument()});
  Writer.write({AuditKind::Membership, Now, 0, "{}"}, "peers");
  for (RequestNumber Number = 1; Number <= 5; ++Number)
    Handle(CompletionArrived{Number, "key", "model", 5, 8, 0, {}});
  Handle(ServiceCallArrived{6, "key", "ledger", "POST", "/pay", "k", "body"});
  Handle(ClaimSettled{6, ClaimResult::Granted, ""});
  for (std::size_t Index = 0; Index < 5; ++Index) {
    Handle(TokenArrived{Started.at(Index).m_Attempt, 0,
                        hopsOf(Started[Index].m_Route)});
    auto Result = static_cast<AttemptResult>(Index);
    Handle(AttemptEnded{Started[Index].m_Attempt, Result, 0, "detail"});
    Handle(Tick());
  }
  std::vector<std::string> Lines;
  std::istringstream Input(Output.str());
  for (std::string Line; std::getline(Input, Line);)
    Lines.push_back(Line);
  return Lines;
}

ReplayReport replay(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  std::istringstream Input(Text);
  TraceCodec Codec = testCodec();
  return Replayer(Codec).run(Input);
}

std::size_t lineWith(const std::vector<std::string> &Lines,
                     const std::string &Part) {
  std::size_t Index = 0;
  while (Lines.at(Index).find(Part) == std::string::npos)
    ++Index;
  return Index;
}

} // namespace

TEST_GROUP(Replayer){};

// Guards against a replay that differs although the trace is unchanged.
TEST(Replayer, TracesOfTwoVMsReplay) {
  auto Lines = recordedTrace(7), Others = recordedTrace(8);
  // Collected logs of several VMs are interleaved.
  for (std::size_t Index = 0; Index < Others.size(); ++Index)
    Lines.insert(Lines.begin() + static_cast<std::ptrdiff_t>(2 * Index),
                 Others[Index]);
  ReplayReport Report = replay(Lines);
  LONGS_EQUAL(0, Report.m_DifferenceCount);
  LONGS_EQUAL(2 * 23, Report.m_Events);
  // At least an admission, a route, an attempt end and an outcome per request.
  CHECK(Report.m_Decisions >= 2 * 6 * 4);
}

// Guards against changed, missing and added records that are not reported, and
// against reporting the wrong line.
TEST(Replayer, DifferencesAreFoundAtTheirLines) {
  const auto Lines = recordedTrace(7);
  std::size_t Outcome = lineWith(Lines, "\"kind\":\"outcome\"");

  auto Changed = Lines;
  std::size_t At = Changed[Outcome].find("completed");
  Changed[Outcome].replace(At, 9, "not-run!!");
  ReplayReport Report = replay(Changed);
  LONGS_EQUAL(1, Report.m_DifferenceCount);
  LONGS_EQUAL(Outcome + 1, Report.m_Differences[0].m_Line);
  CHECK(Report.m_Differences[0].m_Message.find("completed") !=
        std::string::npos);

  // Two differences: the gap in the sequence and the missing decision.
  auto Missing = Lines;
  Missing.erase(Missing.begin() + static_cast<std::ptrdiff_t>(Outcome));
  Report = replay(Missing);
  LONGS_EQUAL(2, Report.m_DifferenceCount);
  CHECK(Report.m_Differences[0].m_Message.find("are missing") !=
        std::string::npos);

  auto Added = Lines;
  Added.insert(Added.begin() + static_cast<std::ptrdiff_t>(Outcome),
               Lines[Outcome]);
  CHECK(replay(Added).m_DifferenceCount > 0);

  auto Damaged = Lines;
  Damaged[3] = "{\"seq\":4";
  CHECK(replay(Damaged).m_DifferenceCount > 0);
  CHECK(replay({Lines.begin() + 1, Lines.end()}).m_DifferenceCount > 0);
}

// Guards against interleaved records or duplicate sequence numbers with several
// threads, and against records that are not a JSON object.
TEST(Replayer, WriterNumbersRecordsOfManyThreads) {
  std::ostringstream Output;
  AuditWriter Writer({"vm \"1\"", 7}, Output);
  std::vector<std::thread> Threads;
  for (int Thread = 0; Thread < 4; ++Thread)
    Threads.emplace_back([&] {
      for (int Count = 0; Count < 500; ++Count)
        Writer.write({AuditKind::Route, TestStart, 3, R"({"a":1})"});
    });
  for (std::thread &Each : Threads)
    Each.join();
  CHECK_THROWS(std::invalid_argument,
               Writer.write({AuditKind::Route, TestStart, 0, "{\"a\":\n1}"}));
  Writer.write({AuditKind::Route, TestStart, 0, "{}"});
  std::istringstream Input(Output.str());
  std::string Line;
  for (int Sequence = 1; Sequence <= 2000; ++Sequence) {
    CHECK(!std::getline(Input, Line).fail());
    std::string Expected =
        "{\"seq\":" + std::to_string(Sequence) +
        ",\"at_us\":1700000000000000,\"vm\":\"vm \\\"1\\\"\",\"incarnation\":7,"
        "\"kind\":\"route\",\"request\":\"req-vm \\\"1\\\"-7-3\",\"a\":1}";
    CHECK_EQUAL(Expected, Line);
  }
  CHECK(!std::getline(Input, Line).fail());
  CHECK(Line.find("\"seq\":2001,") == 1);
  CHECK(std::getline(Input, Line).fail());
  LONGS_EQUAL(0, Writer.writeFailures());
}

PARSLEYRING_TEST_MAIN
