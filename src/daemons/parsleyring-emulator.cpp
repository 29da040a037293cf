#include "emulator/EngineEmulator.h"
#include "emulator/PlatformEmulator.h"
#include "emulator/ProxyAdmin.h"
#include "emulator/ServiceEmulator.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace parsleyring;

static CLI::App *addCommand(CLI::App &App, const std::string &Name,
                            const std::string &Purpose, std::string &Listen) {
  CLI::App *Command = App.add_subcommand(Name, Purpose);
  Command->add_option("--listen", Listen, "IP:port; port 0 picks a free one")
      ->required();
  return Command;
}

static void addEngineCommand(CLI::App &App, EngineOptions &Options) {
  CLI::App *Command =
      addCommand(App, "engine", "Engine that holds a range of model layers",
                 Options.m_Listen);
  Command->add_option("--endpoint", Options.m_Endpoint)->required();
  Command->add_option("--first-layer", Options.m_Layers.m_First)->required();
  Command->add_option("--end-layer", Options.m_Layers.m_End)->required();
  Command->add_option("--token-micros", Options.m_TokenMicros);
  Command->add_option("--slots", Options.m_Slots)->check(CLI::PositiveNumber);
  Command->add_option("--cache-entries", Options.m_CacheEntries);
  Command->add_option("--report-lag-ms", Options.m_ReportLagMillis);
  Command->add_flag("--ignore-fencing", Options.m_IgnoresFencing);
  Command
      ->add_option_function<std::string>("--wrong-hops",
                                         [&Options](const std::string &Name) {
                                           Options.m_HopFault =
                                               hopFaultFromName(Name).value();
                                         })
      ->check(CLI::IsMember({"skip", "repeat", "reorder"}));
  Command->add_option("--wrong-from", Options.m_FirstFaultyPosition);
  Command->final_callback([&Options] { EngineEmulator(Options).run(); });
}

static void addServiceCommand(CLI::App &App, ServiceOptions &Options) {
  CLI::App *Command = addCommand(
      App, "service", "Plain service that runs every call", Options.m_Listen);
  Command->add_option("--endpoint", Options.m_Endpoint)->required();
  Command->add_option("--delay-ms", Options.m_DelayMillis);
  Command->final_callback([&Options] { ServiceEmulator(Options).run(); });
}

static void addPlatformCommand(CLI::App &App, PlatformOptions &Options) {
  CLI::App *Command = addCommand(
      App, "platform", "Key-value service of the platform", Options.m_Listen);
  Command->add_option("--writes-per-second", Options.m_WritesPerSecond);
  Command->add_option("--reads-per-second", Options.m_ReadsPerSecond);
  Command->add_option("--seed-file", Options.m_SeedFile)
      ->check(CLI::ExistingFile);
  Command->final_callback([&Options] { PlatformEmulator(Options).run(); });
}

static void addProxyCommand(CLI::App &App, ProxyOptions &Options) {
  CLI::App *Command = addCommand(App, "proxy", "TCP proxy that injects faults",
                                 Options.m_Listen);
  Command->add_option("--to", Options.m_To, "IP:port")->required();
  Command->add_option("--admin", Options.m_Admin,
                      "IP:port for POST /admin/faults");
  Command->final_callback([&Options] { ProxyAdmin(Options).run(); });
}

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Emulators of the systems around the routers, for tests");
  App.set_version_flag("--version", PARSLEYRING_VERSION);
  App.require_subcommand(1);
  EngineOptions Engine;
  ServiceOptions Service;
  PlatformOptions Platform;
  ProxyOptions Proxy;
  addEngineCommand(App, Engine);
  addServiceCommand(App, Service);
  addPlatformCommand(App, Platform);
  addProxyCommand(App, Proxy);
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : 2;
  } catch (const std::exception &Error) {
    std::cerr << "parsleyring-emulator: " << Error.what() << "\n";
    return 1;
  }
  return 0;
}
