#include "admission/CrashQuarantine.h"

#include "support/SeedRange.h"
#include "support/TestMain.h"

#include <algorithm>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static const Time Start{std::chrono::hours(1)};

namespace {

/// A fleet of engines that crash when they begin to answer a prompt with
/// CrashingPart, in front of which several VMs share one quarantine.
class SimulatedFleet {
public:
  SimulatedFleet(unsigned Seed, int Engines) : m_Random(Seed) {
    m_Engines.resize(Engines);
  }

  static inline const std::string CrashingPart = "crashing";

  /// Runs for this long, with so many requests per second of each kind.
  void run(Duration Length, double SoundPerSecond, double CrashingPerSecond) {
    for (Time End = m_Now + Length; m_Now < End; m_Now += Step) {
      finishReading();
      receiveReports();
      restartEngines();
      double StepSeconds = std::chrono::duration<double>(Step).count();
      if (chance(SoundPerSecond * StepSeconds))
        send({pick(4), {firstPart(), soundPart()}});
      if (chance(CrashingPerSecond * StepSeconds))
        send({pick(4), {firstPart(), CrashingPart, soundPart()}});
      m_Quarantine.update(m_Now);
    }
  }

  int crashes() const { return m_Crashes; }
  /// Requests with CrashingPart that were sent after the VMs had StableTime to
  /// hear of the fifth crash.
  int lateCrashingRequests() const { return m_LateCrashingRequests; }
  int refusedSoundRequests() const { return m_RefusedSoundRequests; }
  const CrashQuarantine &quarantine() const { return m_Quarantine; }
  std::size_t quarantinedSoundParts() const {
    return m_Quarantine.size() - m_Quarantine.isQuarantined(CrashingPart);
  }

private:
  struct Request {
    int m_VM = 0;
    std::vector<std::string> m_Parts;
    int m_Sends = 0;
    Time m_AnswersAt{};  ///< The engine begins to answer.
    Time m_HarmlessAt{}; ///< The answer has gone on for long enough.
  };
  struct Engine {
    int m_Incarnation = 0;
    Time m_DownUntil{};
    std::vector<Request> m_Requests;
  };

  struct PendingReport {
    Time m_ReceivedAt{};
    std::string m_Reporter;
    EndpointCrash m_Crash;
  };

  static constexpr Duration Step = 10ms;
  /// Until all VMs have read a report in the store.
  static constexpr Duration ReportDelay = 400ms;
  static constexpr Duration RestartTime = 4s;
  static constexpr Duration StableTime = 3s;

  int pick(int Count) {
    return std::uniform_int_distribution<int>(0, Count - 1)(m_Random);
  }
  bool chance(double Probability) {
    return std::bernoulli_distribution(std::min(1.0, Probability))(m_Random);
  }
  std::string firstPart() { return "first" + std::to_string(pick(3)); }
  std::string soundPart() {
    // Low numbers are frequent, high ones rare.
    return "sound" + std::to_string(std::min({pick(80), pick(80), pick(80)}));
  }

  bool isCrashing(const Request &Each) const { return Each.m_Parts.size() > 2; }

  void send(Request Sent) {
    if (m_Quarantine.quarantinedUntil(Sent.m_Parts)) {
      m_RefusedSoundRequests += !isCrashing(Sent);
      return;
    }
    std::vector<Engine *> Available;
    for (Engine &Each : m_Engines)
      if (Each.m_DownUntil <= m_Now)
        Available.push_back(&Each);
    if (Available.empty() || ++Sent.m_Sends > 2)
      return;
    bool IsLate = m_Crashes >= 5 && m_Now > m_FifthCrashAt + StableTime;
    m_LateCrashingRequests += isCrashing(Sent) && IsLate;
    Sent.m_AnswersAt = m_Now + std::chrono::milliseconds(30 + pick(300));
    Sent.m_HarmlessAt = Sent.m_AnswersAt + 300ms;
    Available[pick(Available.size())]->m_Requests.push_back(std::move(Sent));
  }

  void finishReading() {
    for (Engine &Each : m_Engines) {
      bool HasCrashed =
          std::any_of(Each.m_Requests.begin(), Each.m_Requests.end(),
                      [this](const Request &Read) {
                        return isCrashing(Read) && Read.m_AnswersAt <= m_Now;
                      });
      if (HasCrashed)
        crash(Each);
      auto IsDone = [this](const Request &Read) {
        if (Read.m_HarmlessAt > m_Now)
          return false;
        for (const std::string &Part : Read.m_Parts) {
          m_Answered[Read.m_VM].insert(Part);
          m_Quarantine.noteAnswer(Part, m_Now);
        }
        return true;
      };
      Each.m_Requests.erase(std::remove_if(Each.m_Requests.begin(),
                                           Each.m_Requests.end(), IsDone),
                            Each.m_Requests.end());
    }
  }

  void crash(Engine &Crashed) {
    ++m_Crashes;
    if (m_Crashes == 5)
      m_FifthCrashAt = m_Now;
    std::vector<Request> CutOff = std::move(Crashed.m_Requests);
    Crashed.m_Requests.clear();
    Crashed.m_DownUntil = m_Now + RestartTime;
    std::map<int, std::map<std::string, std::uint32_t>> SuspectsByVM;
    for (const Request &Each : CutOff)
      for (const std::string &Part : Each.m_Parts)
        ++SuspectsByVM[Each.m_VM][Part];
    std::string Name = std::to_string(&Crashed - m_Engines.data()) + "@" +
                       std::to_string(Crashed.m_Incarnation);
    for (const auto &[VM, Suspects] : SuspectsByVM) {
      EndpointCrash Report{Name, m_Now, {}};
      for (const auto &[Part, Requests] : Suspects)
        Report.m_Suspects.push_back(
            {Part, Requests, m_Answered[VM].count(Part) > 0});
      m_PendingReports.push_back(
          {m_Now + ReportDelay, "vm-" + std::to_string(VM), Report});
    }
    for (Request &Each : CutOff)
      send(std::move(Each));
  }

  void receiveReports() {
    while (!m_PendingReports.empty() &&
           m_PendingReports.front().m_ReceivedAt <= m_Now) {
      PendingReport &Received = m_PendingReports.front();
      m_Quarantine.addCrash(Received.m_Reporter, std::move(Received.m_Crash));
      m_PendingReports.pop_front();
    }
  }

  void restartEngines() {
    for (Engine &Each : m_Engines)
      if (Each.m_DownUntil != Time{} && Each.m_DownUntil <= m_Now) {
        ++Each.m_Incarnation;
        Each.m_DownUntil = Time{};
      }
  }

  std::minstd_rand m_Random;
  Time m_Now = Start;
  CrashQuarantine m_Quarantine;
  std::vector<Engine> m_Engines;
  std::deque<PendingReport> m_PendingReports;
  std::map<int, std::set<std::string>> m_Answered; ///< Parts, by VM.
  int m_Crashes = 0;
  Time m_FifthCrashAt = Time::max();
  int m_LateCrashingRequests = 0;
  int m_RefusedSoundRequests = 0;
};

} // namespace

TEST_GROUP(CrashQuarantine) {
  CrashQuarantine m_Quarantine;

  void addCrash(const std::string &Engine, Time At,
                const std::vector<std::string> &Parts,
                bool WereAnswered = false) {
    EndpointCrash Crash{Engine, At, {}};
    for (const std::string &Part : Parts)
      Crash.m_Suspects.push_back({Part, 1, WereAnswered});
    m_Quarantine.addCrash("vm-0", std::move(Crash));
    m_Quarantine.update(At);
  }
};

// Guards against a part that crashes engine after engine.
TEST(CrashQuarantine, PartThatCrashesSeveralEnginesIsQuarantined) {
  addCrash("e1", Start, {"bad", "x"});
  addCrash("e2", Start + 200ms, {"bad", "y"});
  CHECK_FALSE(m_Quarantine.isQuarantined("bad"));
  addCrash("e3", Start + 400ms, {"bad", "z"});
  CHECK(m_Quarantine.isQuarantined("bad"));
  LONGS_EQUAL(1, m_Quarantine.size());
  CHECK(m_Quarantine.quarantinedUntil({"x", "bad"}).has_value());
  CHECK_FALSE(m_Quarantine.quarantinedUntil({"x", "y"}).has_value());
}

// Guards against one crash that is counted for each VM that reports it.
TEST(CrashQuarantine, ReportsOfOneCrashCountOnce) {
  for (const char *VM : {"vm-0", "vm-1", "vm-2", "vm-3"})
    m_Quarantine.addCrash(VM, {"e1", Start, {{"part", 1, false}}});
  m_Quarantine.update(Start + 1s);
  LONGS_EQUAL(0, m_Quarantine.size());
}

// Guards against parts that are taken for the cause when a failure domain ends
// and many engines with it.
TEST(CrashQuarantine, EnginesThatEndTogetherProveNothing) {
  for (int Engine = 0; Engine < 20; ++Engine)
    addCrash("e" + std::to_string(Engine), Start + Engine * 10ms,
             {"frequent", "other"}, Engine % 2 == 0);
  LONGS_EQUAL(0, m_Quarantine.size());
}

// Guards against sound requests that are refused since they share a part with
// those that crash engines.
TEST(CrashQuarantine, PartThatExplainsFewerCrashesStaysAllowed) {
  for (int Engine = 0; Engine < 10; ++Engine) {
    std::vector<std::string> Parts{"bad"};
    if (Engine != 3)
      Parts.push_back("shared");
    addCrash("e" + std::to_string(Engine), Start + Engine * 300ms, Parts);
  }
  CHECK(m_Quarantine.isQuarantined("bad"));
  CHECK_FALSE(m_Quarantine.isQuarantined("shared"));
}

// Guards against two harmful parts of which only the first one is found.
TEST(CrashQuarantine, TwoCausesAreFound) {
  for (int Engine = 0; Engine < 8; ++Engine)
    addCrash("e" + std::to_string(Engine), Start + Engine * 200ms,
             {"shared", Engine % 2 ? "bad-1" : "bad-2"}, false);
  CHECK(m_Quarantine.isQuarantined("bad-1") ||
        m_Quarantine.isQuarantined("shared"));
  m_Quarantine.noteAnswer("shared", Start + 5s);
  m_Quarantine.update(Start + 5s);
  CHECK(m_Quarantine.isQuarantined("bad-1"));
  CHECK(m_Quarantine.isQuarantined("bad-2"));
  CHECK_FALSE(m_Quarantine.isQuarantined("shared"));
}

// Guards against a harmless part that stays refused although a prompt with it
// was answered.
TEST(CrashQuarantine, AnswerReleasesAPart) {
  for (int Engine = 0; Engine < 3; ++Engine)
    addCrash("e" + std::to_string(Engine), Start + Engine * 200ms, {"part"});
  CHECK(m_Quarantine.isQuarantined("part"));
  m_Quarantine.noteAnswer("part", Start + 1s);
  auto Changes = m_Quarantine.update(Start + 1s);
  LONGS_EQUAL(1, Changes.size());
  CHECK_FALSE(Changes[0].m_IsQuarantined);
  CHECK_FALSE(m_Quarantine.isQuarantined("part"));
}

// Guards against a frequent part that is refused for long after a series of
// crashes with another cause, and against one that has become harmful and is
// never found.
TEST(CrashQuarantine, PartThatWasAnsweredBeforeNeedsMoreEvidence) {
  m_Quarantine.noteAnswer("part", Start - 1s);
  for (int Engine = 0; Engine < 4; ++Engine)
    addCrash("e" + std::to_string(Engine), Start + Engine * 400ms, {"part"});
  CHECK_FALSE(m_Quarantine.isQuarantined("part"));
  addCrash("e4", Start + 1600ms, {"part"});
  CHECK(m_Quarantine.isQuarantined("part"));
  m_Quarantine.update(Start + 2min);
  CHECK_FALSE(m_Quarantine.isQuarantined("part"));
}

// Guards against a quarantine without end.
TEST(CrashQuarantine, CrashesAreForgotten) {
  for (int Engine = 0; Engine < 3; ++Engine)
    addCrash("e" + std::to_string(Engine), Start + Engine * 200ms, {"part"});
  m_Quarantine.update(Start + CrashQuarantine::Memory - 1s);
  CHECK(m_Quarantine.isQuarantined("part"));
  m_Quarantine.update(Start + CrashQuarantine::Memory + 10s);
  CHECK_FALSE(m_Quarantine.isQuarantined("part"));
}

// Guards against a harmful part that is not found in time among the requests
// that its crashes cut off, and against sound parts that are taken for
// it: in a running fleet, and in one whose VMs have all just started.
TEST(CrashQuarantine, HarmfulPartIsFoundAmongSoundOnes) {
  for (unsigned Seed : SeedRange(200)) {
    SimulatedFleet Fleet(Seed, 6 + Seed % 20);
    if (Seed % 2)
      Fleet.run(20s, 40, 0);
    Fleet.run(20s, 40, 1 + Seed % 5);
    std::string Message = "seed " + std::to_string(Seed) + ": " +
                          std::to_string(Fleet.crashes()) + " crashes, " +
                          std::to_string(Fleet.lateCrashingRequests()) +
                          " late requests, " +
                          std::to_string(Fleet.quarantinedSoundParts()) +
                          " sound parts quarantined at the end, " +
                          std::to_string(Fleet.refusedSoundRequests()) +
                          " sound requests refused";
    CHECK_TEXT(Fleet.quarantine().isQuarantined(SimulatedFleet::CrashingPart),
               Message.c_str());
    CHECK_TEXT(Fleet.lateCrashingRequests() <= 3, Message.c_str());
    CHECK_TEXT(Fleet.quarantinedSoundParts() == 0, Message.c_str());
  }
}

PARSLEYRING_TEST_MAIN
