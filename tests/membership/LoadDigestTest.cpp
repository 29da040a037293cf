#include "membership/LoadDigest.h"

#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <map>
#include <random>

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
  LoadDigest Sent = digest("vm", 7, 1234, 55);
  Sent.m_StoreVersion = {2, 90};
  Sent.m_StoreAnswerAge = 120ms;
  Sent.m_ConfigurationVersion = 11;
  auto Read = LoadDigest::decode(Sent.encode());
  CHECK(Read.has_value());
  CHECK(Sent.m_StoreVersion == Read->m_StoreVersion);
  CHECK(Sent.m_StoreAnswerAge == Read->m_StoreAnswerAge);
  LONGS_EQUAL(11, Read->m_ConfigurationVersion);
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
  auto Suspects =
      m_Table.apply(digest("a", 1, 0, 1000), m_Fleet, m_Now).m_NewSuspects;
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

// Guards against sums kept by difference that drift from the loads of the last
// digests when VMs and endpoints come and go.
TEST(LoadDigest, SumsFollowTheLastDigests) {
  std::minstd_rand Random(1);
  std::map<std::string, std::map<std::string, double>> Tokens;
  auto Name = [&](const char *Prefix, unsigned Count) {
    return Prefix + std::to_string(Random() % Count);
  };
  for (std::uint64_t Number = 1; Number <= 2000; ++Number) {
    EndpointEntry Entry;
    Entry.m_Id = Name("e", 12);
    if (Random() % 40 == 0)
      m_Fleet.unlist(Entry.m_Id, m_Now);
    else if (Random() % 20 == 0)
      m_Fleet.list(Entry, m_Now);
    LoadDigest Digest{Name("vm", 8), false, Number, {}};
    Tokens[Digest.m_Sender].clear();
    for (unsigned Load = 0; Load < 12; Load += 1 + Random() % 4) {
      std::string Id = "e" + std::to_string(Load);
      Digest.m_Loads.push_back({Id, double(Random() % 5000), 1, 0, 0, 1});
      Tokens[Digest.m_Sender][Id] = Digest.m_Loads.back().m_Tokens;
    }
    m_Table.apply(Digest, m_Fleet, m_Now);
    m_Table.refresh(m_Fleet, m_Now);
    for (const auto &[Id, Endpoint] : m_Fleet.endpoints()) {
      double Sum = 0;
      unsigned Running = 0;
      for (const auto &[VM, Loads] : Tokens)
        if (Loads.count(Id)) {
          Sum += Loads.at(Id);
          ++Running;
        }
      DOUBLES_EQUAL(Sum, Endpoint->m_PeerTokens, 0);
      LONGS_EQUAL(Running, Endpoint->m_PeerRunningAsFirst);
    }
  }
}

// Guards against digests that take up a VM of 0.12 cores in a large fleet: the
// budget for control is 1.4% of a core.
TEST(LoadDigest, DigestsOfALargeFleetAreCheap) {
  constexpr int VMs = 60;
  constexpr int DigestsPerSecond = 5;
  for (int Index = 0; Index < 600; ++Index) {
    EndpointEntry Entry;
    Entry.m_Id = "i-" + std::to_string(1000000 + Index);
    m_Fleet.list(Entry, m_Now);
  }
  std::vector<LoadDigest> Digests;
  for (int VM = 0; VM < VMs; ++VM) {
    LoadDigest Digest{"vm" + std::to_string(VM), false, 1, {}};
    for (int Load = 0; Load < 100; ++Load)
      Digest.m_Loads.push_back(
          {"i-" + std::to_string(1000000 + Load * 6), 1000, 1, 1, 0, 1});
    Digests.push_back(Digest);
  }
  std::clock_t Start = std::clock();
  for (int Round = 0; Round < DigestsPerSecond; ++Round) {
    for (LoadDigest &Digest : Digests) {
      ++Digest.m_Number;
      m_Table.apply(Digest, m_Fleet, m_Now);
    }
    m_Table.refresh(m_Fleet, m_Now);
  }
  double Seconds = double(std::clock() - Start) / CLOCKS_PER_SEC;
  CHECK(Seconds < 0.014);
}

// Guards against limits that only the VMs know that got such an answer
// themselves.
TEST(LoadDigest, LimitsAndDemandAreReported) {
  endpoint().m_Limit.noteStated(2.5, m_Now);
  endpoint().m_LimitShare.noteDemand(m_Now);
  auto Read =
      LoadDigest::decode(m_Table.digestOfVM("a", m_Fleet, m_Now + 1s).encode());
  FleetTable Fleet;
  Fleet.list(endpoint().m_Entry, m_Now);
  LoadDigestTable Table;
  DigestChanges Changes = Table.apply(*Read, Fleet, m_Now + 1s);
  LONGS_EQUAL(1, Changes.m_NewLimits.size());
  FleetEndpoint &Peer = *Fleet.find("e");
  DOUBLES_EQUAL(2.5, Peer.m_Limit.rate().value(), 0.001);
  DOUBLES_EQUAL(endpoint().m_LimitShare.demand(m_Now + 1s), Peer.m_PeerDemand,
                0.001);
  // A lost digest changes nothing; that of an end does.
  Table.refresh(Fleet, m_Now + 10s);
  CHECK(Peer.m_Limit.rate().has_value());
  DOUBLES_EQUAL(0, Peer.m_PeerDemand, 0.001);
  endpoint().m_Limit.noteNotStated(m_Now + 11s);
  Read = LoadDigest::decode(
      m_Table.digestOfVM("a", m_Fleet, m_Now + 12s).encode());
  Table.apply(*Read, Fleet, m_Now + 12s);
  CHECK(!Peer.m_Limit.rate());
}

// Guards against sums of a failure domain without the limits that its VMs know,
// or with an outdated one.
TEST(LoadDigest, DomainSumHasTheNewestLimit) {
  auto Report = [&](const std::string &VM, LimitReport Limit) {
    LoadDigest Digest = digest(VM, 1, 10);
    Digest.m_Loads[0].m_Limit = Limit;
    Digest.m_Loads[0].m_Demand = 2;
    m_Table.apply(Digest, m_Fleet, m_Now);
  };
  Report("a", {4, 500ms});
  Report("b", {std::nullopt, 100ms});
  LoadDigest Sum = m_Table.digestOfDomain("d", m_Fleet, m_Now + 1s);
  LONGS_EQUAL(1, Sum.m_Loads.size());
  CHECK(Sum.m_Loads[0].m_Limit && !Sum.m_Loads[0].m_Limit->m_Rate);
  CHECK(Sum.m_Loads[0].m_Limit->m_Age == 1100ms);
  DOUBLES_EQUAL(4, Sum.m_Loads[0].m_Demand, 0);
}

// Guards against numbers of a limit that a VM of another release sends.
TEST(LoadDigest, HugeLimitsAreBounded) {
  LoadDigest Digest = digest("a", 1, 10);
  Digest.m_Loads[0].m_Limit = LimitReport{1e300, 1h * 1000};
  Digest.m_Loads[0].m_Demand = 1e300;
  auto Read = LoadDigest::decode(Digest.encode());
  CHECK(Read && Read->m_Loads[0].m_Limit);
  CHECK(*Read->m_Loads[0].m_Limit->m_Rate <= 1e9);
  CHECK(Read->m_Loads[0].m_Limit->m_Age <= 24h);
}

// Guards against a leaving endpoint of which only the VM knows that got the
// answer, and against an older digest that undoes it.
TEST(LoadDigest, LeavingEndpointsAreTold) {
  m_Fleet.noteLeaving({"e", 0}, true, m_Now);
  std::string Bytes = m_Table.digestOfVM("a", m_Fleet, m_Now).encode();
  FleetTable Fleet;
  Fleet.list(endpoint().m_Entry, m_Now);
  LoadDigestTable Table;
  DigestChanges Changes = Table.apply(*LoadDigest::decode(Bytes), Fleet, m_Now);
  LONGS_EQUAL(1, Changes.m_NewLeaving.size());
  CHECK(!Fleet.find("e")->canServe(m_Now));
  LoadDigest Other = digest("b", 1, 10);
  LONGS_EQUAL(0, Table.apply(Other, Fleet, m_Now).m_NewLeaving.size());
  Other = digest("a", 2, 10);
  LONGS_EQUAL(0, Table.apply(Other, Fleet, m_Now).m_NewLeaving.size());
  CHECK(!Fleet.find("e")->canServe(m_Now + 10s));
  // Within the failure domain the VMs that got the answer tell it, to other
  // ones the representative.
  LONGS_EQUAL(0, Table.digestOfVM("b", Fleet, m_Now).m_Leaving.size());
  LONGS_EQUAL(1, Table.digestOfDomain("d", Fleet, m_Now).m_Leaving.size());
}

// Guards against digests that do not fit into the buffer of a receiver when
// many endpoints leave at once.
TEST(LoadDigest, DigestOfManyLeavingEndpointsStaysSmall) {
  for (int Index = 0; Index < 1000; ++Index) {
    EndpointEntry Entry;
    Entry.m_Id = "i-0123456789abcdef-" + std::to_string(Index);
    Entry.m_StartTimeMs = 1778079888405;
    m_Fleet.list(Entry, m_Now);
    m_Fleet.noteLeaving({Entry.m_Id, Entry.m_StartTimeMs}, true, m_Now);
  }
  LoadDigest Digest = m_Table.digestOfVM("a", m_Fleet, m_Now);
  LONGS_EQUAL(LoadDigest::MaxLeaving, Digest.m_Leaving.size());
  CHECK(Digest.encode().size() < 5000);
}

// Guards against VMs that divide a link without the demand of the others, and
// against demand that is counted after its VM has fallen silent.
TEST(LoadDigest, DemandForLinksIsReported) {
  LoadDigestTable Sender;
  Sender.setLinkDemand({{{"b", "a"}, 120.5}, {{"a", "c"}, 0.001}});
  LoadDigest Sent = Sender.digestOfVM("vm", m_Fleet, m_Now);
  LONGS_EQUAL(1, Sent.m_Links.size());
  auto Read = LoadDigest::decode(Sent.encode());
  CHECK(Read.has_value());
  m_Table.apply(*Read, m_Fleet, m_Now);
  DOUBLES_EQUAL(120.5, m_Table.peerLinkDemand({"a", "b"}), 0.001);
  Sender.setLinkDemand({{{"a", "b"}, 20}, {{"a", "c"}, 3}});
  m_Table.apply(Sender.digestOfVM("vm", m_Fleet, m_Now), m_Fleet, m_Now);
  DOUBLES_EQUAL(20, m_Table.peerLinkDemand({"a", "b"}), 0.001);
  DOUBLES_EQUAL(3, m_Table.peerLinkDemand({"c", "a"}), 0.001);
  CHECK(m_Table.hasReports());
  m_Table.refresh(m_Fleet, m_Now + 2s);
  DOUBLES_EQUAL(0, m_Table.peerLinkDemand({"a", "b"}), 0);
  CHECK(!m_Table.hasReports());
}

// Guards against sums of a failure domain that omit VMs or include the demand
// of other domains.
TEST(LoadDigest, DomainSumHasTheDemandForLinks) {
  auto Report = [&](const std::string &Name, bool IsSum, std::int64_t Demand) {
    LoadDigest Digest = digest(Name, 1, 10);
    Digest.m_IsDomainSum = IsSum;
    Digest.m_Links = {{{"a", "b"}, Demand}};
    m_Table.apply(Digest, m_Fleet, m_Now);
  };
  m_Table.setLinkDemand({{{"a", "b"}, 1}, {{"b", "c"}, 2}});
  Report("vm1", false, 3000);
  Report("vm2", false, 4000);
  Report("z", true, 50000);
  DOUBLES_EQUAL(57, m_Table.peerLinkDemand({"a", "b"}), 0.001);
  LoadDigest Sum = m_Table.digestOfDomain("x", m_Fleet, m_Now);
  LONGS_EQUAL(2, Sum.m_Links.size());
  LONGS_EQUAL(8000, Sum.m_Links[0].m_KilobitsPerSecond);
  LONGS_EQUAL(2000, Sum.m_Links[1].m_KilobitsPerSecond);
}

// Guards against digests of an older release, which have no links, that are
// rejected, and against malformed rows that are used in part.
TEST(LoadDigest, MalformedLinksAreRejected) {
  using nlohmann::json;
  auto Decode = [&](const json &Links) {
    std::string Bytes = digest("vm", 7, 1234).encode();
    json Root = json::from_cbor(Bytes);
    CHECK(!Root.contains("links"));
    Root["links"] = Links;
    std::vector<std::uint8_t> Changed = json::to_cbor(Root);
    return LoadDigest::decode({Changed.begin(), Changed.end()});
  };
  CHECK(LoadDigest::decode(digest("vm", 7, 1234).encode())->m_Links.empty());
  json Row{"a", "b", 5};
  CHECK(Decode(json::array({Row})).has_value());
  // A later release may add fields.
  CHECK(Decode(json::array({{"a", "b", 5, "more"}})).has_value());
  for (const json &Links :
       {json("a"), json::object(), json::array({Row, 7}),
        json::array({{"a", "b"}}), json::array({{"a", "b", -5}}),
        json::array({{"a", "b", 1.5}}), json::array({{"a", 4, 5}}),
        json::array({{"a", "a", 5}}),
        json(std::vector<json>(LoadDigest::MaxLinks + 1, Row))})
    CHECK_TEXT(!Decode(Links), Links.dump().c_str());
}

// Guards against digests that do not fit into the buffer of a receiver: at 300
// VMs in three failure domains, each digest has up to three rows.
TEST(LoadDigest, DemandForLinksTakesFewBytes) {
  LoadDigest Digest = digest("edge-maan-a-3", 1, 10);
  std::size_t Before = Digest.encode().size();
  std::map<DomainLink, double> Demand;
  for (const char *Left : {"maan-a", "aqaba-b", "tafilah-c"})
    for (const char *Right : {"maan-a", "aqaba-b", "tafilah-c"})
      if (std::string(Left) < Right)
        Demand[{Left, Right}] = 3920;
  LONGS_EQUAL(3, Demand.size());
  m_Table.setLinkDemand(Demand);
  Digest.m_Links = m_Table.digestOfVM("x", m_Fleet, m_Now).m_Links;
  std::size_t Added = Digest.encode().size() - Before;
  CHECK_TEXT(Added <= 90, std::to_string(Added).c_str());
}

PARSLEYRING_TEST_MAIN
