#include "configuration/ConfigurationPublisher.h"
#include "core/ReadFile.h"
#include "document/DocumentReader.h"
#include "load/LoadRun.h"
#include "platform/HttpPlatformClient.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <thread>

using namespace parsleyring;

static constexpr std::chrono::seconds PlatformTimeout{5};

/// Parses "KEY=WEIGHT"; the weight is 1 if it is absent.
static LoadAccount parseAccount(const std::string &Text) {
  std::size_t Equals = Text.rfind('=');
  if (Equals == std::string::npos)
    return {Text, 1};
  return {Text.substr(0, Equals), std::stod(Text.substr(Equals + 1))};
}

static void addRunCommand(CLI::App &App, LoadOptions &Options) {
  CLI::App *Command = App.add_subcommand(
      "run", "Sends calls on a fixed schedule and prints a summary");
  Command->add_option("--router", Options.m_Routers, "IP:port")->required();
  Command
      ->add_option_function<std::vector<std::string>>(
          "--account",
          [&Options](const std::vector<std::string> &Texts) {
            for (const std::string &Text : Texts)
              Options.m_Accounts.push_back(parseAccount(Text));
          },
          "KEY=WEIGHT")
      ->required();
  Command->add_option("--rate", Options.m_CallsPerSecond, "Calls per second");
  Command->add_option("--seconds", Options.m_DurationSeconds)
      ->check(CLI::Range(0.1, 3600.0));
  Command->add_option("--grace", Options.m_GraceSeconds)
      ->check(CLI::Range(0.0, 600.0));
  Command->add_option("--warm-up", Options.m_WarmUpSeconds);
  Command->add_option("--seed", Options.m_Seed);
  Command->add_option("--model", Options.m_Model)->required();
  Command->add_option("--least-tokens", Options.m_MinTokens);
  Command->add_option("--most-tokens", Options.m_MaxTokens);
  Command->add_option("--prefixes", Options.m_PrefixCount);
  Command->add_option("--prefix-bytes", Options.m_PrefixBytes);
  Command->add_option("--service-share", Options.m_ServiceShare);
  Command->add_option("--service-path", Options.m_ServicePath);
  Command->add_flag("--keys", Options.m_UsesIdempotencyKeys,
                    "Service calls have idempotency keys");
  Command->add_option_function<std::uint32_t>(
      "--listed-gap-ms", [&Options](std::uint32_t Millis) {
        Options.m_MinListedGap = std::chrono::milliseconds(Millis);
      });
  Command->add_option("--threads", Options.m_Threads)
      ->check(CLI::Range(1, 2000));
  Command->final_callback(
      [&Options] { std::cout << LoadRun(Options).run() << std::endl; });
}

struct PublishOptions {
  std::string m_Platform;
  std::string m_File;
  ConfigurationVersion m_BaseVersion = 0;
};

static void publish(const PublishOptions &Options) {
  DocumentReader Reader;
  Publication NewPublication;
  PublicationResult Result;
  std::string Text = readFile(Options.m_File, Result.m_Findings).value_or("");
  Reader.add(Options.m_File, Text, Result.m_Findings);
  if (Result.m_Findings.empty()) {
    NewPublication.m_Document = Reader.takeDocument();
    NewPublication.m_BaseVersion = Options.m_BaseVersion;
    NewPublication.m_Author = "load";
    NewPublication.m_Submission =
        "load-" + std::to_string(Options.m_BaseVersion + 1);
    HttpPlatformClient Platform(Options.m_Platform, PlatformTimeout);
    ConfigurationPublisher Publisher(
        Platform, [](Duration Pause) { std::this_thread::sleep_for(Pause); });
    Result = Publisher.publish(std::chrono::time_point_cast<Duration>(
                                   std::chrono::system_clock::now()),
                               NewPublication);
  }
  for (const Finding &Found : Result.m_Findings)
    std::cerr << toString(Found) << "\n";
  if (Result.m_Status != PublicationStatus::Published)
    throw std::runtime_error("document not published: " +
                             std::string(name(Result.m_Status)));
  std::cout << "version " << Result.m_Version << std::endl;
}

static void addPublishCommand(CLI::App &App, PublishOptions &Options) {
  CLI::App *Command =
      App.add_subcommand("publish", "Publishes a document for a measurement");
  Command->add_option("--platform", Options.m_Platform, "IP:port")->required();
  Command->add_option("--document", Options.m_File)
      ->required()
      ->check(CLI::ExistingFile);
  Command->add_option("--base-version", Options.m_BaseVersion);
  Command->final_callback([&Options] { publish(Options); });
}

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App App("Measures routers under a generated load");
  App.set_version_flag("--version", PARSLEYRING_VERSION);
  App.require_subcommand(1);
  LoadOptions Load;
  PublishOptions Publish;
  addRunCommand(App, Load);
  addPublishCommand(App, Publish);
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : 2;
  } catch (const std::exception &Error) {
    std::cerr << "parsleyring-load: " << Error.what() << "\n";
    return 1;
  }
  return 0;
}
