#ifndef PARSLEYRING_CONSOLE_HASHPASSWORDCOMMAND_H
#define PARSLEYRING_CONSOLE_HASHPASSWORDCOMMAND_H

#include <cstdint>
#include <iosfwd>

namespace CLI {
class App;
} // namespace CLI

namespace parsleyring {

/// "parsleyring hash-password": reads a password from standard input and
/// prints the hash for [[console.operator]].
class HashPasswordCommand {
public:
  /// Adds the subcommand. Running it sets ExitCode: 0, or 1 if the password is
  /// too short or too long.
  static void addTo(CLI::App &App, int &ExitCode);

  /// Reads the password from the first line of Input. Returns the exit code.
  static int run(std::istream &Input, std::ostream &Output,
                 std::ostream &Errors, std::uint32_t Rounds);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_HASHPASSWORDCOMMAND_H
