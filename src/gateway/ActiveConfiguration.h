#ifndef PARSLEYRING_GATEWAY_ACTIVECONFIGURATION_H
#define PARSLEYRING_GATEWAY_ACTIVECONFIGURATION_H

#include "fleet/RouteTable.h"
#include "gateway/DecisionLog.h"
#include "gateway/EndpointProtocol.h"
#include "gateway/NodeMetrics.h"
#include "store/StoreProtocol.h"

#include <functional>
#include <memory>

namespace parsleyring {

/// The routing configuration that this VM has in force. It stays until there is
/// a valid one of a higher version.
class ActiveConfiguration {
public:
  /// Records, Log and Metrics must outlive the object.
  ActiveConfiguration(const RecordFormat &Records, DecisionLog &Log,
                      NodeMetrics &Metrics, std::function<Time()> Now)
      : m_Records(Records), m_Log(Log), m_Metrics(Metrics),
        m_Now(std::move(Now)) {}

  /// Null until a configuration is in force.
  const std::shared_ptr<const RouteTable> &table() const { return m_Table; }
  /// 0 if none is in force.
  ConfigurationVersion version() const {
    return m_Table ? m_Table->m_Version : 0;
  }

  /// Applies the item of the store.
  void apply(const StoreItem &Item);
  /// The store begins a new era, in which it gives revisions out again.
  void noteRestored() { m_Revision = 0; }

private:
  const RecordFormat &m_Records;
  DecisionLog &m_Log;
  NodeMetrics &m_Metrics;
  std::function<Time()> m_Now;
  std::shared_ptr<const RouteTable> m_Table;
  std::uint64_t m_Revision = 0; ///< Of the last item, also if it is not valid.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_ACTIVECONFIGURATION_H
