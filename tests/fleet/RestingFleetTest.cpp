#include "admission/ReturnSchedule.h"
#include "fleet/FleetTable.h"

#include "support/SeedRange.h"
#include "support/TestMain.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

// Bounds of the platform, see integration/RestingEndpointTest.
static constexpr Duration NoticeTime = 500ms;
static constexpr int MaxRequestsWhileResting = 2;

static constexpr Duration NetworkDelay = 5ms;
static constexpr Duration ServiceTime = 400ms;
static constexpr Duration FullPause = 60ms;
static constexpr std::size_t Slots = 8;
static constexpr std::size_t QueueLength = 4;
static constexpr int MaxSends = 3;
static constexpr int Turns = 3;

namespace {

/// An endpoint that rests in its turn and rejects what it has no room for.
struct SimulatedEndpoint {
  std::vector<Time> m_EndTimes; ///< Of the requests that it has accepted.
  /// By VM: the first rejection of this rest, and later requests.
  std::map<std::size_t, std::pair<Time, int>> m_Told;
  Time m_RestEnd{};
};

/// VMs that send requests to endpoints of which a third rests at any time. A VM
/// chooses the endpoint to which it has the fewest requests in progress.
class RestingFleet {
public:
  RestingFleet(std::size_t VMs, std::size_t Endpoints, Duration Turn,
               unsigned Seed)
      : m_VMs(VMs), m_Schedules(VMs), m_Endpoints(Endpoints), m_Turn(Turn),
        m_Random(Seed) {
    for (FleetTable &VM : m_VMs)
      for (std::size_t Index = 0; Index < Endpoints; ++Index) {
        EndpointEntry Entry;
        Entry.m_Id = std::to_string(Index);
        Entry.m_Service = "s";
        VM.list(Entry, m_Now);
      }
  }

  /// Runs for Length with Load requests for each one that the endpoints that
  /// do not rest can take.
  void run(Duration Length, double Load) {
    double Seconds = std::chrono::duration<double>(ServiceTime).count();
    double Capacity =
        m_Endpoints.size() * (Turns - 1.0) / Turns * Slots / Seconds;
    m_Capacity = Capacity * std::chrono::duration<double>(Length).count();
    std::exponential_distribution<double> Gap(Capacity * Load);
    for (Time At = m_Start; At < m_Start + Length;
         At += Duration(static_cast<std::int64_t>(Gap(m_Random) * 1e6)))
      schedule(At, [this] { send(m_Random() % m_VMs.size(), 0); });
    while (!m_Events.empty() && m_Events.top().m_At < m_Start + Length) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Run();
    }
  }
  int mostLate() const { return m_MostLate; }
  int rejections() const { return m_Rejections; }
  double usedShare() const { return m_Used / m_Capacity; }

private:
  struct Event {
    Time m_At;
    std::uint64_t m_Number;
    std::function<void()> m_Run;
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Number) > std::tie(Other.m_At, Other.m_Number);
    }
  };

  void schedule(Time At, std::function<void()> Run) {
    m_Events.push({At, ++m_LastNumber, std::move(Run)});
  }
  std::int64_t turn(Time At) const { return (At - m_Start) / m_Turn; }
  bool isResting(std::size_t Endpoint, Time At) const {
    return static_cast<std::size_t>(turn(At) % Turns) == Endpoint % Turns;
  }
  FleetTable::Handle choose(std::size_t VM) {
    FleetTable::Handle Best;
    double BestCost = 0;
    for (const auto &[Id, Endpoint] : m_VMs[VM].endpoints()) {
      if (!Endpoint->canServe(m_Now))
        continue;
      double Cost =
          (1 + Endpoint->m_Running) *
          (1 + 0.05 * std::uniform_real_distribution<double>(0, 1)(m_Random));
      if (Best && Cost >= BestCost)
        continue;
      Best = Endpoint;
      BestCost = Cost;
    }
    return Best;
  }
  void send(std::size_t VM, int Sends) {
    FleetTable::Handle Chosen = choose(VM);
    if (!Chosen || Sends == MaxSends) {
      auto RestEnd = firstRestEnd(m_VMs[VM].endpointsOfService("s"), m_Now);
      if (RestEnd)
        schedule(m_Now + m_Schedules[VM].nextAfterRest(*RestEnd, m_Now),
                 [this] { send(m_Random() % m_VMs.size(), 0); });
      return;
    }
    ++Chosen->m_Running;
    Chosen->m_Rest.noteSent(m_Now);
    Time SentAt = m_Now;
    schedule(m_Now + NetworkDelay, [this, VM, Chosen, Sends, SentAt] {
      arrive(VM, Chosen, Sends, SentAt);
    });
  }
  void arrive(std::size_t VM, const FleetTable::Handle &At, int Sends,
              Time SentAt) {
    std::size_t Index = std::stoul(At->m_Entry.m_Id);
    SimulatedEndpoint &Endpoint = m_Endpoints[Index];
    if (isResting(Index, m_Now)) {
      rejectResting(Endpoint, VM, m_Start + m_Turn * (turn(m_Now) + 1));
      Duration Rest = Endpoint.m_RestEnd - m_Now;
      schedule(m_Now + NetworkDelay, [this, VM, At, Sends, Rest] {
        --At->m_Running;
        At->m_Rest.noteStated(Rest, m_Now);
        send(VM, Sends + 1);
      });
      return;
    }
    std::vector<Time> &Ends = Endpoint.m_EndTimes;
    Ends.erase(std::remove_if(Ends.begin(), Ends.end(),
                              [this](Time End) { return End <= m_Now; }),
               Ends.end());
    if (Ends.size() >= Slots + QueueLength) {
      schedule(m_Now + NetworkDelay, [this, VM, At, Sends] {
        --At->m_Running;
        At->m_SuspectUntil = m_Now + FullPause;
        send(VM, Sends + 1);
      });
      return;
    }
    std::sort(Ends.begin(), Ends.end());
    Time Begin = Ends.size() < Slots ? m_Now : Ends[Ends.size() - Slots];
    Ends.push_back(Begin + ServiceTime);
    // What an endpoint finishes while it rests is no use of the others.
    m_Used += !isResting(Index, Ends.back());
    schedule(Ends.back() + NetworkDelay, [this, At, SentAt] {
      --At->m_Running;
      At->m_Rest.noteAccepted(SentAt, m_Now);
    });
  }
  void rejectResting(SimulatedEndpoint &Endpoint, std::size_t VM,
                     Time RestEnd) {
    ++m_Rejections;
    if (Endpoint.m_RestEnd != RestEnd)
      Endpoint.m_Told.clear();
    Endpoint.m_RestEnd = RestEnd;
    auto [Told, IsFirst] = Endpoint.m_Told.try_emplace(VM, m_Now, 0);
    if (m_Now >= Told->second.first + NoticeTime)
      m_MostLate = std::max(m_MostLate, ++Told->second.second);
  }

  const Time m_Start{1000s};
  Time m_Now = m_Start;
  std::vector<FleetTable> m_VMs;
  std::vector<ReturnSchedule> m_Schedules;
  std::vector<SimulatedEndpoint> m_Endpoints;
  const Duration m_Turn;
  std::mt19937 m_Random;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_LastNumber = 0;
  double m_Capacity = 0;
  int m_Used = 0; ///< Requests.
  int m_Rejections = 0;
  int m_MostLate = 0;
};

} // namespace

TEST_GROUP(RestingFleet){
    void check(std::size_t VMs, std::size_t Endpoints, unsigned Seed)
        const {RestingFleet Fleet(VMs, Endpoints, 3s, Seed);
Fleet.run(12s, 1.2);
std::string Text = "seed " + std::to_string(Seed) + ": at most " +
                   std::to_string(Fleet.mostLate()) + " late at an endpoint, " +
                   std::to_string(Fleet.rejections()) +
                   " rejected by endpoints at rest, used " +
                   std::to_string(Fleet.usedShare());
CHECK_TEXT(Fleet.rejections() > 0, Text.c_str());
CHECK_TEXT(Fleet.mostLate() <= MaxRequestsWhileResting, Text.c_str());
CHECK_TEXT(Fleet.usedShare() >= 0.9, Text.c_str());
}
}
;

// Guards against requests to endpoints at rest, and against endpoints that get
// too few since others rest by turns, in a small fleet.
TEST(RestingFleet, SmallFleetUsesTheOthers) {
  for (unsigned Seed : SeedRange(20))
    check(7, 12, Seed);
}

// Guards against the same in a fleet in which each VM has to be told by each
// endpoint.
TEST(RestingFleet, LargeFleetUsesTheOthers) {
  for (unsigned Seed : SeedRange(2))
    check(300, 120, Seed);
}

PARSLEYRING_TEST_MAIN
