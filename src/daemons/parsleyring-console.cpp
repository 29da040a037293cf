#include "console/ConsoleNode.h"
#include "core/TerminationSignals.h"
#include "settings/DaemonProgram.h"

using namespace parsleyring;

static void runConsole(const Settings &Options) {
  TerminationSignals Signals;
  ConsoleNode Node(Options);
  Node.start();
  Signals.wait();
  Node.stop();
}

int main(int ArgumentCount, char **Arguments) {
  DaemonProgram Program("Web console in which operators edit and publish the "
                        "configuration",
                        Settings::Program::Console);
  return Program.run(ArgumentCount, Arguments, runConsole);
}
