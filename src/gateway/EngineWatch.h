#ifndef PARSLEYRING_GATEWAY_ENGINEWATCH_H
#define PARSLEYRING_GATEWAY_ENGINEWATCH_H

#include "gateway/ConnectionPool.h"
#include "gateway/EngineWatchPolicy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace parsleyring {

/// Keeps one idle connection to each engine with layers of this VM's failure
/// domain, while this VM is a representative of it. The end of the connection
/// shows a crash long before the silence of streams does, also of an engine in
/// the middle of paths, to which this VM sends nothing. No request is sent on
/// these connections. EngineWatchPolicy decides.
class EngineWatch {
public:
  using CrashHandler = std::function<void(const FleetTable::Handle &)>;

  /// The connections count towards the limit of Pool, which closes them first.
  /// Pool must outlive the object.
  EngineWatch(boost::asio::io_context &Loop, ConnectionPool &Pool,
              std::string FailureDomain, std::function<Time()> Now,
              CrashHandler OnCrash);
  ~EngineWatch();

  /// Follows a change of the endpoints of layered services, or of whether this
  /// VM watches. To be called several times per second.
  void update(const EngineWatchPolicy::Engines &Endpoints, bool IsOn);
  /// Checks an engine that another VM suspects.
  void check(const FleetTable::Handle &Engine);
  /// Number of open connections.
  std::size_t size() const { return m_Policy.size(); }

private:
  struct Connection;
  using ConnectionHandle = std::shared_ptr<Connection>;

  void connectDue();
  void scheduleConnects();
  void connect(const FleetTable::Handle &Engine);
  void handleConnect(const ConnectionHandle &Given,
                     boost::system::error_code Error);
  void read(const ConnectionHandle &Given);
  void handleRead(const ConnectionHandle &Given,
                  boost::system::error_code Error, std::size_t Size);
  bool isCurrent(const ConnectionHandle &Given) const;
  void close(const FleetEndpoint &Engine);
  /// Closes an open connection; false if there is none.
  bool giveUpOne();

  boost::asio::io_context &m_Loop;
  ConnectionPool &m_Pool;
  const std::string m_FailureDomain;
  std::function<Time()> m_Now;
  CrashHandler m_OnCrash;
  EngineWatchPolicy m_Policy;
  std::map<const FleetEndpoint *, ConnectionHandle> m_Connections;
  boost::asio::steady_timer m_ConnectTimer;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ENGINEWATCH_H
