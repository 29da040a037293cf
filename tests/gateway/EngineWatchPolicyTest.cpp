#include "gateway/EngineWatchPolicy.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

using Policy = EngineWatchPolicy;

TEST_GROUP(EngineWatchPolicy) {
  Time m_Now{1000s};
  std::map<std::string, FleetTable::Handle> m_Endpoints;
  Policy m_Policy;

  FleetTable::Handle add(const std::string &Id,
                         const std::string &Domain = "a") {
    auto Engine = std::make_shared<FleetEndpoint>();
    Engine->m_Entry.m_Id = Id;
    Engine->m_Entry.m_FailureDomain = Domain;
    Engine->m_Entry.m_Layers = {0, 10};
    m_Endpoints[Id] = Engine;
    return Engine;
  }
  Policy::Engines update(bool IsOn = true) {
    Policy::Engines Endpoints;
    for (const auto &[Id, Endpoint] : m_Endpoints)
      Endpoints.push_back(Endpoint);
    return m_Policy.update(Endpoints, "a", IsOn, m_Now);
  }
  /// Moves on to the next connections; false if there are none.
  bool connectNext() {
    Time Next = m_Policy.nextDueAt(m_Now, true);
    if (Next == Time::max())
      return false;
    m_Now = std::max(m_Now, Next);
    return !m_Policy.takeDue(m_Now, true).empty();
  }
  /// An engine whose connection has been open for OpenTime.
  FleetTable::Handle openEngine(Duration OpenTime = 10s) {
    FleetTable::Handle Engine = add("e");
    update();
    CHECK(connectNext());
    CHECK(m_Policy.noteAccepted(*Engine, m_Now));
    m_Now += OpenTime;
    return Engine;
  }
  /// True if the refusal of all connections from now on is taken as a crash.
  bool isCrashIfRefused(const FleetEndpoint &Engine) {
    for (int Attempt = 0; Attempt < 20; ++Attempt) {
      CHECK(connectNext());
      if (m_Policy.noteRefused(Engine, m_Now))
        return true;
    }
    return false;
  }
};

// Guards against connections to engines on which no path of this failure domain
// runs, and to those that end as planned.
TEST(EngineWatchPolicy, WatchesEnginesWithLayersOfTheDomain) {
  FleetTable::Handle Watched = add("watched");
  add("other-domain", "b");
  add("empty")->m_Entry.m_Layers = {};
  add("draining")->m_Entry.m_State = EndpointState::Draining;
  add("leaving")->m_HasStatedLeaving = true;
  add("removed")->m_IsRemoved = true;
  update(false);
  CHECK(m_Policy.takeDue(m_Now, true).empty());
  update();
  Policy::Engines Due = m_Policy.takeDue(m_Now, true);
  LONGS_EQUAL(1, Due.size());
  CHECK(Due[0] == Watched);
  CHECK(m_Policy.takeDue(m_Now + 1h, true).empty());
}

// Guards against connections that stay open to engines that leave or are
// removed, and while the watch is off.
TEST(EngineWatchPolicy, EndsConnectionsThatAreNotNeeded) {
  FleetTable::Handle Engine = openEngine();
  CHECK(update().empty());
  LONGS_EQUAL(1, m_Policy.size());
  Engine->m_HasStatedLeaving = true;
  Policy::Engines Ended = update();
  LONGS_EQUAL(1, Ended.size());
  CHECK(Ended[0] == Engine);
  LONGS_EQUAL(0, m_Policy.size());
  CHECK(!connectNext());
  FleetTable::Handle Next = openEngine();
  Ended = update(false);
  LONGS_EQUAL(1, Ended.size());
  CHECK(Ended[0] == Next);
  LONGS_EQUAL(0, m_Policy.size());
}

// Guards against a crash that is seen only when streams fall silent (260 ms).
TEST(EngineWatchPolicy, ClosedAndRefusedTwiceIsACrash) {
  FleetTable::Handle Engine = openEngine();
  Time ClosedAt = m_Now;
  m_Policy.noteClosed(*Engine, m_Now);
  CHECK(connectNext());
  CHECK(m_Now - ClosedAt == Policy::ProbeDelay);
  CHECK(!m_Policy.noteRefused(*Engine, m_Now));
  CHECK(connectNext());
  CHECK(m_Policy.noteRefused(*Engine, m_Now));
  CHECK(m_Now - ClosedAt == Policy::ProbeDelay + Policy::ProbeInterval);
  // It is reported once.
  CHECK(!isCrashIfRefused(*Engine));
}

// Guards against an engine that closes idle connections and is taken to have
// crashed. The new connection is kept.
TEST(EngineWatchPolicy, EngineThatClosesIdleConnectionsRuns) {
  FleetTable::Handle Engine = openEngine();
  for (int Round = 0; Round < 5; ++Round) {
    m_Policy.noteClosed(*Engine, m_Now);
    CHECK(connectNext());
    m_Policy.noteAccepted(*Engine, m_Now);
    LONGS_EQUAL(1, m_Policy.size());
    m_Now += 5s;
  }
}

// Guards against an engine that restarts its listener while it runs, and is
// refusing for a moment.
TEST(EngineWatchPolicy, OneRefusalIsNoCrash) {
  FleetTable::Handle Engine = openEngine();
  m_Policy.noteClosed(*Engine, m_Now);
  CHECK(connectNext());
  CHECK(!m_Policy.noteRefused(*Engine, m_Now));
  CHECK(connectNext());
  m_Policy.noteAccepted(*Engine, m_Now);
  // Refusals count from the next closed connection on.
  m_Now += 10s;
  m_Policy.noteClosed(*Engine, m_Now);
  CHECK(connectNext());
  CHECK(!m_Policy.noteRefused(*Engine, m_Now));
}

// Guards against an engine that is cut off, or slow, and is taken to have
// crashed.
TEST(EngineWatchPolicy, TimeoutsProveNothing) {
  FleetTable::Handle Engine = openEngine();
  for (int Round = 0; Round < 3; ++Round) {
    m_Policy.noteClosed(*Engine, m_Now);
    for (int Refusals = 0; Refusals < Round % Policy::MinRefusals; ++Refusals) {
      CHECK(connectNext());
      CHECK(!m_Policy.noteRefused(*Engine, m_Now));
    }
    CHECK(connectNext());
    m_Policy.noteUnanswered(*Engine, m_Now + 220ms);
    m_Now += 220ms;
    CHECK(!isCrashIfRefused(*Engine));
    CHECK(connectNext());
    m_Policy.noteAccepted(*Engine, m_Now);
    m_Now += 10s;
  }
}

// Guards against an engine that has not begun to listen and is taken to have
// crashed.
TEST(EngineWatchPolicy, EngineThatNeverAcceptedHasNotCrashed) {
  FleetTable::Handle Engine = add("e");
  update();
  CHECK(!isCrashIfRefused(*Engine));
}

// Guards against an engine at its limit of connections, which accepts and
// closes at once, that is taken to have crashed or is connected to over and
// over.
TEST(EngineWatchPolicy, EngineAtItsLimitOfConnectionsRuns) {
  FleetTable::Handle Engine = openEngine();
  m_Policy.noteClosed(*Engine, m_Now);
  std::vector<Time> Connects;
  for (int Round = 0; Round < 12; ++Round) {
    CHECK(connectNext());
    Connects.push_back(m_Now);
    m_Policy.noteAccepted(*Engine, m_Now);
    m_Now += 1ms;
    m_Policy.noteClosed(*Engine, m_Now);
  }
  for (std::size_t Index = 1; Index < Connects.size(); ++Index)
    CHECK(Connects[Index] - Connects[Index - 1] >=
          Policy::MinReconnectInterval);
  CHECK(Connects.back() - *(Connects.end() - 2) ==
        Policy::MaxReconnectInterval);
  CHECK(!isCrashIfRefused(*Engine));
}

// Guards against an engine that leaves during the check and is taken to have
// crashed.
TEST(EngineWatchPolicy, EngineThatLeavesHasNotCrashed) {
  FleetTable::Handle Engine = openEngine();
  m_Policy.noteClosed(*Engine, m_Now);
  CHECK(connectNext());
  CHECK(!m_Policy.noteRefused(*Engine, m_Now));
  CHECK(connectNext());
  Engine->m_Entry.m_State = EndpointState::Draining;
  CHECK(!m_Policy.noteRefused(*Engine, m_Now));
}

// Guards against a connection that this VM itself closed and that counts as the
// end of the engine.
TEST(EngineWatchPolicy, ConnectionThatThisVMClosedProvesNothing) {
  FleetTable::Handle Engine = openEngine();
  m_Policy.noteGivenUp(*Engine, m_Now);
  LONGS_EQUAL(0, m_Policy.size());
  Time GivenUpAt = m_Now;
  CHECK(!isCrashIfRefused(*Engine));
  CHECK(m_Now - GivenUpAt >= Policy::MinReconnectInterval);
}

// Guards against a representative of a domain with many engines that opens its
// connections all at once.
TEST(EngineWatchPolicy, ConnectsAtALimitedRate) {
  for (int Index = 0; Index < 200; ++Index)
    add("e" + std::to_string(Index));
  update();
  Time Start = m_Now;
  std::size_t Connected = 0;
  while (Connected < 200) {
    Time Next = m_Policy.nextDueAt(m_Now, true);
    CHECK(Next != Time::max());
    m_Now = std::max(m_Now, Next);
    Policy::Engines Due = m_Policy.takeDue(m_Now, true);
    // It must not be asked again and again while none may connect.
    CHECK(!Due.empty());
    Connected += Due.size();
    for (const FleetTable::Handle &Engine : Due)
      m_Policy.noteAccepted(*Engine, m_Now);
    double Seconds = std::chrono::duration<double>(m_Now - Start).count();
    CHECK(Connected <=
          Policy::MaxConnectBurst + Seconds * Policy::ConnectsPerSecond + 1);
  }
}

// Guards against a crash that is not checked while new connections use up the
// rate, or while connections are short.
TEST(EngineWatchPolicy, ChecksComeFirst) {
  FleetTable::Handle Engine = openEngine();
  for (int Index = 0; Index < 200; ++Index)
    add("n" + std::to_string(Index));
  update();
  for (const FleetTable::Handle &Due : m_Policy.takeDue(m_Now, true))
    m_Policy.noteAccepted(*Due, m_Now);
  m_Policy.noteClosed(*Engine, m_Now);
  for (Duration Delay : {Policy::ProbeDelay, Policy::ProbeInterval}) {
    CHECK(m_Policy.nextDueAt(m_Now, false) == m_Now + Delay);
    m_Now += Delay;
    Policy::Engines Due = m_Policy.takeDue(m_Now, false);
    LONGS_EQUAL(1, Due.size());
    CHECK(Due[0] == Engine);
    CHECK(m_Policy.noteRefused(*Engine, m_Now) ==
          (Delay == Policy::ProbeInterval));
  }
}

// Guards against a new incarnation that is judged by the connection to the
// former one.
TEST(EngineWatchPolicy, NewIncarnationStartsAnew) {
  FleetTable::Handle Former = openEngine();
  m_Policy.noteClosed(*Former, m_Now);
  FleetTable::Handle Next = add("e");
  Former->m_IsRemoved = true;
  update();
  CHECK(!m_Policy.noteRefused(*Former, m_Now));
  CHECK(!isCrashIfRefused(*Next));
}

// Guards against streams that stay at a crashed engine since only another VM
// watches it, and against checks that turn into connections that are kept.
TEST(EngineWatchPolicy, ChecksWhatAnotherVMSuspects) {
  FleetTable::Handle Engine = add("e", "b");
  m_Policy.check(Engine, m_Now);
  // Neither a further report nor a change of the list begins it anew.
  m_Policy.check(Engine, m_Now);
  update(false);
  CHECK(connectNext());
  CHECK(!m_Policy.noteRefused(*Engine, m_Now));
  CHECK(connectNext());
  CHECK(m_Policy.noteRefused(*Engine, m_Now));
  CHECK(!connectNext());
  m_Policy.check(Engine, m_Now);
  CHECK(connectNext());
  CHECK(!m_Policy.noteAccepted(*Engine, m_Now));
  LONGS_EQUAL(0, m_Policy.size());
  CHECK(!connectNext());
}

// Guards against connections to endpoints that run no parts of streams.
TEST(EngineWatchPolicy, ChecksNoEndpointWithoutLayers) {
  FleetTable::Handle Plain = add("plain");
  Plain->m_Entry.m_Layers = {};
  m_Policy.check(Plain, m_Now);
  CHECK(!connectNext());
}

// Guards against a suspicion that is taken over from a VM that is cut off.
TEST(EngineWatchPolicy, SuspicionOfAnotherVMIsNoProof) {
  FleetTable::Handle Engine = add("e");
  m_Policy.check(Engine, m_Now);
  CHECK(connectNext());
  CHECK(!m_Policy.noteRefused(*Engine, m_Now));
  CHECK(connectNext());
  m_Policy.noteUnanswered(*Engine, m_Now);
  CHECK(!connectNext());
  // A watched engine is judged by its own connection.
  FleetTable::Handle Watched = openEngine();
  m_Policy.check(Watched, m_Now);
  CHECK(!connectNext());
  LONGS_EQUAL(1, m_Policy.size());
}

// Guards against a check that goes on as such after the engine is watched.
TEST(EngineWatchPolicy, WatchTakesOverACheck) {
  FleetTable::Handle Engine = add("e");
  m_Policy.check(Engine, m_Now);
  update();
  CHECK(connectNext());
  CHECK(m_Policy.noteAccepted(*Engine, m_Now));
  LONGS_EQUAL(1, m_Policy.size());
}

PARSLEYRING_TEST_MAIN
