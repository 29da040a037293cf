#include "membership/LoadDigest.h"

#include "support/SeedRange.h"
#include "support/TestMain.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static constexpr Duration Step = 20ms;
static constexpr Duration DigestInterval = 240ms;
// Twice as long as the digest of a VM takes to its failure domain, that of the
// domain to the next one, and within that one.
static constexpr Duration SpreadTime = 2 * (4 * DigestInterval);
static constexpr Duration Length = 9s;

namespace {

/// Endpoints as they are. The list says of all of them that they are ready.
struct SimulatedEndpoint {
  EndpointEntry m_Entry;
  Time m_LeavesAt{};         ///< Zero: never.
  Time m_FirstStatedAt{};    ///< To a VM that exchanges digests.
  Time m_FirstUsedAgainAt{}; ///< The next incarnation.
};

struct SimulatedVM {
  std::string m_Name;
  std::size_t m_Domain = 0;
  bool m_IsCutOff = false; ///< Gets and sends no digests.
  FleetTable m_Fleet;
  LoadDigestTable m_Digests;
  /// By endpoint: when this VM got a statement of the present incarnation.
  std::vector<Time> m_ToldAt;
};

/// An answer on its way to a VM.
struct Answer {
  Time m_At{};
  std::size_t m_VM = 0;
  std::size_t m_Endpoint = 0;
  EndpointIncarnation m_Sender;
};

/// VMs of three failure domains that send requests to the endpoints of one
/// service, a third of which leave and start again under the same id.
class SimulatedFleet {
public:
  SimulatedFleet(std::size_t VMs, std::size_t Endpoints, unsigned Seed)
      : m_Random(Seed), m_VMs(VMs), m_Endpoints(Endpoints) {
    for (std::size_t Index = 0; Index < Endpoints; ++Index) {
      SimulatedEndpoint &Endpoint = m_Endpoints[Index];
      Endpoint.m_Entry.m_Id = "e" + std::to_string(Index);
      Endpoint.m_Entry.m_Service = "s";
      Endpoint.m_Entry.m_StartTimeMs = 1000;
      if (Index % 3 == 0)
        Endpoint.m_LeavesAt = m_Start + Duration(random(2'000'000));
    }
    for (std::size_t Index = 0; Index < VMs; ++Index) {
      SimulatedVM &VM = m_VMs[Index];
      VM.m_Name = "vm" + std::to_string(Index);
      VM.m_Domain = Index % 3;
      // The first VM of a failure domain represents it.
      VM.m_IsCutOff = Index >= 3 && random(5) == 0;
      VM.m_ToldAt.resize(Endpoints);
      for (const SimulatedEndpoint &Endpoint : m_Endpoints)
        VM.m_Fleet.list(Endpoint.m_Entry, m_Start);
    }
  }

  void run() {
    for (Time Now = m_Start; Now < m_Start + Length; Now += Step) {
      deliver(Now);
      startAgain(Now);
      relist(Now);
      if ((Now - m_Start) % DigestInterval == Duration::zero())
        exchangeDigests(Now);
      for (std::size_t VM = 0; VM < m_VMs.size(); ++VM)
        if (random(4) == 0)
          send(VM, Now);
    }
  }

  int m_Sent = 0;
  int m_Unserved = 0; ///< No endpoint was found.
  int m_SentAfterStatement = 0;
  int m_SentAfterSpread = 0;
  bool areNewIncarnationsUsed() const {
    for (const SimulatedEndpoint &Endpoint : m_Endpoints)
      if (Endpoint.m_LeavesAt != Time{} &&
          Endpoint.m_FirstUsedAgainAt == Time{})
        return false;
    return true;
  }

private:
  std::size_t random(std::size_t Count) { return m_Random() % Count; }

  void deliver(Time Now) {
    std::vector<Answer> Remaining;
    for (Answer &Each : m_Answers) {
      if (Now < Each.m_At) {
        Remaining.push_back(std::move(Each));
        continue;
      }
      SimulatedVM &VM = m_VMs[Each.m_VM];
      SimulatedEndpoint &Endpoint = m_Endpoints[Each.m_Endpoint];
      VM.m_Fleet.noteLeaving(Each.m_Sender, true, Now);
      if (Each.m_Sender.m_StartTimeMs != Endpoint.m_Entry.m_StartTimeMs)
        continue;
      VM.m_ToldAt[Each.m_Endpoint] = Now;
      if (!VM.m_IsCutOff && Endpoint.m_FirstStatedAt == Time{})
        Endpoint.m_FirstStatedAt = Now;
    }
    m_Answers = std::move(Remaining);
  }
  // Endpoints start again 4 s after they began to leave.
  void startAgain(Time Now) {
    for (std::size_t Index = 0; Index < m_Endpoints.size(); ++Index) {
      SimulatedEndpoint &Endpoint = m_Endpoints[Index];
      if (Endpoint.m_LeavesAt == Time{} ||
          Endpoint.m_Entry.m_StartTimeMs > 1000 ||
          Now < Endpoint.m_LeavesAt + 4s)
        continue;
      Endpoint.m_Entry.m_StartTimeMs = 2000;
      Endpoint.m_FirstStatedAt = Time{};
      for (SimulatedVM &VM : m_VMs) {
        VM.m_Fleet.list(Endpoint.m_Entry, Now);
        VM.m_ToldAt[Index] = Time{};
      }
    }
  }
  // Entries come again, or are lost and return.
  void relist(Time Now) {
    SimulatedVM &VM = m_VMs[random(m_VMs.size())];
    const EndpointEntry &Entry =
        m_Endpoints[random(m_Endpoints.size())].m_Entry;
    if (random(2) == 0)
      VM.m_Fleet.unlist(Entry.m_Id, Now);
    VM.m_Fleet.list(Entry, Now);
    VM.m_Fleet.expire(Now);
  }
  void exchangeDigests(Time Now) {
    for (SimulatedVM &Sender : m_VMs) {
      if (Sender.m_IsCutOff)
        continue;
      LoadDigest Digest =
          Sender.m_Digests.digestOfVM(Sender.m_Name, Sender.m_Fleet, Now);
      for (SimulatedVM &Receiver : m_VMs)
        if (&Receiver != &Sender && Receiver.m_Domain == Sender.m_Domain)
          receive(Receiver, Digest, Now);
    }
    for (std::size_t Domain = 0; Domain < 3; ++Domain) {
      SimulatedVM &Sender = m_VMs[Domain];
      LoadDigest Sum = Sender.m_Digests.digestOfDomain(
          "domain" + std::to_string(Domain), Sender.m_Fleet, Now);
      for (SimulatedVM &Receiver : m_VMs)
        if (Receiver.m_Domain != Domain)
          receive(Receiver, Sum, Now);
    }
  }
  // A tenth of the digests is lost.
  void receive(SimulatedVM &Receiver, const LoadDigest &Digest, Time Now) {
    if (!Receiver.m_IsCutOff && random(10) != 0)
      Receiver.m_Digests.apply(Digest, Receiver.m_Fleet, Now);
  }
  void send(std::size_t Index, Time Now) {
    SimulatedVM &VM = m_VMs[Index];
    std::vector<std::size_t> Usable;
    for (std::size_t Target = 0; Target < m_Endpoints.size(); ++Target)
      if (VM.m_Fleet.find(m_Endpoints[Target].m_Entry.m_Id)->canServe(Now))
        Usable.push_back(Target);
    ++m_Sent;
    if (Usable.empty()) {
      ++m_Unserved;
      return;
    }
    std::size_t Target = Usable[random(Usable.size())];
    SimulatedEndpoint &Endpoint = m_Endpoints[Target];
    if (Endpoint.m_Entry.m_StartTimeMs > 1000) {
      Endpoint.m_FirstUsedAgainAt = Now;
      return;
    }
    if (VM.m_ToldAt[Target] != Time{})
      ++m_SentAfterStatement;
    if (!VM.m_IsCutOff && Endpoint.m_FirstStatedAt != Time{} &&
        Now >= Endpoint.m_FirstStatedAt + SpreadTime)
      ++m_SentAfterSpread;
    if (Endpoint.m_LeavesAt != Time{} && Now >= Endpoint.m_LeavesAt)
      m_Answers.push_back(
          {Now + Duration(20'000 + random(200'000)),
           Index,
           Target,
           {Endpoint.m_Entry.m_Id, Endpoint.m_Entry.m_StartTimeMs}});
  }

  const Time m_Start{1000s};
  std::minstd_rand m_Random;
  std::vector<SimulatedVM> m_VMs;
  std::vector<SimulatedEndpoint> m_Endpoints;
  std::vector<Answer> m_Answers;
};

} // namespace

TEST_GROUP(LeavingSpread){
    void check(std::size_t VMs, std::size_t Endpoints,
               unsigned Seed){SimulatedFleet Fleet(VMs, Endpoints, Seed);
Fleet.run();
std::string Message =
    std::to_string(VMs) + " VMs, seed " + std::to_string(Seed) + ": " +
    std::to_string(Fleet.m_Sent) + " sent, " +
    std::to_string(Fleet.m_Unserved) + " not served, " +
    std::to_string(Fleet.m_SentAfterStatement) +
    " after a statement to the VM, " + std::to_string(Fleet.m_SentAfterSpread) +
    " after one to another VM";
CHECK_TEXT(Fleet.m_Sent > 0, Message.c_str());
LONGS_EQUAL_TEXT(0, Fleet.m_Unserved, Message.c_str());
LONGS_EQUAL_TEXT(0, Fleet.m_SentAfterStatement, Message.c_str());
LONGS_EQUAL_TEXT(0, Fleet.m_SentAfterSpread, Message.c_str());
CHECK_TEXT(Fleet.areNewIncarnationsUsed(), Message.c_str());
}
}
;

// Pattern: a third of the endpoints leave within two seconds while the list
// says that they are ready. Guards against requests that reach an endpoint
// after it has stated that it is leaving to the VM that sends them, also if the
// VM is cut off from the others, or for longer than digests take to another VM.
TEST(LeavingSpread, SmallFleets) {
  for (unsigned Seed : SeedRange(40))
    check(7, 12, Seed);
}

// Guards against the same in a fleet of many VMs, of which few get an answer of
// each endpoint.
TEST(LeavingSpread, LargeFleet) {
  for (unsigned Seed : SeedRange(1))
    check(300, 60, Seed);
}

PARSLEYRING_TEST_MAIN
