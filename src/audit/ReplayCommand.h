#ifndef PARSLEYRING_AUDIT_REPLAYCOMMAND_H
#define PARSLEYRING_AUDIT_REPLAYCOMMAND_H

#include <iosfwd>
#include <string>
#include <vector>

namespace CLI {
class App;
} // namespace CLI

namespace parsleyring {

/// "parsleyring replay": replays the recorded events of traces and compares the
/// decisions with the recorded ones.
class ReplayCommand {
public:
  /// Adds the subcommand. Running it sets ExitCode to the result of run().
  static void addTo(CLI::App &App, int &ExitCode);

  /// Returns 0 if all decisions are the same, 1 if any differ, and 2 if a file
  /// cannot be read or contains no trace. Differences are written to Output,
  /// unreadable files to Errors.
  static int run(const std::vector<std::string> &Files, std::ostream &Output,
                 std::ostream &Errors);

private:
  std::vector<std::string> m_Files;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_REPLAYCOMMAND_H
