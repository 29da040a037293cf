#include "audit/ReplayCommand.h"
#include "audit/Replayer.h"
#include "audit/TomlTraceCodec.h"
#include "support/TemporaryFile.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;
using Outcomes = std::map<std::string, unsigned>;

namespace {

struct RecordedTrace {
  const char *m_Name;
  Outcomes m_Outcomes; ///< Requests per outcome.
  /// Part of a record that shows that the failure occurred.
  const char *m_FailureText;
};

} // namespace

static const std::vector<RecordedTrace> &recordedTraces() {
  static const std::vector<RecordedTrace> Traces = {
      {"stage-killed", {{"completed", 2}}, R"("result":"connection-lost")"},
      {"stage-frozen", {{"completed", 2}}, R"("reason":"stalled")"},
      {"wrong-hops", {{"failed", 1}}, R"("reason":"wrong-hop")"},
      {"service-killed", {{"completed", 1}, {"unknown", 2}}, "no-answer"},
      {"platform-out",
       {{"completed", 1}, {"not-run", 1}},
       "claims-unavailable"},
      {"endpoint-leaving", {{"completed", 3}}, R"("state":"leaving")"},
      {"drain",
       {{"completed", 1}, {"not-run", 1}, {"rejected", 1}},
       R"("state":"draining")"},
      {"configuration-change", {{"completed", 3}}, R"("in_force":2)"},
      {"partition", {{"completed", 3}}, R"("unreachable_domains":["fd-b"])"},
  };
  return Traces;
}

static std::string tracePath(const std::string &Name) {
  return std::string(PARSLEYRING_SOURCE_DIR) + "/tests/traces/" + Name +
         ".jsonl";
}

static std::string readTrace(const std::string &Name) {
  std::ifstream File(tracePath(Name));
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

static Outcomes outcomesOf(const std::string &Trace) {
  Outcomes Result;
  std::istringstream Lines(Trace);
  for (std::string Line; std::getline(Lines, Line);) {
    Json Record = Json::parse(Line);
    if (Record.at("kind") == "outcome")
      ++Result[Record.at("outcome")];
    if (Record.at("kind") == "admission" && Record.at("decision") == "rejected")
      ++Result["rejected"];
  }
  return Result;
}

static int replay(const std::vector<std::string> &Files, std::string &Output) {
  std::ostringstream Printed;
  std::ostringstream Errors;
  int ExitCode = ReplayCommand::run(Files, Printed, Errors);
  Output = Printed.str() + Errors.str();
  return ExitCode;
}

TEST_GROUP(RecordedTrace){};

// Guards against decisions about failures that differ from the recorded ones.
TEST(RecordedTrace, ReplayReproducesEachDecision) {
  TraceCodec Codec = tomlTraceCodec();
  for (const RecordedTrace &Each : recordedTraces()) {
    std::string Text = readTrace(Each.m_Name);
    CHECK_TEXT(Text.find(Each.m_FailureText) != std::string::npos, Each.m_Name);
    CHECK_TEXT(outcomesOf(Text) == Each.m_Outcomes, Each.m_Name);
    std::istringstream Input(Text);
    ReplayReport Report = Replayer(Codec).run(Input);
    for (const ReplayDifference &Difference : Report.m_Differences)
      FAIL((std::string(Each.m_Name) + ":" + std::to_string(Difference.m_Line) +
            ": " + Difference.m_Message)
               .c_str());
    CHECK_TEXT(Report.m_Decisions > 0, Each.m_Name);
  }
}

// Guards against a command that ignores differences or unreadable input.
TEST(RecordedTrace, CommandReportsDifferences) {
  std::string Output;
  std::string Good = tracePath(recordedTraces().front().m_Name);
  LONGS_EQUAL(0, replay({Good}, Output));
  CHECK(Output.find(" decisions compared, 0 differences") != std::string::npos);

  std::string Text = readTrace(recordedTraces().front().m_Name);
  std::size_t At = Text.find("\"decision\":\"admitted\"");
  CHECK(At != std::string::npos);
  auto Line = std::count(Text.begin(),
                         Text.begin() + static_cast<std::ptrdiff_t>(At), '\n');
  Text.replace(At, 21, "\"decision\":\"rejected\"");
  TemporaryFile Changed(Text);
  LONGS_EQUAL(1, replay({Changed.path(), Good}, Output));
  std::string Expected =
      Changed.path() + ":" + std::to_string(Line + 1) + ": the replay decides";
  CHECK(Output.find(Expected) != std::string::npos);

  TemporaryFile NoTrace("no trace\n");
  TemporaryFile Empty("");
  for (const std::string &Path :
       {NoTrace.path(), Empty.path(), std::string("/no/such/file"),
        std::string("/")})
    LONGS_EQUAL(2, replay({Good, Path}, Output));
}

PARSLEYRING_TEST_MAIN
