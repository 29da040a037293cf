#include "fleet/FleetTable.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(FleetTable) {
  FleetTable m_Fleet;
  Time m_Now{1000s};

  EndpointEntry entry(const std::string &Id, std::int64_t StartTimeMs = 1)
      const {
    EndpointEntry Entry;
    Entry.m_Id = Id;
    Entry.m_Service = "s";
    Entry.m_Address = "10.0.0.1:80";
    Entry.m_StartTimeMs = StartTimeMs;
    return Entry;
  }
};

// Guards against sending requests to an endpoint that left the list while the
// list was available.
TEST(FleetTable, UnlistedEndpointIsRemovedAtOnce) {
  m_Fleet.list(entry("a"), m_Now);
  auto EndpointHandle = m_Fleet.find("a");
  m_Fleet.unlist("a", m_Now);
  CHECK(!m_Fleet.find("a"));
  CHECK(!EndpointHandle->canServe(m_Now));
}

// Guards against a router that serves nothing for seconds because all entries
// expired during an outage of the list.
TEST(FleetTable, EntriesExpiredInAnOutageMayReturn) {
  m_Fleet.list(entry("back"), m_Now);
  m_Fleet.list(entry("gone"), m_Now);
  m_Fleet.noteOutageEnd(m_Now);
  m_Fleet.unlistAllExcept({}, m_Now + 10ms);
  CHECK(m_Fleet.find("back")->canServe(m_Now + 10ms));
  m_Fleet.list(entry("back"), m_Now + 1s);
  m_Fleet.expire(m_Now + FleetTable::OutageGracePeriod);
  CHECK(m_Fleet.find("back") != nullptr);
  CHECK(m_Fleet.find("gone") == nullptr);
}

// Guards against keeping a draining endpoint in the table after an outage: only
// the entry of a ready endpoint is expected to return.
TEST(FleetTable, DrainingEndpointIsRemovedAfterAnOutage) {
  EndpointEntry Entry = entry("a");
  Entry.m_State = EndpointState::Draining;
  m_Fleet.list(Entry, m_Now);
  m_Fleet.noteOutageEnd(m_Now);
  m_Fleet.unlist("a", m_Now + 10ms);
  CHECK(!m_Fleet.find("a"));
}

// Guards against a new process of an endpoint that inherits the failures of an
// earlier process with the same id.
TEST(FleetTable, NewIncarnationStartsWithoutFailures) {
  m_Fleet.list(entry("a", 1), m_Now);
  auto Old = m_Fleet.find("a");
  Old->m_SuspectUntil = m_Now + 10s;
  m_Fleet.list(entry("a", 2), m_Now);
  CHECK(m_Fleet.find("a") != Old);
  CHECK(m_Fleet.find("a")->canServe(m_Now));
  CHECK(Old->m_IsRemoved);
}

// Pattern: a failure domain is cut off while its endpoints stay listed. Guards
// against sending requests to each of them again and again, which uses up the
// retries.
TEST(FleetTable, ConsecutiveRejectionsLengthenThePause) {
  FleetEndpoint Endpoint;
  int Sends = 0;
  for (Time Now = m_Now; Now < m_Now + 10s; Now += 10ms)
    if (Endpoint.canServe(Now)) {
      ++Sends;
      Endpoint.noteRejection(false, Now);
    }
  CHECK(Sends <= 8);
  Endpoint.noteAcceptance();
  Time Later = m_Now + 20s;
  Endpoint.noteRejection(false, Later);
  CHECK(Endpoint.canServe(Later + FleetEndpoint::RejectionPause));
}

// Pattern: the only engine of the failure domain with some layers is full.
// Guards against a failure domain that refuses all requests for seconds.
TEST(FleetTable, FullEndpointOfTheOwnDomainIsTriedAgainSoon) {
  FleetEndpoint Endpoint;
  for (int Rejection = 0; Rejection < 10; ++Rejection) {
    m_Now += 100ms;
    CHECK(Endpoint.canServe(m_Now));
    Endpoint.noteRejection(true, m_Now);
  }
}

// Pattern: an engine begins to drain while the list is not available. Guards
// against requests that are sent to it again and again for the whole outage.
TEST(FleetTable, EndpointThatOnlyRejectsIsTriedSeldom) {
  FleetEndpoint Endpoint;
  int Sends = 0;
  for (Time Now = m_Now; Now < m_Now + 10s; Now += 10ms)
    if (Endpoint.canServe(Now)) {
      ++Sends;
      Endpoint.noteRejection(true, Now);
    }
  CHECK(Sends <= 35);
  Time Later = m_Now + 20s;
  Endpoint.noteAcceptance();
  Endpoint.noteRejection(true, Later);
  CHECK(Endpoint.canServe(Later + FleetEndpoint::FullEndpointPause));
}

// Pattern: a failure domain is cut off. Guards against requests that fail at
// each of its endpoints in turn, and against excluding a whole domain because
// of one dead engine.
TEST(FleetTable, FailureDomainWithSilentEndpointsIsSilent) {
  for (const char *Id : {"a", "b", "c", "d"}) {
    EndpointEntry Entry = entry(Id);
    Entry.m_FailureDomain = "far";
    m_Fleet.list(Entry, m_Now);
  }
  m_Fleet.find("a")->m_SilentAt = m_Now;
  m_Fleet.find("b")->m_SilentAt = m_Now;
  CHECK(!m_Fleet.isDomainSilent("far", m_Now));
  m_Fleet.find("c")->m_SilentAt = m_Now + 500ms;
  CHECK(m_Fleet.isDomainSilent("far", m_Now + 500ms));
  CHECK(!m_Fleet.isDomainSilent("near", m_Now + 500ms));
  CHECK(!m_Fleet.isDomainSilent("far", m_Now + 2s));
}

// Guards against never again using an endpoint that failed for a while.
TEST(FleetTable, FailureRateDecays) {
  FleetEndpoint Endpoint;
  for (int Result = 0; Result < 20; ++Result)
    Endpoint.noteResult(false, 10ms, m_Now);
  CHECK(Endpoint.failureRate(m_Now) > 0.9);
  CHECK(Endpoint.failureRate(m_Now + 30s) < 0.01);
}

// Guards against an endpoint that answered slowly once, and then gets no
// request that could show that it is fast again.
TEST(FleetTable, SlowAnswerIsForgotten) {
  FleetEndpoint Endpoint;
  Endpoint.noteResult(true, 400ms, m_Now);
  CHECK(Endpoint.expectedLatencyMs(5, m_Now) > 399);
  CHECK(Endpoint.expectedLatencyMs(5, m_Now + 14s) < 10);
  // The old average does not outweigh a newer answer.
  Endpoint.noteResult(true, 5ms, m_Now + 14s);
  CHECK(Endpoint.expectedLatencyMs(5, m_Now + 14s) < 10);
  // Without a pause it does.
  Endpoint.noteResult(true, 400ms, m_Now + 14s);
  CHECK(Endpoint.expectedLatencyMs(5, m_Now + 14s) < 100);
}

// Guards against the limit of an endpoint that is inherited by its next
// incarnation, or by another endpoint at the same address.
TEST(FleetTable, LimitIsDroppedWithTheIncarnation) {
  m_Fleet.list(entry("a"), m_Now);
  m_Fleet.find("a")->m_Limit.noteStated(3, m_Now);
  m_Fleet.list(entry("a"), m_Now);
  CHECK(m_Fleet.find("a")->m_Limit.rate().has_value());
  LONGS_EQUAL(1, m_Fleet.limitedEndpoints());
  m_Fleet.list(entry("b"), m_Now);
  CHECK(!m_Fleet.find("b")->m_Limit.rate());
  m_Fleet.list(entry("a", 2), m_Now);
  CHECK(!m_Fleet.find("a")->m_Limit.rate());
}

// Guards against an endpoint that is leaving, or has left, and is used again
// since the list has been restored from an older copy.
TEST(FleetTable, RestoredListDoesNotBringBackEndpointsThatLeft) {
  EndpointEntry Draining = entry("draining");
  Draining.m_State = EndpointState::Draining;
  m_Fleet.list(Draining, m_Now);
  m_Fleet.list(entry("gone"), m_Now);
  m_Fleet.unlist("gone", m_Now);
  m_Fleet.list(entry("lapsed"), m_Now);
  m_Fleet.unlist("lapsed", m_Now);
  m_Fleet.beginRestoration();
  for (const char *Id : {"draining", "gone", "lapsed"})
    m_Fleet.list(entry(Id), m_Now + 1s);
  m_Fleet.endRestoration();
  CHECK(!m_Fleet.find("draining")->canServe(m_Now + 1s));
  CHECK(!m_Fleet.find("gone"));
  // The store removes the entry of an endpoint that has ended.
  m_Fleet.unlist("gone", m_Now + 3s);
  m_Fleet.expire(m_Now + 10s);
  CHECK(!m_Fleet.find("gone"));
  CHECK(!m_Fleet.find("draining")->canServe(m_Now + 10s));
  CHECK(m_Fleet.find("lapsed")->canServe(m_Now + 10s));
}

// Guards against a live endpoint that stays out after a restoration.
TEST(FleetTable, EndpointThatIsListedAnewIsUsedAfterARestoration) {
  m_Fleet.list(entry("a"), m_Now);
  m_Fleet.unlist("a", m_Now);
  m_Fleet.beginRestoration();
  m_Fleet.list(entry("a"), m_Now + 1s);
  m_Fleet.list(entry("b"), m_Now + 1s);
  m_Fleet.endRestoration();
  CHECK(m_Fleet.find("b")->canServe(m_Now + 1s));
  m_Fleet.list(entry("a", 2), m_Now + 2s);
  CHECK(m_Fleet.find("a")->canServe(m_Now + 2s));
}

// Guards against a VM that starts and uses endpoints that have left, since the
// restored list still has them.
TEST(FleetTable, StartingVMDoesNotUseEndpointsThatLeft) {
  FleetTable Peer;
  EndpointEntry Draining = entry("draining");
  Draining.m_State = EndpointState::Draining;
  Peer.list(Draining, m_Now);
  for (const char *Id : {"gone", "lapsed", "restarted", "returned"}) {
    Peer.list(entry(Id), m_Now);
    Peer.unlist(Id, m_Now);
  }
  Peer.list(entry("returned"), m_Now);
  for (const char *Id : {"draining", "gone", "lapsed", "returned", "ready"})
    m_Fleet.list(entry(Id), m_Now);
  m_Fleet.list(entry("restarted", 2), m_Now);
  m_Fleet.applyLeaving(Peer.leavingIncarnations(), m_Now);
  for (const char *Id : {"draining", "gone", "lapsed"})
    CHECK(!m_Fleet.find(Id));
  for (const char *Id : {"restarted", "returned", "ready"})
    CHECK(m_Fleet.find(Id)->canServe(m_Now));
  // Its own entry, and the removal of the other one, come later.
  m_Fleet.list(Draining, m_Now + 1s);
  m_Fleet.unlist("gone", m_Now + 1s);
  m_Fleet.expire(m_Now + 10s);
  CHECK(!m_Fleet.find("draining")->canServe(m_Now + 10s));
  CHECK(!m_Fleet.find("gone"));
  CHECK(m_Fleet.find("lapsed")->canServe(m_Now + 10s));
}

// Guards against an entry that the next restoration, or a reload of the list,
// no longer has.
TEST(FleetTable, DeferredEntryIsDroppedWithTheList) {
  m_Fleet.list(entry("a"), m_Now);
  m_Fleet.unlist("a", m_Now);
  m_Fleet.beginRestoration();
  m_Fleet.list(entry("a"), m_Now + 1s);
  m_Fleet.endRestoration();
  m_Fleet.unlistAllExcept({}, m_Now + 2s);
  m_Fleet.expire(m_Now + 10s);
  CHECK(!m_Fleet.find("a"));
}

// Guards against reasons that hide each other, and against a condition that
// only some of those who send requests know.
TEST(FleetTable, AvailabilityNamesTheReason) {
  m_Fleet.list(entry("a"), m_Now);
  auto Endpoint = m_Fleet.find("a");
  auto ExpectReason = [&](std::string_view Reason) {
    CHECK(name(Endpoint->availability(m_Now)) == Reason);
    CHECK_EQUAL(Reason == "available", Endpoint->canServe(m_Now));
  };
  ExpectReason("available");
  Endpoint->m_SuspectUntil = m_Now + 1s;
  ExpectReason("suspect");
  CHECK(Endpoint->m_Rest.noteStated(500ms, m_Now));
  ExpectReason("resting");
  CHECK(Endpoint->availableAt() == m_Now + 1s);
  Endpoint->m_Entry.m_State = EndpointState::Draining;
  ExpectReason("leaving");
  m_Fleet.unlist("a", m_Now);
  ExpectReason("removed");
}

// Guards against a rest that ends when the entry of the endpoint expires and
// returns, and against one that a new process of the endpoint inherits.
TEST(FleetTable, RestBelongsToTheIncarnation) {
  m_Fleet.list(entry("a"), m_Now);
  m_Fleet.find("a")->m_Rest.noteStated(10s, m_Now);
  m_Fleet.list(entry("a"), m_Now + 1s);
  CHECK(!m_Fleet.find("a")->canServe(m_Now + 1s));
  m_Fleet.unlist("a", m_Now + 2s);
  m_Fleet.list(entry("a"), m_Now + 3s);
  CHECK(!m_Fleet.find("a")->canServe(m_Now + 3s));
  LONGS_EQUAL(1, m_Fleet.restingEndpoints(m_Now + 3s));
  m_Fleet.list(entry("a", 2), m_Now + 4s);
  CHECK(m_Fleet.find("a")->canServe(m_Now + 4s));
  LONGS_EQUAL(0, m_Fleet.restingEndpoints(m_Now + 4s));
}

// Guards against callers that are sent away until a rest ends although another
// endpoint takes requests earlier.
TEST(FleetTable, FirstRestEndIsTheFirstTimeOfAnyEndpoint) {
  for (const char *Id : {"a", "b", "c"})
    m_Fleet.list(entry(Id), m_Now);
  auto RestEnd = [&] {
    return firstRestEnd(m_Fleet.endpointsOfService("s"), m_Now);
  };
  m_Fleet.find("a")->m_Rest.noteStated(5s, m_Now);
  m_Fleet.find("b")->m_Rest.noteStated(3s, m_Now);
  CHECK(!RestEnd());
  m_Fleet.find("c")->m_SuspectUntil = m_Now + 60ms;
  CHECK(!RestEnd());
  m_Fleet.find("c")->m_SuspectUntil = m_Now + 4s;
  CHECK(RestEnd() == m_Now + 3s);
  m_Fleet.find("b")->m_Entry.m_State = EndpointState::Draining;
  CHECK(!RestEnd());
  m_Fleet.find("c")->m_Entry.m_State = EndpointState::Draining;
  CHECK(RestEnd() == m_Now + 5s);
  m_Fleet.unlistAllExcept({}, m_Now);
  CHECK(!RestEnd());
}

// Guards against an endpoint that has stated that it is leaving and is used
// again: by an entry that is read later, after the loss of its entry, or from
// an older copy of the list; and against its next incarnation, or another
// endpoint at its address, being left out as well.
TEST(FleetTable, StatedLeavingHoldsForTheIncarnation) {
  m_Fleet.list(entry("a", 5), m_Now);
  m_Fleet.list(entry("b", 5), m_Now);
  std::uint64_t Generation = m_Fleet.generation();
  CHECK(m_Fleet.noteLeaving({"a", 5}, true, m_Now));
  CHECK(m_Fleet.generation() != Generation);
  CHECK(!m_Fleet.noteLeaving({"a", 5}, false, m_Now));
  CHECK(!m_Fleet.find("a")->canServe(m_Now));
  CHECK(m_Fleet.find("b")->canServe(m_Now));
  LONGS_EQUAL(1, m_Fleet.leavingEndpoints());
  EndpointEntry Moved = entry("a", 5);
  Moved.m_Address = "10.0.0.2:80";
  for (const EndpointEntry &Entry : {entry("a", 5), Moved, entry("a", 5)}) {
    m_Fleet.list(Entry, m_Now + 1s);
    CHECK(!m_Fleet.find("a")->canServe(m_Now + 1s));
  }
  m_Fleet.unlist("a", m_Now + 2s);
  m_Fleet.list(entry("a", 5), m_Now + 3s);
  CHECK(!m_Fleet.find("a")->canServe(m_Now + 3s));
  m_Fleet.expire(m_Now + 1h);
  m_Fleet.list(entry("a", 5), m_Now + 1h);
  CHECK(!m_Fleet.find("a")->canServe(m_Now + 1h));
  m_Fleet.list(entry("a", 6), m_Now + 1h);
  CHECK(m_Fleet.find("a")->canServe(m_Now + 1h));
  m_Fleet.list(entry("a", 4), m_Now + 1h);
  CHECK(!m_Fleet.find("a")->canServe(m_Now + 1h));
}

// Guards against a statement that is lost since it comes before the entry, and
// against one of an earlier incarnation that comes late.
TEST(FleetTable, StatementsAndEntriesComeInAnyOrder) {
  CHECK(m_Fleet.noteLeaving({"a", 5}, false, m_Now));
  m_Fleet.list(entry("a", 5), m_Now);
  CHECK(!m_Fleet.find("a")->canServe(m_Now));
  m_Fleet.list(entry("a", 6), m_Now);
  CHECK(!m_Fleet.noteLeaving({"a", 5}, true, m_Now));
  CHECK(m_Fleet.find("a")->canServe(m_Now));
  CHECK(m_Fleet.noteLeaving({"a", 6}, true, m_Now));
  CHECK(!m_Fleet.noteLeaving({"a", 5}, true, m_Now));
  CHECK(!m_Fleet.find("a")->canServe(m_Now));
}

// Guards against memory that grows with each endpoint that has left.
TEST(FleetTable, StatementsAreForgottenAfterTheEndpointHasLeft) {
  m_Fleet.list(entry("a", 5), m_Now);
  m_Fleet.noteLeaving({"a", 5}, true, m_Now);
  m_Fleet.noteLeaving({"never-listed", 5}, false, m_Now);
  m_Fleet.expire(m_Now + 1h);
  LONGS_EQUAL(1, m_Fleet.statedLeaving().size());
  m_Fleet.unlist("a", m_Now + 1h);
  m_Fleet.expire(m_Now + 1h + 1min);
  LONGS_EQUAL(1, m_Fleet.statedLeaving().size());
  m_Fleet.expire(m_Now + 2h);
  LONGS_EQUAL(0, m_Fleet.statedLeaving().size());
}

// Guards against an endpoint that has left during an outage of the list and is
// kept as if its entry would return.
TEST(FleetTable, EndpointThatStatedLeavingIsRemovedAfterAnOutage) {
  m_Fleet.list(entry("a"), m_Now);
  m_Fleet.noteLeaving({"a", 1}, true, m_Now);
  m_Fleet.noteOutageEnd(m_Now);
  m_Fleet.unlist("a", m_Now + 10ms);
  CHECK(!m_Fleet.find("a"));
}

// Guards against an endpoint that is told to other VMs as leaving and not told
// any more while it is listed, and against one that VMs tell each other for
// ever.
TEST(FleetTable, ListedEndpointsAreToldAsLeaving) {
  for (const char *Id : {"own", "told", "newest", "gone"})
    m_Fleet.list(entry(Id), m_Now);
  m_Fleet.noteLeaving({"own", 1}, true, m_Now);
  m_Fleet.noteLeaving({"told", 1}, false, m_Now + 1s);
  m_Fleet.noteLeaving({"newest", 1}, false, m_Now + 2s);
  m_Fleet.noteLeaving({"newest", 1}, true, m_Now + 2s);
  m_Fleet.noteLeaving({"gone", 1}, true, m_Now + 3s);
  m_Fleet.unlist("gone", m_Now + 4s);
  auto Own = m_Fleet.listedLeaving(true, 10);
  LONGS_EQUAL(2, Own.size());
  STRCMP_EQUAL("newest", Own[0].m_Id.c_str());
  STRCMP_EQUAL("own", Own[1].m_Id.c_str());
  auto All = m_Fleet.listedLeaving(false, 2);
  LONGS_EQUAL(2, All.size());
  STRCMP_EQUAL("newest", All[0].m_Id.c_str());
  STRCMP_EQUAL("told", All[1].m_Id.c_str());
}

// Guards against a VM that starts and, after the time for entries to return,
// uses an endpoint that has stated that it is leaving.
TEST(FleetTable, StartingVMDoesNotUseEndpointsThatStatedLeaving) {
  FleetTable Peer;
  Peer.list(entry("a"), m_Now);
  Peer.noteLeaving({"a", 1}, true, m_Now);
  m_Fleet.list(entry("a"), m_Now);
  for (const EndpointIncarnation &Stated : Peer.statedLeaving())
    m_Fleet.noteLeaving(Stated, false, m_Now);
  m_Fleet.applyLeaving(Peer.leavingIncarnations(), m_Now);
  m_Fleet.expire(m_Now + 10s);
  m_Fleet.list(entry("a"), m_Now + 10s);
  CHECK(!m_Fleet.find("a")->canServe(m_Now + 10s));
}

PARSLEYRING_TEST_MAIN
