#ifndef PARSLEYRING_EMULATOR_PROXYADMIN_H
#define PARSLEYRING_EMULATOR_PROXYADMIN_H

#include "emulator/HttpServer.h"
#include "emulator/TcpProxy.h"

namespace parsleyring {

struct ProxyOptions {
  std::string m_Listen;
  std::string m_To;
  std::string m_Admin = "127.0.0.1:0";
};

/// HTTP interface that sets the faults of a TcpProxy.
///
/// POST /admin/faults takes an object with any of delay_ms, bytes_per_second,
/// cut, lose_to_server, lose_to_client, drop_answer_after, processes and
/// freeze_existing; absent fields keep their values. POST /admin/heal ends all
/// faults, but frozen connections stay silent. POST /admin/replace takes {from,
/// to}, see TcpProxy::Replacement; /admin/heal does not undo it.
class ProxyAdmin {
public:
  explicit ProxyAdmin(const ProxyOptions &Options);
  /// Prints "listening IP:port" (the proxy) and "admin IP:port" (this
  /// interface), and serves both.
  void run();

private:
  void respond(const EmulatorCall &Call, HttpReply &Reply);
  void setFaults(const std::string &Body);
  void setReplacement(const std::string &Body);

  const ProxyOptions m_Options;
  TcpProxy m_Proxy;
  HttpServer m_Server;
};

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_PROXYADMIN_H
