#include "console/ConsoleNode.h"
#include "core/EndSignals.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>

using namespace parsleyring;

static constexpr int ExitFailure = 1;
static constexpr int ExitUsage = 2;

static int runConsole(const Settings &Options) {
  EndSignals Signals;
  ConsoleNode Node(Options);
  Node.start();
  Signals.wait();
  Node.stop();
  return 0;
}

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Operators' forms, which publish the configuration");
  App.set_version_flag("--version", PARSLEYRING_VERSION);
  std::string ConfigFile;
  App.add_option("--config", ConfigFile, "Settings of the console (TOML)")
      ->required();
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : ExitUsage;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Arguments[0]);
  std::vector<Finding> Findings;
  Settings Options =
      Settings::fromFile(ConfigFile, Settings::Program::Console, Findings);
  for (const Finding &Found : Findings)
    std::cerr << toString(Found) << "\n";
  if (!Findings.empty())
    return ExitUsage;
  try {
    return runConsole(Options);
  } catch (const std::exception &Error) {
    std::cerr << "parsleyring-console: " << Error.what() << "\n";
    return ExitFailure;
  }
}
