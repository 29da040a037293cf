#ifndef PARSLEYRING_AUDIT_REPLAYCOMMAND_H
#define PARSLEYRING_AUDIT_REPLAYCOMMAND_H

#include <iosfwd>
#include <string>
#include <vector>

namespace CLI {
class App;
} // namespace CLI

namespace parsleyring {

/// "parsleyring replay": decides the recorded events of traces again and
/// compares the decisions with the recorded ones.
class ReplayCommand {
public:
  /// Adds the subcommand. Its run sets ExitCode as run() returns it.
  static void addTo(CLI::App &App, int &ExitCode);

  /// Returns 0 if all decisions are the same, 1 if any differ, and 2 if a file
  /// cannot be read or holds no trace. The differences go to Output, what
  /// cannot be read to Errors.
  static int run(const std::vector<std::string> &Files, std::ostream &Output,
                 std::ostream &Errors);

private:
  std::vector<std::string> m_Files;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_REPLAYCOMMAND_H
