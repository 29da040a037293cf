#include "core/EndSignals.h"
#include "node/ListedPeerNetwork.h"
#include "node/RouterNode.h"
#include "settings/DaemonProgram.h"

using namespace parsleyring;

static void runNode(const Settings &Options) {
  EndSignals Signals;
  RouterNode Node(Options, [](const Settings &Own, const Incarnation &Self,
                              std::function<Time()> Now,
                              PlatformClient &Platform,
                              const PeerCallbacks &Callbacks) {
    return std::make_unique<ListedPeerNetwork>(Own, Self, std::move(Now),
                                               Platform, Callbacks);
  });
  Node.start();
  Signals.wait();
  Node.drain();
}

int main(int ArgumentCount, char **Arguments) {
  DaemonProgram Program("Routes requests through pipelines and to plain "
                        "services",
                        Settings::Program::Router);
  return Program.run(ArgumentCount, Arguments, runNode);
}
