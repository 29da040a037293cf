#include "admission/ConnectionLimit.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using Activity = ConnectionLimit::Activity;

static const Time Start{std::chrono::hours(1)};

TEST_GROUP(ConnectionLimit) {
  ConnectionLimit m_Limit{4};

  ConnectionNumber add(const std::string &Address, Activity Value,
                       Duration ActiveAt) {
    ConnectionNumber Number = m_Limit.add(Address, Start + ActiveAt);
    m_Limit.setActivity(Number, Value, Start + ActiveAt);
    return Number;
  }
  void checkExcess(ConnectionNumber Expected) {
    auto Excess = m_Limit.excess();
    CHECK(Excess.has_value());
    CHECK_EQUAL(Expected, *Excess);
  }
};

// Guards against closing connections below the limit, and counting closed ones.
TEST(ConnectionLimit, ClosesNothingUpToTheLimit) {
  for (int Index = 0; Index < 10; ++Index) {
    ConnectionNumber Number = 0;
    for (int Each = 0; Each < 4; ++Each) {
      Number = add("a", Activity::Idle, 0s);
      CHECK(!m_Limit.excess());
    }
    for (ConnectionNumber Each = Number - 3; Each <= Number; ++Each)
      m_Limit.remove(Each);
    m_Limit.remove(Number);
    CHECK_EQUAL(std::size_t(0), m_Limit.size());
  }
}

// Guards against closing connections of callers that hold few.
TEST(ConnectionLimit, ClosesTheLongestIdleOfTheLargestAddress) {
  add("few", Activity::Idle, 0s);
  add("many", Activity::Receiving, 1s);
  add("many", Activity::Idle, 3s);
  ConnectionNumber Oldest = add("many", Activity::Idle, 2s);
  add("few", Activity::Idle, 4s);
  checkExcess(Oldest);
}

// Guards against a crowd whose connections all receive requests and that pushes
// out the idle ones of others.
TEST(ConnectionLimit, ClosesAReceivingOneIfTheLargestAddressHasNoIdleOne) {
  add("many", Activity::Receiving, 3s);
  ConnectionNumber Oldest = add("many", Activity::Receiving, 1s);
  add("many", Activity::Serving, 0s);
  add("few", Activity::Idle, 0s);
  add("few", Activity::Idle, 4s);
  checkExcess(Oldest);
}

// Guards against a new connection that is closed instead of one of its address
// that has stalled in a request.
TEST(ConnectionLimit, NewConnectionIsNotClosedForAnother) {
  ConnectionNumber Stalled = add("many", Activity::Receiving, 0s);
  add("many", Activity::Receiving, 1s);
  add("few", Activity::Idle, 0s);
  add("few", Activity::Idle, 0s);
  add("many", Activity::Idle, 2s);
  checkExcess(Stalled);
}

// Guards against ending running requests: an address whose connections all
// serve is passed over, and its newest connection does not change that.
TEST(ConnectionLimit, PassesOverAddressThatServes) {
  add("many", Activity::Serving, 0s);
  add("many", Activity::Serving, 0s);
  add("many", Activity::Serving, 0s);
  ConnectionNumber Idle = add("few", Activity::Idle, 1s);
  add("many", Activity::Idle, 2s);
  checkExcess(Idle);
}

// Guards against ending a running request for a new connection.
TEST(ConnectionLimit, ClosesTheNewOneIfAllOthersServe) {
  for (int Each = 0; Each < 4; ++Each)
    add("a", Activity::Serving, 0s);
  ConnectionNumber Newest = add("b", Activity::Idle, 1s);
  checkExcess(Newest);
  m_Limit.remove(Newest);
  CHECK(!m_Limit.excess());
}

// Guards against an address that counts connections which are closed.
TEST(ConnectionLimit, RemovedConnectionsDoNotCount) {
  for (ConnectionNumber Each :
       {add("many", Activity::Idle, 0s), add("many", Activity::Idle, 0s),
        add("many", Activity::Idle, 0s)})
    m_Limit.remove(Each);
  add("many", Activity::Idle, 0s);
  add("two", Activity::Idle, 1s);
  ConnectionNumber Oldest = add("three", Activity::Idle, 1s);
  add("three", Activity::Idle, 2s);
  add("three", Activity::Idle, 3s);
  checkExcess(Oldest);
}

// Guards against a surge of one address that costs others a connection.
TEST(ConnectionLimit, SurgeOfOneAddressClosesOnlyItsOwn) {
  ConnectionNumber Other = m_Limit.add("other", Start);
  ConnectionNumber Serving = add("crowd", Activity::Serving, 0s);
  for (int Each = 0; Each < 1000; ++Each) {
    add("crowd", Each % 2 ? Activity::Idle : Activity::Receiving,
        std::chrono::milliseconds(Each));
    if (auto Excess = m_Limit.excess()) {
      CHECK(*Excess != Other);
      CHECK(*Excess != Serving);
      m_Limit.remove(*Excess);
    }
    CHECK(m_Limit.size() <= m_Limit.limit());
  }
}

// Guards against accepting a connection above the limit at a cost that grows
// with the number of connections: only the state of the chosen one is asked
// for.
TEST(ConnectionLimit, OnlyTheChosenConnectionIsAsked) {
  static constexpr std::size_t Connections = 2000;
  ConnectionLimit Limit(Connections);
  int Asked = 0;
  auto CurrentState = [&](ConnectionNumber Number) {
    ++Asked;
    return ConnectionLimit::State{Activity::Idle,
                                  Start + std::chrono::milliseconds(Number)};
  };
  for (std::size_t Index = 1; Index <= 2 * Connections; ++Index) {
    auto Number = Limit.add(std::to_string(Index % 50),
                            Start + std::chrono::milliseconds(Index));
    CHECK_EQUAL(Index, Number);
    if (auto Excess = Limit.confirmedExcess(CurrentState))
      Limit.remove(*Excess);
  }
  CHECK_EQUAL(Connections, Limit.size());
  CHECK_EQUAL(static_cast<int>(Connections), Asked);
}

// Guards against closing a connection that serves a request by now.
TEST(ConnectionLimit, OutdatedStateIsCorrected) {
  ConnectionNumber Serving = add("many", Activity::Idle, 0s);
  ConnectionNumber Active = add("many", Activity::Idle, 1s);
  ConnectionNumber Idle = add("many", Activity::Idle, 2s);
  add("few", Activity::Idle, 0s);
  add("few", Activity::Idle, 3s);
  auto Excess = m_Limit.confirmedExcess([&](ConnectionNumber Number) {
    if (Number == Serving)
      return ConnectionLimit::State{Activity::Serving, Start};
    Duration ActiveAt = Number == Active ? 5s : 2s;
    return ConnectionLimit::State{Activity::Idle, Start + ActiveAt};
  });
  CHECK(Excess.has_value());
  CHECK_EQUAL(Idle, *Excess);
}

PARSLEYRING_TEST_MAIN
