#include "placement/PlacementController.h"

#include "support/SimulatedFleet.h"
#include "support/TestMain.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(SuccessionPlanner) { EngineModel m_Model = largeModel(); };

// Pattern: engines are replaced one after the other, the new one first. Guards
// against a layout that each replacement makes worse, against layers without a
// holder for longer than loading them takes, and against orders to engines that
// are busy with an earlier one.
TEST(SuccessionPlanner, ReplacedEnginesHandOverTheirLayers) {
  for (unsigned Seed = 1; Seed <= 10; ++Seed) {
    std::minstd_rand Random(Seed);
    SimulatedFleet Fleet(m_Model, placedEngines());
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
    CHECK_TEXT(Fleet.longestGap() <= 7s + 3 * SimulatedFleet::Tick,
               Message.c_str());
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
  SimulatedFleet Fleet(m_Model, placedEngines());
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
    SimulatedFleet Fleet(m_Model, placedEngines());
    Fleet.run(5s);
    Fleet.remove(Fleet.endpoint(Lost));
    Fleet.run(20s);
    CHECK(Fleet.longestGap() <= 8s);
  }
}

PARSLEYRING_TEST_MAIN
