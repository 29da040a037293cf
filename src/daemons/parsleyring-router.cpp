#include "core/TerminationSignals.h"
#include "node/RouterNode.h"
#include "node/VMListPeerNetwork.h"
#include "settings/DaemonProgram.h"

using namespace parsleyring;

static void runRouter(const Settings &Options) {
  TerminationSignals Signals;
  RouterNode Node(Options, [](const Settings &Own, const Incarnation &Self,
                              std::function<Time()> Now,
                              PlatformClient &Platform,
                              const PeerCallbacks &Callbacks) {
    return std::make_unique<VMListPeerNetwork>(Own, Self, std::move(Now),
                                               Platform, Callbacks);
  });
  Node.start();
  Signals.wait();
  Node.drain();
}

int main(int ArgumentCount, char **Arguments) {
  DaemonProgram Program("Routes requests through model pipelines and to "
                        "plain services",
                        Settings::Program::Router);
  return Program.run(ArgumentCount, Arguments, runRouter);
}
