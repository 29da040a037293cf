#ifndef PARSLEYRING_AUDIT_EXPLAINCOMMAND_H
#define PARSLEYRING_AUDIT_EXPLAINCOMMAND_H

#include <iosfwd>
#include <string>
#include <vector>

namespace CLI {
class App;
} // namespace CLI

namespace parsleyring {

/// "parsleyring explain REQUEST-ID FILE...": explains what happened to a
/// request, from the audit records or gateway logs of any number of VMs.
class ExplainCommand {
public:
  static constexpr int NotFoundExitCode = 1;
  static constexpr int UsageExitCode = 2;

  /// Adds the subcommand. Running it sets ExitCode to 0, NotFoundExitCode, or
  /// UsageExitCode if a file cannot be read or the id is malformed.
  static void addTo(CLI::App &App, int &ExitCode);

  static int explain(const std::string &RequestId,
                     const std::vector<std::string> &Files,
                     std::ostream &Output, std::ostream &Errors);

private:
  std::string m_RequestId;
  std::vector<std::string> m_Files;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_EXPLAINCOMMAND_H
