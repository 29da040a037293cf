#ifndef PARSLEYRING_CONSOLE_CONSOLENODE_H
#define PARSLEYRING_CONSOLE_CONSOLENODE_H

#include "parsleyring/Settings.h"

#include <memory>

namespace parsleyring {

/// A console process: HTTP server, platform client and audit output.
class ConsoleNode {
public:
  /// Throws std::runtime_error if the server cannot listen.
  explicit ConsoleNode(const Settings &Options);
  ~ConsoleNode();

  void start();
  /// Waits for the requests in progress and flushes the audit records.
  void stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLENODE_H
