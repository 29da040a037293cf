#include "gateway/PlacementDuty.h"

namespace parsleyring {

static constexpr std::uint64_t PlacementTicks = 10;
static constexpr std::uint64_t ChangedPlacementTicks = 2;

bool PlacementDuty::isDue(std::uint64_t Ticks) const {
  // A change of the list may leave layers without a holder.
  bool HasNewList = m_PlacedGeneration != m_Used.m_Fleet.generation();
  return Ticks % (HasNewList ? ChangedPlacementTicks : PlacementTicks) == 0;
}

void PlacementDuty::tick(bool IsStopping) {
  m_PlacedGeneration = m_Used.m_Fleet.generation();
  Time Now = m_Now();
  bool IsLeader = m_Used.m_Lease.isLeader(Now) && !IsStopping;
  if (IsLeader != m_WasLeader) {
    m_WasLeader = IsLeader;
    m_Placement.clear();
    m_Used.m_Log.write(
        Now, IsLeader ? "duty-taken" : "duty-lost", "",
        {{"era", std::int64_t(m_Used.m_StoreWatcher.version().m_Era)},
         {"token", std::int64_t(m_Used.m_Lease.fencingToken())}});
  }
  const std::shared_ptr<const RouteTable> &Table =
      m_Used.m_Configuration.table();
  if (!IsLeader || !Table || !m_Used.m_StoreWatcher.isAvailable())
    return;
  for (const auto &[Name, Service] : Table->m_Services) {
    if (!Service.isLayered())
      continue;
    for (const PlacementOrder &Order : m_Placement[Name].tick(
             *Service.m_Engine, m_Used.m_Fleet.endpointsOfService(Name), Now))
      sendOrder(Name, Order);
  }
}

void PlacementDuty::sendOrder(const std::string &Service,
                              const PlacementOrder &Order) {
  FleetTable::Handle Endpoint = m_Used.m_Fleet.find(Order.m_Endpoint);
  if (!Endpoint)
    return;
  m_Used.m_Metrics.countOrder("place");
  m_Used.m_Log.write(m_Now(), "order", "",
                     {{"endpoint", Order.m_Endpoint},
                      {"first_layer", std::int64_t(Order.m_Layers.m_First)},
                      {"end_layer", std::int64_t(Order.m_Layers.m_End)},
                      {"token", std::int64_t(m_Used.m_Lease.fencingToken())}});
  m_Used.m_EndpointClient.call(
      Endpoint, m_Used.m_Protocol.placeCall(Order.m_Layers),
      EndpointClient::OrderTimeout,
      [this, Service, Order](const CallReply &Reply) {
        m_Used.m_Log.write(
            m_Now(), "order-answer", "",
            {{"endpoint", Order.m_Endpoint},
             {"status", std::int64_t(Reply.m_Status)},
             {"body", std::string_view(Reply.m_Body).substr(0, 200)}});
        if (Reply.m_Status == 0)
          m_Placement[Service].noteUnanswered(Order.m_Endpoint, m_Now());
        else if (Reply.m_Status >= 300)
          m_Placement[Service].noteRefused(Order.m_Endpoint, m_Now());
      });
}

} // namespace parsleyring
