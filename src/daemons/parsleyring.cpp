#include <CLI/CLI.hpp>

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Checks, explains and replays for parsleyring operators");
  App.set_version_flag("--version", PARSLEYRING_VERSION);
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return 0;
}
