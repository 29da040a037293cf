#include "store/VMDirectory.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static VMDirectory directoryOf(const std::string &Self, int VMsInDomain) {
  VMDirectory Directory({Self, "10.1.0." + Self + ":1", "a"},
                        {"10.9.0.1:1", "10.1.0." + Self + ":1"});
  for (int VM = 1; VM <= VMsInDomain; ++VM) {
    std::string Name = std::to_string(VM);
    Directory.list("k" + Name, {Name, "10.1.0." + Name + ":1", "a"});
  }
  Directory.list("x1", {"x1", "10.2.0.1:1", "b"});
  return Directory;
}

TEST_GROUP(VMDirectory){};

// Guards against VMs of a small failure domain that depend on each other
// although each of them could watch the store itself.
TEST(VMDirectory, SmallFailureDomainsHaveNoRelays) {
  CHECK(directoryOf("3", 4).relayAddresses().empty());
  CHECK(directoryOf("1", 4).relayAddresses().empty());
}

// Guards against calls to the store that grow with the number of VMs, and
// against relays that poll each other.
TEST(VMDirectory, LargeFailureDomainsHaveTwoRelays) {
  int Relays = 0;
  for (int VM = 1; VM <= 9; ++VM) {
    VMDirectory Directory = directoryOf(std::to_string(VM), 9);
    bool IsRelay = Directory.relayAddresses().empty();
    Relays += IsRelay;
    LONGS_EQUAL(IsRelay ? 0 : 2, Directory.relayAddresses().size());
    CHECK_EQUAL(IsRelay, Directory.isRepresentative());
  }
  LONGS_EQUAL(2, Relays);
}

// Guards against a failure domain in which no VM asks the store often, or in
// which all do.
TEST(VMDirectory, EachFailureDomainHasOnePrimaryWatcher) {
  for (int Size : {1, 3, 9}) {
    int Primary = 0;
    for (int VM = 1; VM <= Size; ++VM)
      Primary += directoryOf(std::to_string(VM), Size).isPrimaryWatcher();
    LONGS_EQUAL(1, Primary);
  }
  CHECK(directoryOf("1", 0).isPrimaryWatcher());
}

// Guards against representatives that are too small for the work that they do
// for the other VMs of their failure domain.
TEST(VMDirectory, RepresentativesAreTheLargestVMs) {
  VMDirectory Directory = directoryOf("1", 6);
  Directory.list("k4", {"4", "10.1.0.4:1", "a", 0.5});
  Directory.list("k5", {"5", "10.1.0.5:1", "a", 0.25});
  auto Representatives = Directory.representatives("a");
  STRCMP_EQUAL("4", Representatives[0].m_Name.c_str());
  STRCMP_EQUAL("5", Representatives[1].m_Name.c_str());
  CHECK(!Directory.isPrimaryWatcher());
}

// Guards against a VM that gets no updates during an outage of the store
// although another VM has them.
TEST(VMDirectory, ListsOwnDomainThenOtherDomainsThenSeeds) {
  auto Peers = directoryOf("2", 3).peerAddresses();
  LONGS_EQUAL(4, Peers.size());
  STRCMP_EQUAL("10.1.0.1:1", Peers[0].c_str());
  STRCMP_EQUAL("10.2.0.1:1", Peers[2].c_str());
  STRCMP_EQUAL("10.9.0.1:1", Peers[3].c_str());
}

// Guards against digests of another failure domain that are forwarded in an
// endless loop.
TEST(VMDirectory, FindsDomainPeersByAddress) {
  VMDirectory Directory = directoryOf("2", 3);
  CHECK(Directory.isDomainPeer("10.1.0.3"));
  CHECK(!Directory.isDomainPeer("10.1.0.2"));
  CHECK(!Directory.isDomainPeer("10.2.0.1"));
  CHECK(!Directory.isDomainPeer("10.1.0"));
}

// Guards against VMs that no longer reach each other since the list was
// restored from a copy that lacks them, and against VMs that stay listed for
// ever.
TEST(VMDirectory, VMsStayListedForAShortTimeAfterARestoration) {
  const Time Now{1000s};
  VMDirectory Directory = directoryOf("1", 3);
  Directory.noteRestored(Now);
  Directory.list("k2", {"2", "10.1.0.2:1", "a"});
  Directory.expire(Now + 2s);
  LONGS_EQUAL(2, Directory.domainPeers().size());
  Directory.expire(Now + VMDirectory::RestorationGracePeriod);
  LONGS_EQUAL(1, Directory.size());
  STRCMP_EQUAL("2", Directory.domainPeers().front().m_Name.c_str());
}

PARSLEYRING_TEST_MAIN
