#include "audit/ExplainCommand.h"
#include "audit/ReplayCommand.h"
#include "console/HashPasswordCommand.h"
#include "document/CheckCommand.h"

#include <CLI/CLI.hpp>

using namespace parsleyring;

static constexpr int UsageExitCode = 2;

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Tools for operators of parsleyring");
  App.set_version_flag("--version", PARSLEYRING_VERSION);
  App.require_subcommand(1);
  int ExitCode = 0;
  CheckCommand::addTo(App, ExitCode);
  ExplainCommand::addTo(App, ExitCode);
  HashPasswordCommand::addTo(App, ExitCode);
  ReplayCommand::addTo(App, ExitCode);
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : UsageExitCode;
  }
  return ExitCode;
}
