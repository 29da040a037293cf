#include "core/EndSignals.h"
#include "node/ListedPeerNetwork.h"
#include "node/RouterNode.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>

using namespace parsleyring;

static constexpr int ExitFailure = 1;
static constexpr int ExitUsage = 2;

static int runNode(const Settings &Options) {
  EndSignals Signals;
  RouterNode Node(Options, [](const Settings &Own, const Incarnation &Self,
                              std::function<Time()> Now,
                              PlatformClient &Platform,
                              const PeerCallbacks &Callbacks) {
    return std::make_unique<ListedPeerNetwork>(Own, Self, std::move(Now),
                                               Platform, Callbacks);
  });
  Node.start();
  Signals.wait();
  Node.drain();
  return 0;
}

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Routes requests through pipelines and to plain services");
  App.set_version_flag("--version", PARSLEYRING_VERSION);
  std::string ConfigFile;
  App.add_option("--config", ConfigFile, "Settings of the VM (TOML)")
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
      Settings::fromFile(ConfigFile, Settings::Program::Router, Findings);
  for (const Finding &Found : Findings)
    std::cerr << toString(Found) << "\n";
  if (!Findings.empty())
    return ExitUsage;
  try {
    return runNode(Options);
  } catch (const std::exception &Error) {
    std::cerr << "parsleyring-router: " << Error.what() << "\n";
    return ExitFailure;
  }
}
