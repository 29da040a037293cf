#ifndef PARSLEYRING_CONSOLE_CONSOLESERVER_H
#define PARSLEYRING_CONSOLE_CONSOLESERVER_H

#include "console/Console.h"

#include <memory>

namespace parsleyring {

/// HTTP server of the console. Each connection serves one request: operators
/// are few, and the unread rest of a rejected form cannot be taken for the next
/// request.
class ConsoleServer {
public:
  /// Binds to "IP:port", where port 0 picks a free one. Throws
  /// std::runtime_error. Pages and Now must outlive the server.
  ConsoleServer(const std::string &Address, Console &Pages,
                std::function<Time()> Now);
  ~ConsoleServer();

  void start();
  /// Waits for the requests in progress.
  void stop();
  int port() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLESERVER_H
