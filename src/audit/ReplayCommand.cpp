#include "audit/ReplayCommand.h"

#include "audit/Replayer.h"
#include "audit/TomlTraceCodec.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>

namespace parsleyring {

static constexpr int DifferenceExitCode = 1;
static constexpr int UnreadableExitCode = 2;

static int replayFile(const std::string &Path, std::ostream &Output,
                      std::ostream &Errors) {
  std::ifstream Input(Path);
  // A directory can be opened but not read.
  if (!Input || Input.peek() == std::ifstream::traits_type::eof()) {
    Errors << Path << ": cannot be read or is empty\n";
    return UnreadableExitCode;
  }
  TraceCodec Codec = tomlTraceCodec();
  ReplayReport Report = Replayer(Codec).run(Input);
  if (Report.m_Events == 0) {
    Errors << Path << ": contains no recorded events\n";
    return UnreadableExitCode;
  }
  for (const ReplayDifference &Each : Report.m_Differences)
    Output << Path << ':' << Each.m_Line << ": " << Each.m_Message << '\n';
  Output << Path << ": " << Report.m_Events << " events, " << Report.m_Decisions
         << " decisions compared, " << Report.m_DifferenceCount
         << " differences\n";
  return Report.m_DifferenceCount == 0 ? 0 : DifferenceExitCode;
}

int ReplayCommand::run(const std::vector<std::string> &Files,
                       std::ostream &Output, std::ostream &Errors) {
  int ExitCode = 0;
  for (const std::string &Path : Files)
    ExitCode = std::max(ExitCode, replayFile(Path, Output, Errors));
  return ExitCode;
}

void ReplayCommand::addTo(CLI::App &App, int &ExitCode) {
  auto Command = std::make_shared<ReplayCommand>();
  CLI::App *Replay = App.add_subcommand(
      "replay", "Replays recorded events and compares the decisions");
  Replay->add_option("files", Command->m_Files, "traces (JSON lines)")
      ->required();
  Replay->callback([Command, &ExitCode] {
    ExitCode = run(Command->m_Files, std::cout, std::cerr);
  });
}

} // namespace parsleyring
