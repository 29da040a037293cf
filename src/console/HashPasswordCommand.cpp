#include "console/HashPasswordCommand.h"

#include "console/PasswordHash.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <memory>

namespace parsleyring {

static constexpr std::size_t MinPasswordBytes = 8;
/// Longer input is probably a file redirected by mistake.
static constexpr std::size_t MaxPasswordBytes = 1024;
static constexpr std::uint32_t MinRounds = 1000;
static constexpr std::uint32_t MaxRounds = 100000000;

int HashPasswordCommand::run(std::istream &Input, std::ostream &Output,
                             std::ostream &Errors, std::uint32_t Rounds) {
  std::string Password;
  std::getline(Input, Password);
  if (!Password.empty() && Password.back() == '\r')
    Password.pop_back();
  if (Password.size() < MinPasswordBytes ||
      Password.size() > MaxPasswordBytes) {
    Errors << "the password on standard input must have " << MinPasswordBytes
           << " to " << MaxPasswordBytes << " bytes\n";
    return 1;
  }
  Output << hashPassword(Password, Rounds) << '\n';
  return 0;
}

void HashPasswordCommand::addTo(CLI::App &App, int &ExitCode) {
  CLI::App *Command = App.add_subcommand(
      "hash-password", "Reads an operator's password from standard input and "
                       "prints its hash for the settings of the console");
  auto Rounds = std::make_shared<std::uint32_t>(DefaultPasswordRounds);
  Command->add_option("--rounds", *Rounds, "rounds of PBKDF2")
      ->check(CLI::Range(MinRounds, MaxRounds))
      ->capture_default_str();
  Command->callback([Rounds, &ExitCode] {
    ExitCode = run(std::cin, std::cout, std::cerr, *Rounds);
  });
}

} // namespace parsleyring
