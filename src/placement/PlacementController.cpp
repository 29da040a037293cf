#include "placement/PlacementController.h"

#include <algorithm>

namespace parsleyring {

// The engines of a starting deployment are listed one after the other. A layout
// of only the first ones gives each of them too many layers, which leaves no
// memory for requests.
static constexpr Duration SettleTime = std::chrono::milliseconds(1300);
static constexpr Duration MaxSettleTime = std::chrono::seconds(4);
// An order that got no answer may still be carried out within this time.
static constexpr Duration UnansweredOrderTimeout = std::chrono::seconds(13);
// Added to the load time: delay until the engine's entry shows the layers.
static constexpr Duration ListingDelay = std::chrono::seconds(4);
// Added if the engine gives up all layers that it holds: it loads the new ones
// only when its requests have ended. A traced move took 7.6 s in all. An order
// that counts as failed too early is followed by others for the same layers.
static constexpr Duration DrainTime = std::chrono::seconds(8);
// An engine refuses orders while it carries out an earlier one.
static constexpr Duration RefusedOrderPause = std::chrono::seconds(2);
// Engines that are being replaced or are briefly cut off leave the list and
// return within seconds. Moves are made only after lasting changes.
static constexpr Duration MoveSettleTime = std::chrono::seconds(3);
// Limits how often moves are searched for, since each search takes
// milliseconds.
static constexpr Duration MoveInterval = std::chrono::seconds(2);

// An engine that does not answer for this long is taken to have crashed, so
// that layers without another holder are loaded elsewhere before its entry
// expires, some 3 s after the crash. Shorter silences often end.
static constexpr Duration CrashSuspicionTime = std::chrono::seconds(1);
// More suspected engines of one failure domain at once are cut off rather than
// crashed.
static constexpr std::ptrdiff_t MaxCrashedInDomain = 3;

bool PlacementController::isSettled(
    const std::vector<FleetTable::Handle> &Endpoints, Time Now) const {
  if (Now - m_FirstSeenAt > MaxSettleTime)
    return true;
  return std::all_of(Endpoints.begin(), Endpoints.end(),
                     [Now](const FleetTable::Handle &Endpoint) {
                       return Now - Endpoint->m_ListedAt > SettleTime;
                     });
}

void PlacementController::removeEndedOrders(
    const std::vector<FleetTable::Handle> &Endpoints, Time Now) {
  for (auto Order = m_Pending.begin(); Order != m_Pending.end();) {
    auto Found = std::find_if(Endpoints.begin(), Endpoints.end(),
                              [&](const FleetTable::Handle &Endpoint) {
                                return Endpoint->m_Entry.m_Id == Order->first;
                              });
    bool IsEnded =
        Found == Endpoints.end() || Now >= Order->second.m_ExpiresAt ||
        (*Found)->m_Entry.m_StartTimeMs != Order->second.m_StartTimeMs ||
        (*Found)->m_Entry.m_Layers == Order->second.m_Layers;
    Order = IsEnded ? m_Pending.erase(Order) : std::next(Order);
  }
}

// An entry may state any layers, and an order may be older than the model. The
// planners index lists of the model's layers with them.
static LayerRange layersOfModel(const EngineModel &Model, LayerRange Layers) {
  return {std::min(Layers.m_First, Model.m_Layers),
          std::min(Layers.m_End, Model.m_Layers)};
}

std::vector<PlacementOrder>
PlacementController::tick(const EngineModel &Model,
                          const std::vector<FleetTable::Handle> &Endpoints,
                          Time Now) {
  if (Endpoints.empty())
    return {};
  if (m_FirstSeenAt == Time{})
    m_FirstSeenAt = Now;
  removeEndedOrders(Endpoints, Now);
  for (auto Refused = m_BusyUntil.begin(); Refused != m_BusyUntil.end();)
    Refused = Now >= Refused->second ? m_BusyUntil.erase(Refused)
                                     : std::next(Refused);
  if (!m_HasPlanned && !isSettled(Endpoints, Now))
    return {};
  m_HasPlanned = true;
  std::vector<PlacementCard> Cards;
  for (const FleetTable::Handle &Endpoint : Endpoints) {
    const EndpointEntry &Entry = Endpoint->m_Entry;
    const CardKind *Kind = Model.cardKind(Entry.m_CardKind);
    if (!Kind || Endpoint->isLeaving() || Endpoint->m_IsRemoved)
      continue;
    PlacementCard Card{Entry.m_Id, Entry.m_FailureDomain,
                       Kind->m_MemoryMegabytes, Kind->m_StepFactor,
                       layersOfModel(Model, Entry.m_Layers)};
    Card.m_Slots = Entry.m_Slots;
    auto Pending = m_Pending.find(Entry.m_Id);
    if (Pending != m_Pending.end())
      Card.m_Layers = layersOfModel(Model, Pending->second.m_Layers);
    auto Refused = m_BusyUntil.find(Entry.m_Id);
    Card.m_IsBusy = Pending != m_Pending.end() ||
                    (Refused != m_BusyUntil.end() && Now < Refused->second);
    Cards.push_back(std::move(Card));
  }
  trackLayout(Cards, Now);
  trackSuspicions(Endpoints, Now);
  std::vector<PlacementOrder> Orders;
  bool IsFirstLayout =
      std::all_of(Cards.begin(), Cards.end(),
                  [](const PlacementCard &Card) { return Card.isEmpty(); });
  if (!IsFirstLayout)
    Orders = m_Succession.plan(Model, Cards, Now);
  for (const PlacementOrder &Order : Orders)
    for (PlacementCard &Card : Cards)
      if (Card.m_Endpoint == Order.m_Endpoint)
        Card.m_IsBusy = true;
  for (PlacementOrder &Order :
       LayoutPlanner::plan(Model, withoutCrashed(Cards, Now)))
    Orders.push_back(std::move(Order));
  bool IsStable = Orders.empty() && m_Pending.empty() &&
                  Now - m_LayoutChangedAt >= MoveSettleTime;
  if (IsStable && Now >= m_NextMoveSearchAt) {
    Orders = LayoutPlanner::planMoves(Model, Cards);
    m_NextMoveSearchAt = Now + MoveInterval;
  }
  addPendingOrders(Model, Endpoints, Orders, Now);
  return Orders;
}

// An endpoint that rejects requests is avoided for shorter times than one that
// does not answer.
void PlacementController::trackSuspicions(
    const std::vector<FleetTable::Handle> &Endpoints, Time Now) {
  constexpr Duration MaxRejectionPause =
      FleetEndpoint::RejectionPause *
      (1 << FleetEndpoint::MaxRejectionDoublings);
  std::map<std::string, Time> SuspectedSince;
  for (const FleetTable::Handle &Endpoint : Endpoints) {
    const std::string &Id = Endpoint->m_Entry.m_Id;
    auto Known = m_SuspectedSince.find(Id);
    if (Endpoint->m_SuspectUntil <= Now)
      continue;
    if (Known != m_SuspectedSince.end())
      SuspectedSince.insert(*Known);
    else if (Endpoint->m_SuspectUntil - Now > MaxRejectionPause)
      SuspectedSince[Id] = Now;
  }
  m_SuspectedSince = std::move(SuspectedSince);
}

std::vector<PlacementCard>
PlacementController::withoutCrashed(const std::vector<PlacementCard> &Cards,
                                    Time Now) const {
  auto IsSuspected = [&](const PlacementCard &Card) {
    auto Known = m_SuspectedSince.find(Card.m_Endpoint);
    return Known != m_SuspectedSince.end() &&
           Now - Known->second >= CrashSuspicionTime;
  };
  std::map<std::string, std::ptrdiff_t> SuspectedByDomain;
  for (const PlacementCard &Card : Cards)
    SuspectedByDomain[Card.m_FailureDomain] += IsSuspected(Card);
  std::vector<PlacementCard> Result;
  for (const PlacementCard &Card : Cards)
    if (!IsSuspected(Card) ||
        SuspectedByDomain[Card.m_FailureDomain] > MaxCrashedInDomain)
      Result.push_back(Card);
  return Result;
}

void PlacementController::trackLayout(const std::vector<PlacementCard> &Cards,
                                      Time Now) {
  std::vector<PlacementOrder> Layout;
  for (const PlacementCard &Card : Cards)
    Layout.push_back({Card.m_Endpoint, Card.m_Layers});
  bool IsSame = std::equal(
      Layout.begin(), Layout.end(), m_LastLayout.begin(), m_LastLayout.end(),
      [](const PlacementOrder &Left, const PlacementOrder &Right) {
        return Left.m_Endpoint == Right.m_Endpoint &&
               Left.m_Layers == Right.m_Layers;
      });
  if (IsSame)
    return;
  m_LastLayout = std::move(Layout);
  m_LayoutChangedAt = Now;
}

void PlacementController::addPendingOrders(
    const EngineModel &Model, const std::vector<FleetTable::Handle> &Endpoints,
    const std::vector<PlacementOrder> &Orders, Time Now) {
  // Engines that load at the same time slow each other down.
  double LoadRounds = 1.0 + static_cast<double>(Orders.size()) /
                                std::max(1u, Model.m_ConcurrentLoads);
  for (const PlacementOrder &Order : Orders) {
    double LayerFraction =
        static_cast<double>(Order.m_Layers.m_End - Order.m_Layers.m_First) /
        Model.m_Layers;
    Duration Load(static_cast<std::int64_t>(Model.m_LoadMilliseconds *
                                            LayerFraction * LoadRounds * 1000));
    auto Endpoint =
        std::find_if(Endpoints.begin(), Endpoints.end(),
                     [&](const FleetTable::Handle &Candidate) {
                       return Candidate->m_Entry.m_Id == Order.m_Endpoint;
                     });
    const LayerRange &Held = (*Endpoint)->m_Entry.m_Layers;
    bool IsMove =
        Held.m_First < Held.m_End && (Order.m_Layers.m_First >= Held.m_End ||
                                      Held.m_First >= Order.m_Layers.m_End);
    m_Pending[Order.m_Endpoint] = {
        Order.m_Layers, (*Endpoint)->m_Entry.m_StartTimeMs,
        Now + Load + ListingDelay + (IsMove ? DrainTime : Duration{})};
  }
}

void PlacementController::noteRefused(const std::string &Endpoint, Time Now) {
  m_Pending.erase(Endpoint);
  m_BusyUntil[Endpoint] = Now + RefusedOrderPause;
}

void PlacementController::clear() {
  m_Pending.clear();
  m_BusyUntil.clear();
  m_SuspectedSince.clear();
  m_Succession.clear();
}

void PlacementController::noteUnanswered(const std::string &Endpoint,
                                         Time Now) {
  auto Order = m_Pending.find(Endpoint);
  if (Order != m_Pending.end())
    Order->second.m_ExpiresAt = Now + UnansweredOrderTimeout;
}

} // namespace parsleyring
