#include "placement/LayoutPlanner.h"

#include "support/SimulatedFleet.h"
#include "support/TestMain.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

namespace {

/// Time from the crash of Count engines of one failure domain, holders of one
/// layer first, until a path exists there again. Nothing if the others hold all
/// layers, or cannot do so in their memory.
std::optional<Duration> timeToPath(const EngineModel &Model, unsigned Seed,
                                   std::ptrdiff_t Count, bool IsDetected) {
  std::mt19937 Random(Seed);
  auto Engines = placedEngines();
  for (const FleetTable::Handle &Engine : Engines)
    Engine->m_Entry.m_Layers = {};
  SimulatedFleet Fleet(Model, Engines);
  Fleet.setDrainTime(5s);
  Fleet.run(15s);
  const std::string Domain(1, static_cast<char>('a' + Random() % 3));
  std::vector<FleetTable::Handle> Members;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    if (Fleet.endpoint(Index)->m_Entry.m_FailureDomain == Domain)
      Members.push_back(Fleet.endpoint(Index));
  std::shuffle(Members.begin(), Members.end(), Random);
  const std::uint32_t Layer = Random() % Model.m_Layers;
  std::stable_partition(Members.begin(), Members.end(),
                        [&](const auto &Engine) {
                          return Engine->m_Entry.m_Layers.m_First <= Layer &&
                                 Layer < Engine->m_Entry.m_Layers.m_End;
                        });
  std::uint32_t LayersThatFit = 0;
  for (auto Left = Members.begin() + Count; Left != Members.end(); ++Left)
    LayersThatFit += static_cast<std::uint32_t>(
        Model.cardKind((*Left)->m_Entry.m_CardKind)->m_MemoryMegabytes * 0.9 /
        Model.m_LayerMegabytes);
  for (auto Lost = Members.begin(); Lost != Members.begin() + Count; ++Lost)
    Fleet.crash(*Lost, IsDetected);
  Fleet.run(SimulatedFleet::Tick);
  // A layout that leaves hardly any layer over may not be found.
  if (Fleet.hasPath(Domain) || LayersThatFit < Model.m_Layers + 2)
    return std::nullopt;
  Fleet.run(40s);
  CHECK_TEXT(Fleet.hasPath(Domain), ("seed " + std::to_string(Seed)).c_str());
  return Fleet.longestTimeWithoutPath();
}

struct RecoveryTimes {
  Duration m_Median{};
  Duration m_Longest{};
};

RecoveryTimes recoveryTimes(const EngineModel &Model, std::ptrdiff_t Count,
                            bool IsDetected) {
  std::vector<Duration> Times;
  for (unsigned Seed = 1; Seed <= 60; ++Seed)
    if (auto Time = timeToPath(Model, Seed, Count, IsDetected))
      Times.push_back(*Time);
  std::sort(Times.begin(), Times.end());
  CHECK(Times.size() >= 40);
  RecoveryTimes Result{Times[Times.size() / 2], Times.back()};
  std::printf(
      "%td engines lost, %s: %zu cases, median %.1f s, longest %.1f s\n", Count,
      IsDetected ? "detected" : "until the entries expire", Times.size(),
      static_cast<double>(Result.m_Median.count()) / 1e6,
      static_cast<double>(Result.m_Longest.count()) / 1e6);
  return Result;
}

} // namespace

TEST_GROUP(Recovery) {
  EngineModel m_Model = largeModel();

  /// A chain of four cards; the first one has a smaller twin.
  std::vector<PlacementCard> chain() const {
    return {{"e0", "a", 72000, 2, {0, 20}},
            {"twin", "a", 60000, 2, {0, 20}},
            {"e1", "a", 72000, 2, {20, 40}},
            {"e2", "a", 72000, 2, {40, 60}},
            {"e3", "a", 72000, 2, {60, 80}}};
  }
};

// Failure: the engines that hold a layer in a failure domain crash at once, and
// are not replaced. Guards against a failure domain without a path for longer
// than the entries take to expire (3 s) and one or two loads of layers (6 s for
// the largest card, 2 s for the smallest).
TEST(Recovery, PathReturnsSoonAfterTwoCrashes) {
  RecoveryTimes Times = recoveryTimes(m_Model, 2, false);
  CHECK(Times.m_Median <= 7s);
  CHECK(Times.m_Longest <= 10s + SimulatedFleet::Tick);
}

// Failure: as above, and the crashes are noticed by requests. Guards against
// waiting for the entries to expire.
TEST(Recovery, NoticedCrashesNeedNotExpire) {
  RecoveryTimes Times = recoveryTimes(m_Model, 2, true);
  CHECK(Times.m_Median <= 5400ms);
  CHECK(Times.m_Longest <= 8400ms + SimulatedFleet::Tick);
}

// Failure: three engines of a failure domain crash. Guards against holes that
// are never covered although the memory of the others suffices.
TEST(Recovery, PathReturnsAfterThreeCrashes) {
  RecoveryTimes Times = recoveryTimes(m_Model, 3, false);
  CHECK(Times.m_Median <= 7s);
}

// Failure: a card is lost while the larger one of two neighbours carries out an
// order. Guards against a hole that waits for the busy one.
TEST(Recovery, HoleIsCoveredByTheNeighbourThatIsNotBusy) {
  auto Cards = chain();
  Cards.erase(Cards.begin() + 2);
  Cards[0].m_IsBusy = true;
  Cards[2].m_IsBusy = true;
  Cards[1].m_MemoryMegabytes = 71000;
  Cards[0].m_MemoryMegabytes = 80000;
  // The hole of ten layers is small enough for one card.
  Cards[2].m_Layers.m_First = 30;
  Cards[2].m_MemoryMegabytes = 80000;
  const auto Orders = LayoutPlanner::plan(m_Model, Cards);
  LONGS_EQUAL(1, Orders.size());
  STRCMP_EQUAL("twin", Orders[0].m_Endpoint.c_str());
  CHECK(Orders[0].m_Layers == (LayerRange{0, 30}));
}

// Failure: a card is lost whose neighbours have less than 15 in 100 of their
// memory left after they cover its layers. Guards against a hole that stays.
TEST(Recovery, HoleIsCoveredWithLittleMemoryIfNeedBe) {
  std::vector<PlacementCard> Cards = {
      {"e0", "a", 38 * 1750 / 0.895, 2, {0, 30}},
      {"e2", "a", 42 * 1750 / 0.895, 2, {48, 80}},
      {"e3", "b", 72000, 2, {}}};
  Cards.pop_back();
  const auto Orders = LayoutPlanner::plan(m_Model, Cards);
  LONGS_EQUAL(2, Orders.size());
  CHECK(Orders[0].m_Layers.m_End >= Orders[1].m_Layers.m_First);
}

// Failure: one engine without a twin does not answer. Guards against layers
// that are loaded elsewhere because of a short pause, after a rejection, or
// because a whole failure domain is cut off.
TEST(Recovery, OnlyLastingSilenceOfFewEnginesCountsAsCrash) {
  std::vector<FleetTable::Handle> Engines;
  for (const PlacementCard &Card : chain()) {
    if (Card.m_Endpoint == "twin")
      continue;
    auto Engine = std::make_shared<FleetEndpoint>();
    Engine->m_Entry.m_Id = Card.m_Endpoint;
    Engine->m_Entry.m_FailureDomain = "a";
    Engine->m_Entry.m_CardKind = "a100";
    Engine->m_Entry.m_Layers = Card.m_Layers;
    Engines.push_back(Engine);
  }
  auto OrdersAfter = [&](std::size_t Silent, Duration Period, Duration Age) {
    PlacementController Controller;
    Time Now{1000s};
    for (const FleetTable::Handle &Engine : Engines)
      Engine->m_SuspectUntil = Time{};
    Controller.tick(m_Model, Engines, Now);
    Now += 10s;
    CHECK(Controller.tick(m_Model, Engines, Now).empty());
    for (std::size_t Index = 0; Index < Silent; ++Index)
      Engines[Index]->m_SuspectUntil = Now + Period;
    std::size_t Orders = 0;
    for (Time End = Now + Age; Now <= End; Now += SimulatedFleet::Tick)
      Orders += Controller.tick(m_Model, Engines, Now).size();
    return Orders;
  };
  CHECK(OrdersAfter(1, 4s, 1200ms) > 0);
  LONGS_EQUAL(0, OrdersAfter(1, 4s, 900ms));
  LONGS_EQUAL(0, OrdersAfter(1, 2400ms, 2s));
  LONGS_EQUAL(0, OrdersAfter(4, 4s, 2s));
}

PARSLEYRING_TEST_MAIN
