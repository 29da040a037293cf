#include "membership/LoadDigest.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(LoadDigest) {
  FleetTable m_Fleet;
  LoadDigestTable m_Table;
  Time m_Now{1000s};

  void setup() override {
    EndpointEntry Entry;
    Entry.m_Id = "e";
    Entry.m_Service = "s";
    m_Fleet.list(Entry, m_Now);
  }
  LoadDigest digest(const std::string &Sender, std::uint64_t Number,
                    double Tokens, std::int64_t SuspectMs = 0) const {
    return {Sender, false, Number, {{"e", Tokens, 3, 1.5, SuspectMs}}};
  }
  FleetEndpoint &endpoint() const { return *m_Fleet.find("e"); }
};

// Guards against an encoder and a decoder that do not match.
TEST(LoadDigest, EncodedDigestDecodesUnchanged) {
  auto Read = LoadDigest::decode(digest("vm", 7, 1234, 55).encode());
  CHECK(Read.has_value());
  STRCMP_EQUAL("vm", Read->m_Sender.c_str());
  LONGS_EQUAL(7, Read->m_Number);
  DOUBLES_EQUAL(1234, Read->m_Loads[0].m_Tokens, 0);
  DOUBLES_EQUAL(1.5, Read->m_Loads[0].m_Pace, 0.01);
  LONGS_EQUAL(55, Read->m_Loads[0].m_SuspectMs);
}

// Guards against datagrams from other programs that crash the process.
TEST(LoadDigest, InvalidBytesAreRejected) {
  std::string Bytes = digest("vm", 7, 1234).encode();
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(!LoadDigest::decode(Bytes.substr(0, Size)));
  CHECK(!LoadDigest::decode("GET / HTTP/1.1\r\n\r\n"));
}

// Pattern: several VMs use the same engines. Guards against a VM that counts
// only its own requests and so overfills the memory of an engine.
TEST(LoadDigest, LoadsOfOtherVMsAreSummedUp) {
  m_Table.apply(digest("a", 1, 100), m_Fleet, m_Now);
  m_Table.apply(digest("b", 1, 50), m_Fleet, m_Now);
  DOUBLES_EQUAL(150, endpoint().m_PeerTokens, 0);
  m_Table.apply(digest("a", 2, 10), m_Fleet, m_Now);
  DOUBLES_EQUAL(60, endpoint().m_PeerTokens, 0);
  LONGS_EQUAL(2, m_Table.recentVMCount());
}

// Guards against counting the load of a dead VM for ever.
TEST(LoadDigest, SilentVMsAreRemoved) {
  m_Table.apply(digest("a", 1, 100), m_Fleet, m_Now);
  m_Table.refresh(m_Fleet, m_Now + 2s);
  DOUBLES_EQUAL(0, endpoint().m_PeerTokens, 0);
  LONGS_EQUAL(0, m_Table.recentVMCount());
}

// Guards against a delayed digest that replaces a newer one. A restarted VM
// begins again at number 1.
TEST(LoadDigest, DelayedDigestIsDropped) {
  m_Table.apply(digest("a", 5, 100), m_Fleet, m_Now);
  m_Table.apply(digest("a", 4, 1), m_Fleet, m_Now);
  DOUBLES_EQUAL(100, endpoint().m_PeerTokens, 0);
  m_Table.apply(digest("a", 1, 7), m_Fleet, m_Now + 2s);
  DOUBLES_EQUAL(7, endpoint().m_PeerTokens, 0);
}

// Guards against a suspicion that VMs keep alive by passing it to each other.
TEST(LoadDigest, SuspicionOfOthersIsNotPassedOn) {
  auto Suspects = m_Table.apply(digest("a", 1, 0, 1000), m_Fleet, m_Now);
  LONGS_EQUAL(1, Suspects.size());
  CHECK(!endpoint().canServe(m_Now));
  CHECK(endpoint().canServe(m_Now + 1s));
  for (const auto &Load : m_Table.digestOfVM("b", m_Fleet, m_Now).m_Loads)
    LONGS_EQUAL(0, Load.m_SuspectMs);
}

// Guards against a VM that prolongs its own suspicion by that of another VM,
// which prolongs its own in turn.
TEST(LoadDigest, OwnSuspicionIsNotProlongedByOthers) {
  endpoint().m_SuspectUntil = endpoint().m_OwnSuspectUntil = m_Now + 100ms;
  m_Table.apply(digest("a", 1, 0, 4000), m_Fleet, m_Now);
  CHECK(!endpoint().canServe(m_Now + 3900ms));
  LONGS_EQUAL(100,
              m_Table.digestOfVM("b", m_Fleet, m_Now).m_Loads[0].m_SuspectMs);
}

// Guards against an old pace that never expires since it is noted again with
// each query, also if the engine does not answer.
TEST(LoadDigest, QueryDoesNotRenewThePace) {
  endpoint().notePace(5, true, m_Now);
  Time Later = m_Now + 2s;
  CHECK(endpoint().isPaceQueryDue(Later));
  endpoint().m_PaceQueriedAt = Later;
  CHECK(!endpoint().isPaceQueryDue(Later + 1s));
  CHECK(!endpoint().isPaceRecent(Later));
  DOUBLES_EQUAL(1, endpoint().pace(m_Now + 5s), 0);
}

// Pattern: a slow engine. Guards against each VM querying the engine for its
// pace, and against a peer's value that replaces a newer own one.
TEST(LoadDigest, ReceivedPaceIsNotPassedOn) {
  m_Table.apply(digest("a", 1, 100), m_Fleet, m_Now);
  CHECK(endpoint().isPaceRecent(m_Now));
  DOUBLES_EQUAL(1.5, endpoint().pace(m_Now), 0.01);
  LONGS_EQUAL(0, m_Table.digestOfVM("b", m_Fleet, m_Now).m_Loads.size());
  endpoint().notePace(4, true, m_Now);
  m_Table.apply(digest("a", 2, 100), m_Fleet, m_Now);
  DOUBLES_EQUAL(4, endpoint().pace(m_Now), 0.01);
  DOUBLES_EQUAL(4, m_Table.digestOfVM("b", m_Fleet, m_Now).m_Loads[0].m_Pace,
                0.01);
  DOUBLES_EQUAL(1, endpoint().pace(m_Now + 5s), 0.01);
}

// Pattern: a failure domain that is short of memory uses the engines of another
// one. Guards against sums that omit VMs or include other domains.
TEST(LoadDigest, SumsOfAFailureDomain) {
  endpoint().m_Tokens = 5;
  endpoint().m_Running = 1;
  m_Table.apply(digest("a", 1, 100), m_Fleet, m_Now);
  LoadDigest Other = digest("z", 1, 1000);
  Other.m_IsDomainSum = true;
  m_Table.apply(Other, m_Fleet, m_Now);
  LoadDigest Sum = m_Table.digestOfDomain("x", m_Fleet, m_Now);
  DOUBLES_EQUAL(105, Sum.m_Loads[0].m_Tokens, 0);
  LONGS_EQUAL(4, Sum.m_Loads[0].m_Running);
  LONGS_EQUAL(1, m_Table.recentVMCount());
  DOUBLES_EQUAL(1100, endpoint().m_PeerTokens, 0);
}

PARSLEYRING_TEST_MAIN
