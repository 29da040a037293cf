#ifndef PARSLEYRING_GATEWAY_ENDPOINTCALLER_H
#define PARSLEYRING_GATEWAY_ENDPOINTCALLER_H

#include "gateway/ForwardContext.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace parsleyring {

/// Sends orders and asks for reports. Questions for the report of one engine
/// that come while one is under way share its answer.
class EndpointCaller {
public:
  using ReplyHandler = std::function<void(unsigned, const std::string &)>;

  EndpointCaller(boost::asio::io_context &Loop, ChannelPool &Channels,
                 const EndpointProtocol &Protocol, std::function<Time()> Now)
      : m_Loop(Loop), m_Channels(Channels), m_Protocol(Protocol),
        m_Now(std::move(Now)) {}

  void call(const FleetTable::Handle &Endpoint, const EndpointCall &Call,
            Duration Limit, ReplyHandler OnReply);
  void askReport(const FleetTable::Handle &Endpoint,
                 ForwardContext::ReportHandler OnReport);

private:
  struct KnownReport {
    Time m_At{};
    std::optional<EngineReport> m_Report;
  };

  void forgetOldReports();

  boost::asio::io_context &m_Loop;
  ChannelPool &m_Channels;
  const EndpointProtocol &m_Protocol;
  std::function<Time()> m_Now;
  std::map<const FleetEndpoint *, std::vector<ForwardContext::ReportHandler>>
      m_Waiting;
  std::map<const FleetEndpoint *, KnownReport> m_Reports;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENDPOINTCALLER_H
