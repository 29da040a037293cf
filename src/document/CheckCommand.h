#ifndef PARSLEYRING_DOCUMENT_CHECKCOMMAND_H
#define PARSLEYRING_DOCUMENT_CHECKCOMMAND_H

#include "parsleyring/Settings.h"

namespace CLI {
class App;
} // namespace CLI

namespace parsleyring {

/// "parsleyring check": validates a settings file or a document and writes all
/// findings to standard error, one per line.
class CheckCommand {
public:
  /// Adds the subcommand. Running it sets ExitCode to 0, or to 2 if there are
  /// findings.
  static void addTo(CLI::App &App, int &ExitCode);

  static std::vector<Finding> checkSettings(const std::string &Path,
                                            Settings::Program Reader);
  static std::vector<Finding> checkDocument(const std::string &Path);

private:
  int run() const;

  std::string m_SettingsPath;
  std::string m_DocumentPath;
  std::string m_Program = "router";
};

} // namespace parsleyring

#endif // PARSLEYRING_DOCUMENT_CHECKCOMMAND_H
