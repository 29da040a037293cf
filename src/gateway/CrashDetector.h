#ifndef PARSLEYRING_GATEWAY_CRASHDETECTOR_H
#define PARSLEYRING_GATEWAY_CRASHDETECTOR_H

#include "gateway/ConnectionProbe.h"
#include "gateway/EndpointClient.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// Tells crashes of endpoints from connections that were merely cut: an
/// endpoint that has closed the connection of a request, although it was not
/// leaving, is checked. An engine has crashed if it does not answer a request
/// for its report either, an endpoint of a plain service if it refuses
/// connections. One that is only silent has not crashed.
class CrashDetector {
public:
  enum class Method { Report, Connection };
  /// The requests with a suspect that a crash cut off.
  struct CutOff {
    std::uint32_t m_Requests = 0;
    Time m_SentAt{}; ///< Of the first one; zero if unknown.
  };
  struct Crash {
    FleetTable::Handle m_Endpoint;
    Time m_At{}; ///< When the first connection was closed.
    /// Requests that were cut off before they were answered, by their suspects.
    std::map<std::string, CutOff> m_CutOffs;
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
                  const std::vector<std::string> &Suspects, Time SentAt,
                  Method Used);
  /// True if Endpoint was found to have crashed a short time ago.
  bool hasCrashed(const FleetEndpoint &Endpoint) const;
  /// Forgets crashes that are too old for further requests to be cut off.
  void expire();

private:
  struct Check;

  void askAfter(const std::shared_ptr<Check> &Asked, Duration Delay);
  void ask(const std::shared_ptr<Check> &Asked);
  void handleResult(const std::shared_ptr<Check> &Asked, bool IsGone);

  boost::asio::io_context &m_Loop;
  EndpointClient &m_Client;
  const EndpointProtocol &m_Protocol;
  std::function<Time()> m_Now;
  CrashHandler m_OnCrash;
  std::map<const FleetEndpoint *, std::shared_ptr<Check>> m_Checks;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_CRASHDETECTOR_H
