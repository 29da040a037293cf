#include "membership/PeerTable.h"

#include "support/TestMain.h"

#include <functional>
#include <map>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

namespace {

constexpr Time Start = Time(std::chrono::hours(400000));

PeerInfo makePeer(int Number, int Domains) {
  PeerInfo Info;
  Info.m_Identity = {"vm-" + std::to_string(Number), 1};
  Info.m_Address = "127.0.0.1:" + std::to_string(10000 + Number);
  Info.m_FailureDomain = "fd-" + std::to_string(Number % Domains);
  return Info;
}

/// Simulates VMs whose tables exchange digests each second. The predicate
/// m_IsCut disconnects links.
class Fleet {
public:
  Fleet(int Count, int Domains) {
    for (int Number = 0; Number < Count; ++Number)
      m_Infos.push_back(makePeer(Number, Domains));
    for (const PeerInfo &Info : m_Infos) {
      m_Tables[Info.m_Identity.m_VM] = std::make_unique<PeerTable>(m_Now, Info);
      for (const PeerInfo &Other : m_Infos)
        table(Info).add(Other);
    }
  }

  PeerTable &table(const PeerInfo &Info) {
    return *m_Tables.at(Info.m_Identity.m_VM);
  }
  PeerTable &table(int Number) { return table(m_Infos[Number]); }

  void runRound() {
    m_Now += HeartbeatInterval;
    for (const PeerInfo &Info : m_Infos) {
      if (m_IsCut(Info, Info))
        continue;
      Digest Sent = table(Info).digest(m_Now);
      for (const PeerInfo &Target : table(Info).heartbeatTargets(m_Now))
        if (!m_IsCut(Info, Target))
          table(Target).receive(m_Now, Sent);
    }
  }

  void runRounds(int Count) {
    for (int Round = 0; Round < Count; ++Round)
      runRound();
  }

  Time m_Now = Start;
  std::vector<PeerInfo> m_Infos;
  std::function<bool(const PeerInfo &, const PeerInfo &)> m_IsCut =
      [](const PeerInfo &, const PeerInfo &) { return false; };

private:
  std::map<std::string, std::unique_ptr<PeerTable>> m_Tables;
};

} // namespace

TEST_GROUP(PeerTable){};

// Guards against dead VMs that still count toward the limits and as pollers.
TEST(PeerTable, SilentPeerIsDropped) {
  Fleet Vms(8, 3);
  Vms.runRounds(2);
  LONGS_EQUAL(7, Vms.table(0).summary(Vms.m_Now).m_LivePeers);
  Vms.m_IsCut = [](const PeerInfo &From, const PeerInfo &To) {
    return From.m_Identity.m_VM == "vm-3" || To.m_Identity.m_VM == "vm-3";
  };
  Vms.runRounds(4);
  LONGS_EQUAL(6, Vms.table(0).summary(Vms.m_Now).m_LivePeers);
}

// Guards against routing into a failure domain that is cut off, and against a
// domain that stays marked as unreachable after the partition has healed.
TEST(PeerTable, CutDomainIsUnreachableUntilItHeals) {
  for (int Count : {8, 66}) {
    Fleet Vms(Count, 3);
    Vms.runRounds(5);
    Vms.m_IsCut = [](const PeerInfo &From, const PeerInfo &To) {
      return (From.m_FailureDomain == "fd-1") != (To.m_FailureDomain == "fd-1");
    };
    Vms.runRounds(15);
    auto Domains = Vms.table(0).summary(Vms.m_Now).m_UnreachableDomains;
    LONGS_EQUAL(1, Domains.size());
    STRCMP_EQUAL("fd-1", Domains[0].c_str());
    LONGS_EQUAL(2, Vms.table(1).summary(Vms.m_Now).m_UnreachableDomains.size());
    Vms.m_IsCut = [](const PeerInfo &, const PeerInfo &) { return false; };
    Vms.runRounds(3);
    CHECK(Vms.table(0).summary(Vms.m_Now).m_UnreachableDomains.empty());
  }
}

// Guards against endpoints that are polled by no VM, by a single VM or by more
// VMs than needed.
TEST(PeerTable, EachEndpointHasTwoPollers) {
  Fleet Vms(9, 3);
  Vms.runRounds(3);
  for (int Number = 0; Number < 40; ++Number) {
    std::string Endpoint = "endpoint-" + std::to_string(Number);
    int Pollers = 0;
    for (const PeerInfo &Info : Vms.m_Infos)
      Pollers += Vms.table(Info).isPoller(Vms.m_Now, Endpoint, "fd-1");
    LONGS_EQUAL(2, Pollers);
  }
}

// Guards against endpoints without load reports when no router of their failure
// domain is left.
TEST(PeerTable, OtherDomainsPollIfNoRouterIsLeftThere) {
  Fleet Vms(9, 3);
  Vms.runRounds(3);
  Vms.m_IsCut = [](const PeerInfo &From, const PeerInfo &To) {
    return From.m_FailureDomain == "fd-1" || To.m_FailureDomain == "fd-1";
  };
  Vms.runRounds(5);
  int Pollers = 0;
  for (const PeerInfo &Info : Vms.m_Infos)
    if (Info.m_FailureDomain != "fd-1")
      Pollers += Vms.table(Info).isPoller(Vms.m_Now, "endpoint", "fd-1");
  LONGS_EQUAL(2, Pollers); // One in each of the other domains.
}

// Guards against missing load reports when the only router of a failure domain
// is cut off from an endpoint, but not from its peers.
TEST(PeerTable, OneRouterElsewherePollsForALoneRouter) {
  Fleet Vms(5, 4); // VMs 0 and 4 are in fd-0.
  Vms.runRounds(3);
  int Pollers = 0;
  for (const PeerInfo &Info : Vms.m_Infos)
    Pollers += Vms.table(Info).isPoller(Vms.m_Now, "endpoint", "fd-1");
  LONGS_EQUAL(2, Pollers);
  CHECK(Vms.table(1).isPoller(Vms.m_Now, "endpoint", "fd-1"));
}

// Guards against a leaving notice that reaches only the heartbeat targets of
// the VM that learned of it.
TEST(PeerTable, LeavingNoticeReachesEveryVMOfALargeFleet) {
  Fleet Vms(340, 11);
  Vms.runRounds(8);
  LONGS_EQUAL(339, Vms.table(0).summary(Vms.m_Now).m_LivePeers);
  Vms.table(0).addLeaving(Vms.m_Now, {"endpoint", "1"});
  Vms.runRounds(4);
  int Informed = 0;
  for (const PeerInfo &Info : Vms.m_Infos)
    Informed += !Vms.table(Info).addLeaving(Vms.m_Now, {"endpoint", "1"});
  LONGS_EQUAL(340, Informed);
}

// Guards against applying a delayed digest of an earlier process on the same
// VM.
TEST(PeerTable, DigestOfAnEarlierIncarnationIsIgnored) {
  PeerTable Table(Start, makePeer(0, 1));
  Digest Current;
  Current.m_Sender = makePeer(1, 1);
  Current.m_Sender.m_Identity.m_Number = 2;
  Current.m_IsDraining = true;
  Table.receive(Start, Current);
  Digest Late;
  Late.m_Sender = makePeer(1, 1);
  Late.m_Outstanding["account"] = 5;
  Table.receive(Start, Late);
  CHECK(Table.summary(Start).m_PeerOutstanding.empty());
  LONGS_EQUAL(0, Table.summary(Start).m_LivePeers);
}

// Guards against silent peers that are never removed, or removed too early.
TEST(PeerTable, UnlistedSilentPeersAreRemoved) {
  PeerTable Table(Start, makePeer(0, 1));
  Digest Received;
  Received.m_Sender = makePeer(1, 1);
  Table.receive(Start, Received);
  Table.expire(Start + std::chrono::minutes(30));
  LONGS_EQUAL(1, Table.knownPeers().size());
  Table.expire(Start + std::chrono::hours(2));
  LONGS_EQUAL(0, Table.knownPeers().size());
}

// Guards against digests that grow with the number of VMs, and against load
// reports that are not forwarded where VMs do not hear all others.
TEST(PeerTable, LoadIsForwardedOnlyWithoutAFullMesh) {
  for (int Count : {8, 66}) {
    Fleet Vms(Count, 3);
    Vms.runRounds(3);
    LoadReported Report;
    Report.m_Endpoint = "endpoint";
    Report.m_ReportedAt = Vms.m_Now;
    Vms.table(0).addLoad(Report);
    Vms.runRounds(3);
    bool IsForwarded = false;
    for (int Number = 1; Number < Count; ++Number)
      IsForwarded |= !Vms.table(Number).digest(Vms.m_Now).m_Load.empty();
    LONGS_EQUAL(1, Vms.table(0).digest(Vms.m_Now).m_Load.size());
    CHECK_EQUAL(Count > 16, IsForwarded);
  }
}

PARSLEYRING_TEST_MAIN
