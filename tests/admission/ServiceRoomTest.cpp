#include "admission/ServiceRoom.h"

#include "admission/AdmissionQueue.h"
#include "support/TestMain.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static constexpr Duration Step = 10ms;
static constexpr Duration Tick = 40ms;
/// The time after which a VM knows of the requests of the others.
static constexpr Duration DigestDelay = 480ms;
static constexpr Duration Goal = 500ms;
static constexpr Duration MeanRun = 4s;

namespace {

/// Steady requests of one account at one VM.
struct Load {
  std::size_t m_VM = 0;
  std::string m_Account;
  int m_Priority = 0;
  double m_PerSecond = 0;
  // Results.
  int m_Wanted = 0;
  int m_Sent = 0;
  int m_Delayed = 0; ///< Sent, but not at once.
  int m_Late = 0;    ///< Sent, and began after the goal.
};

/// First engines with slots and the VMs that send to them, which know of each
/// other with the delay of digests.
class SharedService {
public:
  SharedService(std::size_t VMs, std::size_t Engines, int Slots)
      : m_VMs(VMs), m_Engines(Engines), m_Slots(Slots) {
    for (std::size_t VM = 0; VM < VMs; ++VM) {
      m_VMs[VM].m_Room = ServiceRoom((VM + 0.5) / VMs);
      m_VMs[VM].m_Running.resize(Engines);
      m_VMs[VM].m_Ends.resize(Engines);
    }
  }

  void add(const Load &Added) { m_Loads.push_back(Added); }
  void loseEngine() { m_Engines.pop_back(); }
  void clearResults() {
    for (Load &Each : m_Loads)
      Each.m_Wanted = Each.m_Sent = Each.m_Delayed = Each.m_Late = 0;
    m_MaxFill = 0;
    m_FillSum = 0;
    m_Samples = 0;
  }
  void run(Duration Length) {
    for (Time End = m_Now + Length; m_Now < End; m_Now += Step) {
      endRequests();
      record();
      for (std::size_t Index = 0; Index < m_Loads.size(); ++Index)
        if (m_Uniform(m_Random) <
            m_Loads[Index].m_PerSecond *
                std::chrono::duration<double>(Step).count())
          arrive(Index);
      if (m_Now.time_since_epoch() % Tick == Duration::zero())
        for (Node &Each : m_VMs)
          Each.m_Queue.tick(m_Now);
    }
  }

  /// The sum over the loads that fulfil Condition.
  template <typename Condition> Load total(Condition IsCounted) const {
    Load Sum;
    for (const Load &Each : m_Loads)
      if (IsCounted(Each)) {
        Sum.m_Wanted += Each.m_Wanted;
        Sum.m_Sent += Each.m_Sent;
        Sum.m_Delayed += Each.m_Delayed;
        Sum.m_Late += Each.m_Late;
      }
    return Sum;
  }
  Load total() const {
    return total([](const Load &) { return true; });
  }
  /// Requests at the engines, as a part of the slots.
  double maxFill() const { return m_MaxFill; }
  double meanFill() const { return m_FillSum / m_Samples; }

private:
  struct Node {
    ServiceRoom m_Room;
    AdmissionQueue m_Queue;
    RateEstimate m_Demand;
    std::vector<int> m_Running; ///< By engine.
    std::vector<RateEstimate> m_Ends;
  };
  struct Request {
    std::size_t m_VM = 0;
    std::size_t m_Load = 0;
    Time m_Arrival{};
    Time m_End{}; ///< Zero before it has a slot.
  };
  struct Engine {
    std::deque<Request> m_Requests; ///< Those with slots come first.
  };
  /// What a VM tells the others.
  struct Report {
    std::vector<std::vector<int>> m_Running; ///< By VM and engine.
    std::vector<std::vector<double>> m_Ends;
    std::vector<double> m_Demand;
  };

  void record() {
    Report Current;
    for (const Node &Each : m_VMs) {
      Current.m_Running.push_back(Each.m_Running);
      Current.m_Ends.emplace_back();
      for (const RateEstimate &Ends : Each.m_Ends)
        Current.m_Ends.back().push_back(Ends.rate(m_Now));
      Current.m_Demand.push_back(Each.m_Demand.rate(m_Now));
    }
    m_Reports.push_back(std::move(Current));
    if (m_Reports.size() > static_cast<std::size_t>(DigestDelay / Step))
      m_Reports.pop_front();
    double Requests = 0;
    for (const Engine &Each : m_Engines)
      Requests += static_cast<double>(Each.m_Requests.size());
    double Fill = Requests / (static_cast<double>(m_Engines.size()) * m_Slots);
    m_MaxFill = std::max(m_MaxFill, Fill);
    m_FillSum += Fill;
    ++m_Samples;
  }

  void endRequests() {
    for (std::size_t Index = 0; Index < m_Engines.size(); ++Index) {
      std::deque<Request> &Requests = m_Engines[Index].m_Requests;
      for (std::size_t At = 0; At < Requests.size();) {
        const Request &Each = Requests[At];
        if (Each.m_End != Time{} && Each.m_End <= m_Now) {
          --m_VMs[Each.m_VM].m_Running[Index];
          m_VMs[Each.m_VM].m_Ends[Index].note(m_Now);
          Requests.erase(Requests.begin() + static_cast<std::ptrdiff_t>(At));
        } else {
          ++At;
        }
      }
      for (std::size_t At = 0;
           At < Requests.size() && At < static_cast<std::size_t>(m_Slots); ++At)
        if (Requests[At].m_End == Time{})
          begin(Requests[At]);
    }
  }
  void begin(Request &Begun) {
    Begun.m_End = m_Now + Duration(static_cast<std::int64_t>(
                              MeanRun.count() * (0.5 + m_Uniform(m_Random))));
    if (m_Now - Begun.m_Arrival > Goal)
      ++m_Loads[Begun.m_Load].m_Late;
  }

  FirstEngineLoad engineLoad(std::size_t Asking, std::size_t Index) const {
    FirstEngineLoad Result(std::to_string(Index), m_Slots, 0, 0);
    for (std::size_t Other = 0; Other < m_VMs.size(); ++Other) {
      bool IsOwn = Other == Asking;
      Result.m_Running += IsOwn ? m_VMs[Other].m_Running[Index]
                                : m_Reports.front().m_Running[Other][Index];
      Result.m_EndsPerSecond += IsOwn ? m_VMs[Other].m_Ends[Index].rate(m_Now)
                                      : m_Reports.front().m_Ends[Other][Index];
    }
    return Result;
  }

  bool trySend(std::size_t LoadIndex, Time Arrival, bool IsWaiting) {
    Load &From = m_Loads[LoadIndex];
    Node &Sender = m_VMs[From.m_VM];
    ServiceLoad Known;
    for (std::size_t Index = 0; Index < m_Engines.size(); ++Index)
      Known.m_Engines.push_back(engineLoad(From.m_VM, Index));
    Known.m_OwnDemand = Sender.m_Demand.rate(m_Now);
    for (std::size_t Other = 0; Other < m_VMs.size(); ++Other)
      Known.m_Demand += Other == From.m_VM ? Known.m_OwnDemand
                                           : m_Reports.front().m_Demand[Other];
    Known.m_VMs = m_VMs.size();
    Sender.m_Room.update(Known, Sender.m_Queue.size(), m_Now);
    Sender.m_Queue.setRate(Sender.m_Room.rate(), Goal / 2);
    if (!IsWaiting && Sender.m_Room.isScarce() &&
        Sender.m_Queue.sizeFrom(-From.m_Priority) > 0)
      return false;
    std::size_t Best = m_Engines.size();
    for (std::size_t Index = 0; Index < m_Engines.size(); ++Index)
      if (Sender.m_Room.mayBegin(Known.m_Engines[Index], From.m_Priority,
                                 From.m_Account, Arrival + Goal / 2 - m_Now,
                                 m_Now) &&
          (Best == m_Engines.size() ||
           Known.m_Engines[Index].m_Running < Known.m_Engines[Best].m_Running))
        Best = Index;
    if (Best == m_Engines.size())
      return false;
    Sender.m_Room.noteSent(From.m_Priority, From.m_Account,
                           std::to_string(Best), m_Now);
    ++From.m_Sent;
    From.m_Delayed += IsWaiting;
    ++Sender.m_Running[Best];
    m_Engines[Best].m_Requests.push_back(
        {From.m_VM, LoadIndex, Arrival, Time{}});
    std::deque<Request> &Requests = m_Engines[Best].m_Requests;
    if (Requests.size() <= static_cast<std::size_t>(m_Slots))
      begin(Requests.back());
    return true;
  }

  void arrive(std::size_t LoadIndex) {
    Load &From = m_Loads[LoadIndex];
    Node &Sender = m_VMs[From.m_VM];
    ++From.m_Wanted;
    Sender.m_Demand.note(m_Now);
    Sender.m_Room.noteArrival(From.m_Priority, From.m_Account, m_Now);
    if (trySend(LoadIndex, m_Now, false))
      return;
    Duration Wait = Sender.m_Room.expectedWait(
        Sender.m_Queue.sizeBefore(-From.m_Priority, From.m_Account),
        From.m_Priority, From.m_Account, Goal / 2, m_Now);
    if (Wait > Goal / 2)
      return;
    AdmissionQueue::WaitingRequest Waiting;
    Waiting.m_Account = From.m_Account;
    Waiting.m_Priority = -From.m_Priority;
    Waiting.m_Until = m_Now + Goal / 2;
    Waiting.m_TrySend = [this, LoadIndex, Arrival = m_Now] {
      return trySend(LoadIndex, Arrival, true);
    };
    Waiting.m_OnDropped = [] {};
    Sender.m_Queue.add(m_Now, Waiting);
  }

  std::vector<Load> m_Loads;
  std::vector<Node> m_VMs;
  std::vector<Engine> m_Engines;
  std::deque<Report> m_Reports;
  int m_Slots;
  Time m_Now{1000s};
  std::mt19937 m_Random{7};
  std::uniform_real_distribution<double> m_Uniform{0, 1};
  double m_MaxFill = 0;
  double m_FillSum = 0;
  int m_Samples = 0;
};

} // namespace

static double part(int Number, int Of) {
  return Of == 0 ? 1 : static_cast<double>(Number) / Of;
}

static std::string text(const char *Name, const Load &Sum) {
  return std::string(Name) + ": " + std::to_string(Sum.m_Wanted) + " wanted, " +
         std::to_string(Sum.m_Sent) + " sent, " +
         std::to_string(Sum.m_Delayed) + " delayed, " +
         std::to_string(Sum.m_Late) + " late; ";
}

static std::string text(const SharedService &Service) {
  return "fill " + std::to_string(Service.meanFill()) + ", at most " +
         std::to_string(Service.maxFill());
}

TEST_GROUP(ServiceRoom) {
  // Six engines of 100 slots, and requests of 4 s: 150 requests per second.
  SharedService m_Service{20, 6, 100};

  void addEverywhere(const std::string &Account, int Priority,
                     double PerSecond) {
    for (std::size_t VM = 0; VM < 20; ++VM)
      m_Service.add({VM, Account, Priority, PerSecond / 20});
  }
};

// Pattern: steady requests with free slots. Guards against requests that are
// refused or delayed although no slot is missing.
TEST(ServiceRoom, AllIsSentWhileSlotsAreFree) {
  addEverywhere("a", 0, 60);
  addEverywhere("b", 2, 60);
  m_Service.run(30s);
  Load All = m_Service.total();
  std::string Text = text("all", All) + text(m_Service);
  CHECK_TEXT(All.m_Sent == All.m_Wanted && All.m_Delayed == 0, Text.c_str());
}

// Pattern: a burst of the least urgent kind beside steady urgent requests.
// Guards against urgent requests that are refused because of the burst, and
// against the least urgent kind getting less than the rest of the slots.
TEST(ServiceRoom, BurstOfTheLeastUrgentKindDoesNotRefuseUrgentRequests) {
  addEverywhere("urgent", 0, 50);
  m_Service.run(10s);
  addEverywhere("batch", 2, 400);
  m_Service.run(10s);
  m_Service.clearResults();
  m_Service.run(30s);
  auto IsUrgent = [](const Load &Each) { return Each.m_Priority == 0; };
  auto IsBatch = [](const Load &Each) { return Each.m_Priority == 2; };
  Load Urgent = m_Service.total(IsUrgent);
  Load Batch = m_Service.total(IsBatch);
  std::string Text =
      text("urgent", Urgent) + text("batch", Batch) + text(m_Service);
  CHECK_TEXT(part(Urgent.m_Sent, Urgent.m_Wanted) >= 0.97, Text.c_str());
  CHECK_TEXT(part(Urgent.m_Late, Urgent.m_Sent) <= 0.1, Text.c_str());
  CHECK_TEXT(Batch.m_Sent >= 0.5 * 150 * 30, Text.c_str());
}

// Pattern: urgent requests alone exceed the capacity. Guards against the least
// urgent kind starving, and against one that gets more than its quarter while
// urgent requests are refused.
TEST(ServiceRoom, LeastUrgentKindKeepsAQuarter) {
  addEverywhere("urgent", 0, 300);
  addEverywhere("batch", 2, 100);
  m_Service.run(15s);
  m_Service.clearResults();
  m_Service.run(40s);
  Load Batch =
      m_Service.total([](const Load &Each) { return Each.m_Priority == 2; });
  double Part = part(Batch.m_Sent, m_Service.total().m_Sent);
  std::string Text =
      text("batch", Batch) + text("all", m_Service.total()) + text(m_Service);
  CHECK_TEXT(Part >= 0.22 && Part <= 0.32, Text.c_str());
}

// Pattern: the same with a kind between the two. Guards against its starving.
TEST(ServiceRoom, MiddleKindIsNotStarved) {
  addEverywhere("urgent", 0, 300);
  addEverywhere("middle", 1, 100);
  addEverywhere("batch", 2, 100);
  m_Service.run(15s);
  m_Service.clearResults();
  m_Service.run(40s);
  Load Middle =
      m_Service.total([](const Load &Each) { return Each.m_Priority == 1; });
  Load Batch =
      m_Service.total([](const Load &Each) { return Each.m_Priority == 2; });
  int All = m_Service.total().m_Sent;
  std::string Text = text("middle", Middle) + text("batch", Batch) +
                     text("all", m_Service.total());
  CHECK_TEXT(part(Middle.m_Sent, All) >= 0.1, Text.c_str());
  CHECK_TEXT(part(Batch.m_Sent, All) >= 0.22, Text.c_str());
}

// Pattern: half of the first engines are lost under load. Guards against VMs
// that all fill the engines that are left and then all stop, as they know of
// each other with a delay: requests then begin late, and slots stay free.
TEST(ServiceRoom, LossOfHalfOfTheEnginesCausesNoOscillation) {
  addEverywhere("a", 0, 140);
  m_Service.run(20s);
  for (int Lost = 0; Lost < 3; ++Lost)
    m_Service.loseEngine();
  m_Service.run(3s);
  m_Service.clearResults();
  m_Service.run(30s);
  Load All = m_Service.total();
  std::string Text = text("all", All) + text(m_Service);
  CHECK_TEXT(m_Service.maxFill() <= 1.15, Text.c_str());
  CHECK_TEXT(m_Service.meanFill() >= 0.95, Text.c_str());
  CHECK_TEXT(part(All.m_Late, All.m_Sent) <= 0.1, Text.c_str());
}

// Pattern: one account that floods. Guards against other accounts of the same
// priority that are refused although they want less than their part.
TEST(ServiceRoom, FloodingAccountDoesNotRefuseOthers) {
  addEverywhere("flood", 0, 500);
  addEverywhere("a", 0, 30);
  addEverywhere("b", 0, 30);
  m_Service.run(15s);
  m_Service.clearResults();
  m_Service.run(30s);
  Load Others = m_Service.total(
      [](const Load &Each) { return Each.m_Account != "flood"; });
  std::string Text =
      text("others", Others) + text("all", m_Service.total()) + text(m_Service);
  CHECK_TEXT(part(Others.m_Sent, Others.m_Wanted) >= 0.8, Text.c_str());
  CHECK_TEXT(m_Service.meanFill() >= 0.95, Text.c_str());
}

// Pattern: uneven VMs, of which two get most of the requests. Guards against
// slots that stay free since the shares of the others are not used.
TEST(ServiceRoom, UnevenVMsUseAllSlots) {
  m_Service.add({0, "a", 0, 100});
  m_Service.add({1, "a", 0, 100});
  for (std::size_t VM = 2; VM < 20; ++VM)
    m_Service.add({VM, "a", 0, 1});
  m_Service.run(15s);
  m_Service.clearResults();
  m_Service.run(30s);
  Load Few = m_Service.total([](const Load &Each) { return Each.m_VM >= 2; });
  std::string Text = text("of VMs with few requests", Few) +
                     text("all", m_Service.total()) + text(m_Service);
  CHECK_TEXT(m_Service.meanFill() >= 0.95, Text.c_str());
  CHECK_TEXT(m_Service.maxFill() <= 1.1, Text.c_str());
  CHECK_TEXT(part(Few.m_Sent, Few.m_Wanted) >= 0.5, Text.c_str());
}

TEST_GROUP(ServiceRoomRules) {
  ServiceRoom m_Room;
  Time m_Now{1000s};

  void update(double Running, double Ends, std::size_t VMs = 1) {
    ServiceLoad Load;
    Load.m_Engines = {{"e", 100, Running, Ends}};
    Load.m_OwnDemand = 1;
    Load.m_Demand = static_cast<double>(VMs);
    Load.m_VMs = VMs;
    m_Room.update(Load, 0, m_Now);
  }
};

// Guards against an endpoint without a stated number of slots that counts as
// full.
TEST(ServiceRoomRules, EngineWithoutSlotsIsNeverFull) {
  ServiceLoad Load;
  Load.m_Engines = {{"e", 0, 5000, 0}};
  m_Room.update(Load, 12, m_Now);
  CHECK_FALSE(m_Room.isScarce());
  CHECK(m_Room.mayBegin(Load.m_Engines[0], 3, "a", 0ms, m_Now));
}

// Guards against requests that wait at a full engine for longer than until
// their answer should begin.
TEST(ServiceRoomRules, FullEngineGetsOnlyWhatStartsInTime) {
  update(0, 20);
  FirstEngineLoad Engine{"e", 100, 104, 20};
  DOUBLES_EQUAL(0.25, Engine.waitSeconds(), 1e-9);
  CHECK(m_Room.mayBegin(Engine, 0, "a", 300ms, m_Now));
  CHECK_FALSE(m_Room.mayBegin(Engine, 0, "a", 200ms, m_Now));
}

// Guards against a reserve that delays requests although all are of one kind,
// and against urgent requests without one while others press.
TEST(ServiceRoomRules, ReserveIsForSeveralKindsOnly) {
  update(100, 20);
  m_Room.noteArrival(0, "a", m_Now);
  CHECK_FALSE(m_Room.hasCredit(0, "a", m_Now));
  m_Room.noteArrival(2, "a", m_Now);
  CHECK(m_Room.hasCredit(0, "a", m_Now));
  CHECK_FALSE(m_Room.hasCredit(2, "a", m_Now));
  m_Now += 3s;
  update(100, 20);
  m_Room.noteArrival(2, "a", m_Now);
  while (m_Room.hasCredit(2, "a", m_Now))
    m_Room.noteSent(2, "a", "e", m_Now);
  CHECK(m_Room.credit() >= 0 && m_Room.credit() < 1);
}

// Guards against a request that waits in vain: the wait is the credit that is
// missing, divided by the rate at which room returns.
TEST(ServiceRoomRules, ExpectedWaitFollowsTheRateOfEnds) {
  update(102, 20);
  DOUBLES_EQUAL(20, m_Room.rate(), 0.1);
  Duration First = m_Room.expectedWait(0, 0, "a", 500ms, m_Now);
  CHECK(First >= 45ms && First <= 55ms);
  Duration Fifth = m_Room.expectedWait(4, 0, "a", 500ms, m_Now);
  CHECK(Fifth >= 245ms && Fifth <= 255ms);
}

// Guards against a new VM, or one that gets no digests, that takes all free
// slots for its own.
TEST(ServiceRoomRules, MissingDigestsAreMadeUpForByTheLoadFactor) {
  FleetEndpoint Engine;
  Engine.m_Entry.m_Slots = 100;
  Engine.m_RunningAsFirst = 11;
  CHECK(FirstEngineLoad(Engine, 1, m_Now).hasFreeSlot());
  CHECK_FALSE(FirstEngineLoad(Engine, 10, m_Now).hasFreeSlot());
  update(100, 20, 10);
  CHECK(m_Room.rate() >= 1.9 && m_Room.rate() <= 2.5);
}

PARSLEYRING_TEST_MAIN
