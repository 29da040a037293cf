#include "audit/ExplainCommand.h"

#include "audit/GatewayHistory.h"
#include "audit/HistoryPrinter.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cctype>
#include <iostream>

namespace parsleyring {

static int explainGateway(const std::string &RequestId,
                          const std::vector<std::string> &Files,
                          std::ostream &Output, std::ostream &Errors) {
  GatewayHistory History(RequestId, Files);
  if (!History.isFound()) {
    Errors << "no line about request " << RequestId << " among "
           << History.lineCount() << " lines of gateways\n";
    return ExplainCommand::NotFoundExitCode;
  }
  History.write(Output);
  return 0;
}

int ExplainCommand::explain(const std::string &RequestId,
                            const std::vector<std::string> &Files,
                            std::ostream &Output, std::ostream &Errors) {
  auto Id = parseOwnedId("req", RequestId);
  bool IsToken = std::all_of(
      RequestId.begin(), RequestId.end(),
      [](unsigned char Character) { return std::isalnum(Character) != 0; });
  if (!Id && (RequestId.empty() || !IsToken)) {
    Errors << RequestId
           << ": not a request id; expected req-VM-INCARNATION-NUMBER, or the "
              "attempt id for logs of gateways\n";
    return UsageExitCode;
  }
  try {
    if (!Id)
      return explainGateway(RequestId, Files, Output, Errors);
    RequestHistory History = RequestHistory::fromFiles(*Id, Files);
    if (!History.isFound()) {
      Errors << "no record of request " << RequestId << " among "
             << History.recordCount() << " records; " << History.skippedLines()
             << " other lines skipped\n";
      return NotFoundExitCode;
    }
    HistoryPrinter(History).write(Output);
  } catch (const AuditFileError &Error) {
    Errors << Error.what() << '\n';
    return UsageExitCode;
  }
  return 0;
}

void ExplainCommand::addTo(CLI::App &App, int &ExitCode) {
  auto Command = std::make_shared<ExplainCommand>();
  CLI::App *Explain = App.add_subcommand(
      "explain", "Explains from audit records what happened to a request");
  Explain
      ->add_option(
          "request", Command->m_RequestId,
          "request id (X-Request-Id), or the attempt id of the platform")
      ->required();
  Explain
      ->add_option("files", Command->m_Files,
                   "audit records or gateway logs of any number of VMs")
      ->required();
  Explain->callback([Command, &ExitCode] {
    ExitCode =
        explain(Command->m_RequestId, Command->m_Files, std::cout, std::cerr);
  });
}

} // namespace parsleyring
