#include "audit/ExplainCommand.h"

#include "audit/HistoryText.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace parsleyring {

int ExplainCommand::explain(const std::string &RequestId,
                            const std::vector<std::string> &Files,
                            std::ostream &Output, std::ostream &Errors) {
  auto Id = parseOwnedId("req", RequestId);
  if (!Id) {
    Errors << RequestId << ": a request id is req-VM-INCARNATION-NUMBER\n";
    return UsageExitCode;
  }
  try {
    RequestHistory History = RequestHistory::fromFiles(*Id, Files);
    if (!History.isFound()) {
      Errors << "no record of request " << RequestId << " among "
             << History.recordCount() << " records; " << History.skippedLines()
             << " other lines skipped\n";
      return NotFoundExitCode;
    }
    HistoryText(History).write(Output);
  } catch (const AuditFileError &Error) {
    Errors << Error.what() << '\n';
    return UsageExitCode;
  }
  return 0;
}

void ExplainCommand::addTo(CLI::App &App, int &ExitCode) {
  auto Command = std::make_shared<ExplainCommand>();
  CLI::App *Explain = App.add_subcommand(
      "explain", "Tells from audit records what happened to a request");
  Explain
      ->add_option("request", Command->m_RequestId, "request id (X-Request-Id)")
      ->required();
  Explain
      ->add_option("files", Command->m_Files,
                   "files of audit records, of any number of VMs")
      ->required();
  Explain->callback([Command, &ExitCode] {
    ExitCode =
        explain(Command->m_RequestId, Command->m_Files, std::cout, std::cerr);
  });
}

} // namespace parsleyring
