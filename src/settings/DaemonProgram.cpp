#include "settings/DaemonProgram.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>

namespace parsleyring {

static constexpr int ExitFailure = 1;
static constexpr int ExitUsage = 2;

DaemonProgram::DaemonProgram(const std::string &Description,
                             Settings::Program Reader)
    : m_Description(Description), m_Reader(Reader) {}

int DaemonProgram::run(int ArgumentCount, char **Arguments,
                       const std::function<void(const Settings &)> &Run) const {
  CLI::App App(m_Description);
  App.set_version_flag("--version", PARSLEYRING_VERSION);
  std::string ConfigFile;
  App.add_option("--config", ConfigFile, "Settings file (TOML)")->required();
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : ExitUsage;
  }
  // The VMs have no disks, so the log goes to standard error.
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Arguments[0]);
  std::vector<Finding> Findings;
  Settings Options = Settings::fromFile(ConfigFile, m_Reader, Findings);
  for (const Finding &Found : Findings)
    std::cerr << toString(Found) << "\n";
  if (!Findings.empty())
    return ExitUsage;
  try {
    Run(Options);
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Arguments[0] << ": " << Error.what() << "\n";
    return ExitFailure;
  }
}

} // namespace parsleyring
