#include "placement/PlacementController.h"

#include "support/EngineFleet.h"
#include "support/TestMain.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(PlacementController) {
  EngineModel m_Model = largeModel();
  std::vector<FleetTable::Handle> m_Engines = placedEngines();
  PlacementController m_Controller;
  Time m_Now{1000s};

  void setup() override {
    for (const auto &Engine : m_Engines) {
      Engine->m_Entry.m_Layers = {};
      Engine->m_ListedAt = m_Now;
    }
  }
  std::vector<PlacementOrder> tick() {
    return m_Controller.tick(m_Model, m_Engines, m_Now);
  }
  FleetTable::Handle find(const std::string &Id) const {
    return *std::find_if(
        m_Engines.begin(), m_Engines.end(),
        [&](const auto &Engine) { return Engine->m_Entry.m_Id == Id; });
  }
  void completeOrders(const std::vector<PlacementOrder> &Orders) const {
    for (const PlacementOrder &Order : Orders)
      find(Order.m_Endpoint)->m_Entry.m_Layers = Order.m_Layers;
  }
};

// Guards against a first layout that uses only the engines listed first.
TEST(PlacementController, WaitsUntilAllEnginesAreListed) {
  LONGS_EQUAL(0, tick().size());
  m_Now += 1s;
  m_Engines.back()->m_ListedAt = m_Now;
  LONGS_EQUAL(0, tick().size());
  m_Now += 1400ms;
  LONGS_EQUAL(m_Engines.size(), tick().size());
}

// Guards against repeating orders while engines load.
TEST(PlacementController, DoesNotRepeatOrdersInProgress) {
  tick();
  m_Now += 5s;
  auto Orders = tick();
  LONGS_EQUAL(m_Engines.size(), Orders.size());
  m_Now += 1s;
  LONGS_EQUAL(0, tick().size());
  completeOrders(Orders);
  m_Now += 60s;
  LONGS_EQUAL(0, tick().size());
}

// Guards against ordering other layers while an unanswered order may still be
// carried out, seconds later.
TEST(PlacementController, WaitsForUnansweredOrders) {
  tick();
  m_Now += 5s;
  auto Orders = tick();
  const std::string Lost = Orders.front().m_Endpoint;
  m_Controller.noteUnanswered(Lost, m_Now);
  completeOrders({Orders.begin() + 1, Orders.end()});
  m_Now += 12s;
  LONGS_EQUAL(0, tick().size());
  m_Now += 2s;
  Orders = tick();
  LONGS_EQUAL(1, Orders.size());
  STRCMP_EQUAL(Lost.c_str(), Orders[0].m_Endpoint.c_str());
}

// Guards against an engine that restarts while loading and stays empty.
TEST(PlacementController, OrdersAgainAfterARestart) {
  tick();
  m_Now += 5s;
  auto Orders = tick();
  completeOrders(Orders);
  auto Restarted = find(Orders[3].m_Endpoint);
  Restarted->m_Entry.m_StartTimeMs = 77;
  Restarted->m_Entry.m_Layers = {};
  m_Now += 1s;
  Orders = tick();
  LONGS_EQUAL(1, Orders.size());
  STRCMP_EQUAL(Restarted->m_Entry.m_Id.c_str(), Orders[0].m_Endpoint.c_str());
}

// Guards against a new placement leader that repeats orders for layers that the
// engines already hold.
TEST(PlacementController, NewLeaderKeepsTheReportedLayers) {
  tick();
  m_Now += 5s;
  completeOrders(tick());
  PlacementController Next;
  LONGS_EQUAL(0, Next.tick(m_Model, m_Engines, m_Now).size());
  LONGS_EQUAL(0, Next.tick(m_Model, m_Engines, m_Now + 5s).size());
}

// Guards against a failure domain that permanently keeps a range of layers with
// too little memory, and against moves while engines are only being replaced.
TEST(PlacementController, MovesAnEngineAfterALastingLoss) {
  tick();
  m_Now += 5s;
  completeOrders(tick());
  m_Now += 60s;
  LONGS_EQUAL(0, tick().size());
  // Remove a card of the fast chain of the failure domain.
  auto IsLost = [](const FleetTable::Handle &Engine) {
    return Engine->m_Entry.m_FailureDomain == "a" &&
           Engine->m_Entry.m_Layers.m_End == 80 &&
           Engine->m_Entry.m_CardKind == "l40s";
  };
  auto Lost = std::find_if(m_Engines.begin(), m_Engines.end(), IsLost);
  CHECK(Lost != m_Engines.end());
  m_Engines.erase(Lost);
  LONGS_EQUAL(0, tick().size());
  m_Now += 2s;
  LONGS_EQUAL(0, tick().size());
  m_Now += 2s;
  auto Moves = tick();
  LONGS_EQUAL(1, Moves.size());
  STRCMP_EQUAL("a", find(Moves[0].m_Endpoint)->m_Entry.m_FailureDomain.c_str());
  // There is at most one move at a time, and the moves come to an end.
  for (int Round = 0; Round < 40; ++Round) {
    completeOrders(Moves);
    m_Now += 1s;
    Moves = tick();
    CHECK(Moves.size() <= 1);
  }
  LONGS_EQUAL(0, Moves.size());
}

// Guards against layers that have no holder from when a leaving engine has
// ended, since its entry does not tell that it is leaving.
TEST(PlacementController, LayersOfAnEngineThatStatedLeavingAreReplaced) {
  tick();
  m_Now += 5s;
  completeOrders(tick());
  m_Now += 60s;
  LONGS_EQUAL(0, tick().size());
  FleetTable::Handle Leaving = m_Engines.front();
  auto Replacement = std::make_shared<FleetEndpoint>(*Leaving);
  Replacement->m_Entry.m_Id = "replacement";
  Replacement->m_Entry.m_Layers = {};
  Replacement->m_ListedAt = m_Now;
  m_Engines.push_back(Replacement);
  Leaving->m_HasStatedLeaving = true;
  auto Orders = tick();
  LONGS_EQUAL(1, Orders.size());
  STRCMP_EQUAL("replacement", Orders[0].m_Endpoint.c_str());
  CHECK(Orders[0].m_Layers == Leaving->m_Entry.m_Layers);
}

// Guards against entries with layers that the model does not have: the layout
// was planned with numbers of holders beyond the end of their list.
TEST(PlacementController, LayersBeyondTheModelAreLeftOut) {
  tick();
  m_Now += 5s;
  completeOrders(tick());
  for (std::uint32_t First : {0U, m_Model.m_Layers - 1, m_Model.m_Layers + 1}) {
    for (std::size_t Index = 0; Index < 3; ++Index)
      m_Engines[Index]->m_Entry.m_Layers = {First, ~0U - 1};
    for (int Round = 0; Round < 20; ++Round) {
      m_Now += 10s;
      auto Orders = tick();
      for (const PlacementOrder &Order : Orders)
        CHECK(Order.m_Layers.m_End <= m_Model.m_Layers);
      completeOrders(Orders);
    }
  }
}

PARSLEYRING_TEST_MAIN
