#ifndef PARSLEYRING_CONSOLE_CONSOLENODE_H
#define PARSLEYRING_CONSOLE_CONSOLENODE_H

#include "parsleyring/Settings.h"

#include <memory>

namespace parsleyring {

/// The console with its server, platform client and audit records.
class ConsoleNode {
public:
  /// Throws std::runtime_error if it cannot listen.
  explicit ConsoleNode(const Settings &Options);
  ~ConsoleNode();

  void start();
  /// Ends the requests in progress first.
  void stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLENODE_H
