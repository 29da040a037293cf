#ifndef PARSLEYRING_GATEWAY_CRASHDETECTOR_H
#define PARSLEYRING_GATEWAY_CRASHDETECTOR_H

#include "gateway/EndpointClient.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// Tells crashes of engines from connections that were merely cut: an engine
/// that has closed the connection of a request, although it was not leaving, is
/// asked for its report. If it does not answer either, it has crashed.
class CrashDetector {
public:
  struct Crash {
    FleetTable::Handle m_Endpoint;
    Time m_At{}; ///< When the first connection was closed.
    /// Requests that were cut off before they were answered, by the parts of
    /// their prompts.
    std::map<std::string, std::uint32_t> m_RequestsBySuspect;
    /// False if the crash was reported before, with fewer requests.
    bool m_IsNew = true;
  };
  using CrashHandler = std::function<void(const Crash &)>;

  CrashDetector(boost::asio::io_context &Loop, EndpointClient &Client,
                const EndpointProtocol &Protocol, std::function<Time()> Now,
                CrashHandler OnCrash);
  ~CrashDetector();

  /// Endpoint has closed the connection of a request before it was answered.
  void noteCutOff(const FleetTable::Handle &Endpoint,
                  const std::vector<std::string> &Suspects);
  /// Forgets crashes that are too old for further requests to be cut off.
  void expire();

private:
  struct Check;

  void ask(const std::shared_ptr<Check> &Asked);
  void handleReply(const std::shared_ptr<Check> &Asked, const CallReply &Reply);

  boost::asio::io_context &m_Loop;
  EndpointClient &m_Client;
  const EndpointProtocol &m_Protocol;
  std::function<Time()> m_Now;
  CrashHandler m_OnCrash;
  std::map<const FleetEndpoint *, std::shared_ptr<Check>> m_Checks;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CRASHDETECTOR_H
