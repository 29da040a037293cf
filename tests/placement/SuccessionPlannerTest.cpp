#include "placement/PlacementController.h"

#include "support/EngineFleet.h"
#include "support/TestMain.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

namespace {

constexpr Duration Tick = 80ms;

/// An engine that carries out orders as long as loading its layers takes.
struct SimulatedEngine {
  FleetTable::Handle m_Endpoint;
  LayerRange m_Ordered;
  Time m_LoadedAt{};
  bool m_IsLoading = false;
};

/// Engines whose layers a PlacementController decides.
class SimulatedFleet {
public:
  explicit SimulatedFleet(const EngineModel &Model) : m_Model(Model) {
    for (const FleetTable::Handle &Engine : placedEngines()) {
      Engine->m_ListedAt = m_Now - 60s;
      m_Engines.push_back({Engine, {}, {}, false});
    }
  }
  Time now() const { return m_Now; }
  std::size_t size() const { return m_Engines.size(); }
  FleetTable::Handle endpoint(std::size_t Index) const {
    return m_Engines[Index].m_Endpoint;
  }
  void addCopy(const FleetEndpoint &Former) {
    auto Added = std::make_shared<FleetEndpoint>();
    Added->m_Entry = Former.m_Entry;
    Added->m_Entry.m_Id = "new" + std::to_string(++m_Added);
    Added->m_Entry.m_Layers = {};
    Added->m_Entry.m_State = EndpointState::Ready;
    Added->m_ListedAt = m_Now;
    m_Engines.push_back({Added, {}, {}, false});
  }
  void remove(const FleetTable::Handle &Former) {
    m_Engines.erase(std::find_if(m_Engines.begin(), m_Engines.end(),
                                 [&](const SimulatedEngine &Engine) {
                                   return Engine.m_Endpoint == Former;
                                 }));
  }
  void run(Duration Length) {
    for (Time End = m_Now + Length; m_Now < End; m_Now += Tick)
      step();
  }
  /// Ranges held in a failure domain, in order.
  std::vector<std::pair<std::uint32_t, std::uint32_t>>
  ranges(const std::string &Domain) const {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> Result;
    for (const SimulatedEngine &Engine : m_Engines)
      if (Engine.m_Endpoint->m_Entry.m_FailureDomain == Domain)
        Result.emplace_back(Engine.m_Endpoint->m_Entry.m_Layers.m_First,
                            Engine.m_Endpoint->m_Entry.m_Layers.m_End);
    std::sort(Result.begin(), Result.end());
    return Result;
  }
  int refusedOrders() const { return m_RefusedOrders; }
  /// Longest time during which a failure domain had no ready holder of a layer.
  Duration longestGap() const { return m_LongestGap; }

private:
  void step() {
    std::vector<FleetTable::Handle> Endpoints;
    for (SimulatedEngine &Engine : m_Engines) {
      if (Engine.m_IsLoading && m_Now >= Engine.m_LoadedAt) {
        Engine.m_Endpoint->m_Entry.m_Layers = Engine.m_Ordered;
        Engine.m_IsLoading = false;
      }
      Endpoints.push_back(Engine.m_Endpoint);
    }
    for (const PlacementOrder &Order :
         m_Controller.tick(m_Model, Endpoints, m_Now))
      carryOut(Order);
    for (const char *Domain : {"a", "b", "c"})
      for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer)
        noteHolder(Domain, Layer);
  }
  void carryOut(const PlacementOrder &Order) {
    for (SimulatedEngine &Engine : m_Engines) {
      EndpointEntry &Entry = Engine.m_Endpoint->m_Entry;
      if (Entry.m_Id != Order.m_Endpoint)
        continue;
      if (Engine.m_IsLoading || Entry.m_State != EndpointState::Ready) {
        ++m_RefusedOrders;
        m_Controller.noteRefused(Order.m_Endpoint, m_Now);
        return;
      }
      double Count = Order.m_Layers.m_End - Order.m_Layers.m_First;
      Engine.m_Ordered = Order.m_Layers;
      Engine.m_IsLoading = true;
      Engine.m_LoadedAt =
          m_Now +
          Duration(static_cast<std::int64_t>(m_Model.m_LoadMilliseconds * 1000 *
                                             Count / m_Model.m_Layers));
    }
  }
  void noteHolder(const std::string &Domain, std::uint32_t Layer) {
    Time &HeldAt = m_HeldAt[{Domain, Layer}];
    bool IsHeld = std::any_of(
        m_Engines.begin(), m_Engines.end(), [&](const SimulatedEngine &Engine) {
          const EndpointEntry &Entry = Engine.m_Endpoint->m_Entry;
          return Entry.m_FailureDomain == Domain &&
                 Entry.m_State == EndpointState::Ready &&
                 Entry.m_Layers.m_First <= Layer &&
                 Layer < Entry.m_Layers.m_End;
        });
    if (IsHeld || HeldAt == Time{})
      HeldAt = m_Now;
    m_LongestGap = std::max(m_LongestGap, m_Now - HeldAt);
  }

  const EngineModel &m_Model;
  std::vector<SimulatedEngine> m_Engines;
  PlacementController m_Controller;
  std::map<std::pair<std::string, std::uint32_t>, Time> m_HeldAt;
  Time m_Now{1000s};
  Duration m_LongestGap{};
  int m_RefusedOrders = 0;
  int m_Added = 0;
};

} // namespace

TEST_GROUP(SuccessionPlanner) { EngineModel m_Model = largeModel(); };

// Pattern: engines are replaced one after the other, the new one first. Guards
// against a layout that each replacement makes worse, against layers without a
// holder for longer than loading them takes, and against orders to engines that
// are busy with an earlier one.
TEST(SuccessionPlanner, ReplacedEnginesHandOverTheirLayers) {
  for (unsigned Seed = 1; Seed <= 10; ++Seed) {
    std::minstd_rand Random(Seed);
    SimulatedFleet Fleet(m_Model);
    Fleet.run(5s);
    auto Before = Fleet.ranges("a");
    for (int Replaced = 0; Replaced < 21; ++Replaced) {
      FleetTable::Handle Former = Fleet.endpoint(Random() % Fleet.size());
      Fleet.addCopy(*Former);
      Fleet.run(1s);
      Former->m_Entry.m_State = EndpointState::Draining;
      Fleet.run(400ms);
      if (Random() % 2 == 0)
        Fleet.run(2s);
      Fleet.remove(Former);
    }
    Fleet.run(8s);
    std::string Message = "seed " + std::to_string(Seed);
    CHECK_TEXT(Before == Fleet.ranges("a"), Message.c_str());
    LONGS_EQUAL_TEXT(0, Fleet.refusedOrders(), Message.c_str());
    // No card can hold more than half of the layers, which load in 7 s.
    CHECK_TEXT(Fleet.longestGap() <= 7s + 3 * Tick, Message.c_str());
  }
}

// Guards against an order that an engine refused and that is taken for layers
// which it held and has lost, so that others are moved in its place.
TEST(SuccessionPlanner, RefusedOrderLeavesNoVacancy) {
  SuccessionPlanner Planner;
  std::vector<PlacementCard> Cards{{"e", "a", 72000, 2, {0, 16}},
                                   {"other", "a", 72000, 2, {}}};
  Cards[0].m_IsBusy = true;
  Time Now{1000s};
  Planner.plan(m_Model, Cards, Now);
  Cards[0].m_Layers = {};
  LONGS_EQUAL(0, Planner.plan(m_Model, Cards, Now + 80ms).size());
  // If the successor refuses the order, another one gets it.
  Cards = {{"e", "a", 72000, 2, {0, 16}},
           {"f", "a", 60000, 2, {}},
           {"g", "a", 60000, 2, {}}};
  SuccessionPlanner Next;
  Next.plan(m_Model, Cards, Now);
  Cards.erase(Cards.begin());
  for (PlacementCard &Card : Cards)
    Card = {Card.m_Endpoint, "a", 60000, 2, {}};
  auto Orders = Next.plan(m_Model, Cards, Now + 1s);
  LONGS_EQUAL(1, Orders.size());
  for (PlacementCard &Card : Cards) {
    Card.m_Layers = {};
    Card.m_IsBusy = Card.m_Endpoint == Orders[0].m_Endpoint;
  }
  LONGS_EQUAL(0, Next.plan(m_Model, Cards, Now + 1100ms).size());
  for (PlacementCard &Card : Cards)
    Card.m_IsBusy = false;
  Orders = Next.plan(m_Model, Cards, Now + 3s);
  LONGS_EQUAL(1, Orders.size());
  CHECK(Orders[0].m_Layers == (LayerRange{0, 16}));
}

// Guards against a new engine that is left empty when no other one leaves.
TEST(SuccessionPlanner, AddedEnginesGetLayersSoon) {
  SimulatedFleet Fleet(m_Model);
  Fleet.run(5s);
  Fleet.addCopy(*Fleet.endpoint(Fleet.size() - 1));
  Fleet.run(12s);
  const LayerRange &Layers = Fleet.endpoint(Fleet.size() - 1)->m_Entry.m_Layers;
  CHECK(Layers.m_End > Layers.m_First);
}

// Guards against a failure domain without some layers after an engine was
// taken away and not replaced.
TEST(SuccessionPlanner, LayersOfALostEngineAreCovered) {
  for (std::size_t Lost = 0; Lost < 33; ++Lost) {
    SimulatedFleet Fleet(m_Model);
    Fleet.run(5s);
    Fleet.remove(Fleet.endpoint(Lost));
    Fleet.run(20s);
    CHECK(Fleet.longestGap() <= 8s);
  }
}

PARSLEYRING_TEST_MAIN
