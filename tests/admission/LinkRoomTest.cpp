#include "admission/LinkRoom.h"

#include "support/EngineFleet.h"
#include "support/TestMain.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

namespace {

/// A crossing that a VM wants to make.
struct Crossing {
  LinkUse m_Use = LinkUse::Urgent;
  double m_Megabits = 0;
};

struct SentCrossing {
  Crossing m_Crossing;
  Duration m_At{};
};

} // namespace

static double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

TEST_GROUP(LinkRoom) {
  const Time m_Start{1000s};
  const DomainLink m_Link{"a", "b"};
  EngineModel m_Model = largeModel();
  std::mt19937 m_Random{7};
  std::vector<LinkRoom> m_VMs;
  std::vector<SentCrossing> m_Sent;
  double m_NeededMegabits = 0;
  bool m_HasReports = true;
  /// Requests per second that cross at a VM, at a time since the start.
  std::function<double(std::size_t, Duration)> m_Need;
  std::function<Crossing()> m_NextCrossing = [this] {
    return Crossing{LinkUse::Urgent, usualMegabits()};
  };

  double random() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  double usualMegabits() const {
    return LinkRoom::megabits(m_Model, m_Model.m_UsualPromptTokens +
                                           m_Model.m_UsualAnswerTokens);
  }
  /// Requests of usual size per second that all VMs together may send.
  double usableRequests() const {
    return LinkRoom::UsableFraction * m_Model.m_PipeMegabitsPerSecond /
           usualMegabits();
  }
  void setRate(double MegabitsPerSecond) {
    m_Model.m_ActivationBytesPerToken = 19700;
    m_Model.m_UsualPromptTokens = 600;
    m_Model.m_UsualAnswerTokens = 200;
    m_Model.m_PipeMegabitsPerSecond = MegabitsPerSecond;
  }
  /// Runs VMs for Length. Each VM knows the demand of the others as it was up
  /// to 0.5 s ago. Crossings without credit are refused.
  void simulate(std::size_t VMs, Duration Length) {
    m_VMs.assign(VMs, LinkRoom());
    m_Sent.clear();
    m_NeededMegabits = 0;
    for (LinkRoom &VM : m_VMs)
      VM.configure(m_Model);
    std::vector<double> Reports(VMs, 0.0);
    double Sum = 0;
    const Duration Step = 5ms;
    for (Duration At{}; At < Length; At += Step) {
      Time Now = m_Start + At;
      if (At % Duration(500ms) == Duration::zero() && m_HasReports) {
        Sum = 0;
        for (std::size_t VM = 0; VM < VMs; ++VM)
          Sum += Reports[VM] = m_VMs[VM].demand(m_Link, Now);
      }
      for (std::size_t VM = 0; VM < VMs; ++VM) {
        if (random() >= m_Need(VM, At) * seconds(Step))
          continue;
        Crossing Next = m_NextCrossing();
        m_NeededMegabits += Next.m_Megabits;
        LinkUsers Users;
        Users.m_VMs = VMs;
        Users.m_HasReports = m_HasReports;
        Users.m_ReportedDemand = Sum - Reports[VM];
        m_VMs[VM].update(m_Link, Users, random(), Now);
        bool IsAllowed = m_VMs[VM].mayCross(m_Link, Next.m_Use);
        m_VMs[VM].noteDemand(m_Link, Next.m_Megabits, Now);
        if (!IsAllowed)
          continue;
        m_VMs[VM].take(m_Link, Next.m_Use, Next.m_Megabits);
        m_Sent.push_back({Next, At});
      }
    }
  }
  /// Longest time for which a link with the stated rate is behind with what is
  /// sent.
  double longestBacklog() const {
    double Longest = 0;
    double Backlog = 0;
    Duration Last{};
    for (const SentCrossing &Each : m_Sent) {
      Backlog = std::max(0.0, Backlog - seconds(Each.m_At - Last)) +
                Each.m_Crossing.m_Megabits / m_Model.m_PipeMegabitsPerSecond;
      Last = Each.m_At;
      Longest = std::max(Longest, Backlog);
    }
    return Longest;
  }
  double sentMegabits(Duration From, Duration Until) const {
    double Sum = 0;
    for (const SentCrossing &Each : m_Sent)
      if (Each.m_At >= From && Each.m_At < Until)
        Sum += Each.m_Crossing.m_Megabits;
    return Sum;
  }
  /// Part of the usable rate that is used.
  double usedFraction(Duration From, Duration Until) const {
    return sentMegabits(From, Until) / seconds(Until - From) /
           (LinkRoom::UsableFraction * m_Model.m_PipeMegabitsPerSecond);
  }
  void checkUse(double Least, double Most, Duration From, Duration Until)
      const {
    double Used = usedFraction(From, Until);
    std::string Text = std::to_string(m_VMs.size()) + " VMs at " +
                       std::to_string(m_Model.m_PipeMegabitsPerSecond) +
                       " Mbit/s use " + std::to_string(Used) +
                       " of the usable rate";
    CHECK_TEXT(Used >= Least && Used <= Most, Text.c_str());
  }
  void checkBacklog(double MaxSeconds) const {
    std::string Text = std::to_string(m_VMs.size()) + " VMs at " +
                       std::to_string(m_Model.m_PipeMegabitsPerSecond) +
                       " Mbit/s are behind by " +
                       std::to_string(longestBacklog()) + " s";
    CHECK_TEXT(longestBacklog() <= MaxSeconds, Text.c_str());
  }
  /// A room that one VM uses alone, which has all the credit that it can save.
  LinkRoom fullRoom() {
    LinkRoom Room;
    Room.configure(m_Model);
    Room.update(m_Link, {}, 0, m_Start);
    return Room;
  }
};

// Load: no chain is whole in any domain, and much more is needed than the link
// takes, by some VMs ten times as much as by others. Guards against VMs that
// each keep to their share, but exceed the link's usable rate together, and
// against a link that is hardly used.
TEST(LinkRoom, UnevenDemandStaysWithinTheUsableRate) {
  for (double Rate : {770.0, 3920.0})
    for (std::size_t VMs : {1, 7, 77, 300}) {
      setRate(Rate);
      m_Need = [&](std::size_t VM, Duration) {
        double Mean = 4 * usableRequests() / static_cast<double>(VMs);
        return VM % 2 == 0 || VMs == 1 ? Mean * 20 / 11 : Mean * 2 / 11;
      };
      simulate(VMs, 40s);
      checkUse(0.5, 1.1, 10s, 40s);
      checkBacklog(1.5);
    }
}

// The same load while no digests arrive. Guards against VMs that each take the
// whole link.
TEST(LinkRoom, WithoutReportsTheUsableRateIsKept) {
  m_HasReports = false;
  for (double Rate : {770.0, 3920.0})
    for (std::size_t VMs : {1, 7, 77, 300}) {
      setRate(Rate);
      m_Need = [&](std::size_t, Duration) {
        return 4 * usableRequests() / static_cast<double>(VMs);
      };
      simulate(VMs, 40s);
      // At 300 VMs the share of a VM at the lower rate is a request in 70 s.
      checkUse(0.3, 1.1, 10s, 40s);
      checkBacklog(1.5);
    }
}

// Load: all chains are lost at once while the links are idle. Guards against
// credit that all VMs have saved and use at the same time.
TEST(LinkRoom, SavedCreditOfManyVMsIsBounded) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed)
    for (double Rate : {770.0, 3920.0})
      for (std::size_t VMs : {1, 7, 77, 300}) {
        m_Random.seed(Seed);
        setRate(Rate);
        m_Need = [&](std::size_t, Duration At) {
          return At < 20s ? 0
                          : 10 * usableRequests() / static_cast<double>(VMs);
        };
        simulate(VMs, 40s);
        checkBacklog(1.5);
      }
}

// Load: two bursts of all VMs, with a pause in which the links are little used.
// Guards against a second burst for which the VMs have saved more.
TEST(LinkRoom, BurstsAfterLittleUseAreBounded) {
  for (double Rate : {770.0, 3920.0})
    for (std::size_t VMs : {7, 77, 300}) {
      setRate(Rate);
      m_Need = [&](std::size_t, Duration At) {
        bool IsBurst = At % Duration(20s) < 2s;
        return (IsBurst ? 10 : 0.1) * usableRequests() /
               static_cast<double>(VMs);
      };
      simulate(VMs, 80s);
      checkBacklog(3);
    }
}

// Guards against requests that are kept from a link that all VMs together use
// less than they may. The first request of a VM whose link was idle is refused
// at times, since the other VMs may get requests at the same moment.
TEST(LinkRoom, LittleDemandIsMostlyServed) {
  setRate(3920);
  for (auto [VMs, Least] : {std::pair(1, 1.0), {7, 0.8}, {77, 0.5}}) {
    m_Need = [VMs = VMs, this](std::size_t, Duration) {
      return 0.5 * usableRequests() / static_cast<double>(VMs);
    };
    simulate(VMs, 60s);
    CHECK(sentMegabits(0s, 60s) >= Least * m_NeededMegabits);
  }
}

// Load: prompts from a hundredth to twelve times the usual size. Guards against
// large requests that never get enough credit, and against those whose excess
// is not repaid.
TEST(LinkRoom, RequestsOfVeryDifferentSize) {
  for (std::size_t VMs : {1, 7, 77}) {
    setRate(3920);
    m_Need = [&](std::size_t, Duration) {
      return 4 * usableRequests() / static_cast<double>(VMs);
    };
    m_NextCrossing = [&] {
      double Factor = random() < 0.95 ? 0.01 + random() : 12;
      return Crossing{LinkUse::Urgent, usualMegabits() * Factor};
    };
    simulate(VMs, 120s);
    checkUse(0.6, 1.15, 20s, 120s);
    CHECK(std::any_of(m_Sent.begin(), m_Sent.end(), [&](const auto &Each) {
      return Each.m_Crossing.m_Megabits > 11 * usualMegabits();
    }));
  }
}

// Load: a burst of streams of lower priority, with few urgent ones. Guards
// against urgent streams that are refused because others have used the link.
TEST(LinkRoom, UrgentStreamsAreNotServedWorse) {
  setRate(3920);
  m_Need = [&](std::size_t, Duration) { return 4 * usableRequests() / 7; };
  int UrgentNeeded = 0;
  m_NextCrossing = [&] {
    bool IsUrgent = random() < 0.1;
    UrgentNeeded += IsUrgent;
    return Crossing{IsUrgent ? LinkUse::Urgent : LinkUse::Ordinary,
                    usualMegabits()};
  };
  simulate(7, 60s);
  auto UrgentSent =
      std::count_if(m_Sent.begin(), m_Sent.end(), [](const auto &Each) {
        return Each.m_Crossing.m_Use == LinkUse::Urgent;
      });
  CHECK(UrgentSent >= 0.8 * UrgentNeeded);
  checkUse(0.7, 1.1, 10s, 60s);
}

// Load: more urgent streams than the link takes. Guards against streams of
// lower priority that are never sent.
TEST(LinkRoom, OrdinaryStreamsKeepAQuarter) {
  setRate(3920);
  m_Need = [&](std::size_t, Duration) { return 8 * usableRequests() / 7; };
  m_NextCrossing = [&] {
    return Crossing{random() < 0.5 ? LinkUse::Urgent : LinkUse::Ordinary,
                    usualMegabits()};
  };
  simulate(7, 60s);
  auto Ordinary =
      std::count_if(m_Sent.begin(), m_Sent.end(), [](const auto &Each) {
        return Each.m_Crossing.m_Use == LinkUse::Ordinary;
      });
  double Fraction = double(Ordinary) / double(m_Sent.size());
  CHECK(Fraction > 0.2 && Fraction < 0.3);
}

// Guards against running streams that are broken off since new ones have used
// the link, and against any number of them that use it.
TEST(LinkRoom, BegunStreamOverdrawsByTwoRequests) {
  setRate(770);
  LinkRoom Room = fullRoom();
  double Usual = usualMegabits();
  int Begun = 0;
  while (Room.mayCross(m_Link, LinkUse::Urgent))
    Room.take(m_Link, LinkUse::Urgent, Usual);
  while (Begun < 100 && Room.mayCross(m_Link, LinkUse::Begun)) {
    Room.take(m_Link, LinkUse::Begun, Usual);
    ++Begun;
  }
  CHECK(Begun >= 1 && Begun <= 2);
  CHECK(!Room.mayCross(m_Link, LinkUse::Urgent));
}

// Guards against deployments without a stated rate that are limited.
TEST(LinkRoom, NoLimitWithoutAStatedRate) {
  setRate(0);
  LinkRoom Room = fullRoom();
  for (int Request = 0; Request < 1000; ++Request) {
    CHECK(Room.mayCross(m_Link, LinkUse::Ordinary));
    Room.noteDemand(m_Link, 1e6, m_Start);
    Room.take(m_Link, LinkUse::Ordinary, 1e6);
  }
  CHECK(Room.demands(m_Start).empty());
}

// Guards against a wait that ends before there is credit, and against credit
// that is promised to two requests.
TEST(LinkRoom, DelayTellsWhenThereIsCredit) {
  setRate(770);
  double Usual = usualMegabits();
  for (LinkUse Use : {LinkUse::Urgent, LinkUse::Ordinary}) {
    LinkRoom Room = fullRoom();
    Room.noteDemand(m_Link, Usual, m_Start);
    Room.take(m_Link, Use, Usual);
    Room.update(m_Link, {}, 0, m_Start);
    Duration Delay = Room.delay(m_Link, Use);
    CHECK(Delay > 0ms && Delay < 1s);
    // The demand that earns the credit falls while there are no other requests.
    Time Later = m_Start;
    while (Later < m_Start + 10s && !Room.mayCross(m_Link, Use))
      Room.update(m_Link, {}, 0, Later += 5ms);
    CHECK(Later - m_Start >= Delay - 5ms);
    CHECK(Later - m_Start <= 2 * Delay);
    Room.take(m_Link, Use, Usual);
    Duration Promised = Room.delay(m_Link, Use);
    CHECK(Promised > 0ms);
    Room.giveBack(m_Link, Use, Usual);
    CHECK(Room.delay(m_Link, Use) == Duration::zero());
  }
}

// Guards against one log line for each refused request instead of one for each
// change.
TEST(LinkRoom, ChangesAreTakenOnce) {
  setRate(770);
  LinkRoom Room = fullRoom();
  LONGS_EQUAL(0, Room.takeChanges(m_Start).size());
  Room.noteLimited(m_Link, m_Start);
  std::vector<LinkChange> Changes = Room.takeChanges(m_Start);
  LONGS_EQUAL(1, Changes.size());
  CHECK(Changes[0].m_IsLimited && Changes[0].m_Link == m_Link);
  Room.noteLimited(m_Link, m_Start + 4s);
  LONGS_EQUAL(0, Room.takeChanges(m_Start + 8s).size());
  Changes = Room.takeChanges(m_Start + 9s);
  LONGS_EQUAL(1, Changes.size());
  CHECK(!Changes[0].m_IsLimited);
}

PARSLEYRING_TEST_MAIN
