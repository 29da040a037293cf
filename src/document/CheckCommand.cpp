#include "document/CheckCommand.h"

#include "core/ReadFile.h"
#include "document/DocumentReader.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <memory>

namespace parsleyring {

static constexpr int FindingsExitCode = 2;

static std::vector<Finding> sortedByLine(std::vector<Finding> Findings) {
  std::stable_sort(Findings.begin(), Findings.end(),
                   [](const Finding &Left, const Finding &Right) {
                     return Left.m_Line < Right.m_Line;
                   });
  return Findings;
}

std::vector<Finding> CheckCommand::checkSettings(const std::string &Path,
                                                 Settings::Program Reader) {
  std::vector<Finding> Findings;
  Settings::fromFile(Path, Reader, Findings);
  return sortedByLine(std::move(Findings));
}

std::vector<Finding> CheckCommand::checkDocument(const std::string &Path) {
  std::vector<Finding> Findings;
  std::optional<std::string> Text = readFile(Path, Findings);
  if (!Text)
    return Findings;
  DocumentReader Reader;
  Reader.add(Path, *Text, Findings);
  Reader.check(DocumentChecker(), Findings);
  return sortedByLine(std::move(Findings));
}

int CheckCommand::run() const {
  auto Reader = m_Program == "console" ? Settings::Program::Console
                                       : Settings::Program::Router;
  std::vector<Finding> Findings = m_DocumentPath.empty()
                                      ? checkSettings(m_SettingsPath, Reader)
                                      : checkDocument(m_DocumentPath);
  for (const Finding &Each : Findings)
    std::cerr << toString(Each) << '\n';
  return Findings.empty() ? 0 : FindingsExitCode;
}

void CheckCommand::addTo(CLI::App &App, int &ExitCode) {
  auto Command = std::make_shared<CheckCommand>();
  CLI::App *Check =
      App.add_subcommand("check", "Checks a settings file or a document");
  CLI::Option_group *Input = Check->add_option_group("input");
  CLI::Option *SettingsFile = Input->add_option(
      "--settings", Command->m_SettingsPath, "settings file (TOML)");
  Input->add_option("--document", Command->m_DocumentPath, "document (TOML)");
  Input->require_option(1);
  Check
      ->add_option("--program", Command->m_Program,
                   "program that reads the settings")
      ->check(CLI::IsMember({"router", "console"}))
      ->needs(SettingsFile)
      ->capture_default_str();
  Check->callback([Command, &ExitCode] { ExitCode = Command->run(); });
}

} // namespace parsleyring
