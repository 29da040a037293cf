#include "admission/CrashQuarantine.h"

#include "support/SeedRange.h"
#include "support/TestMain.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static const Time Start{std::chrono::hours(1)};
static const std::string Guilty = EndpointCrash::requestSuspect("guilty");
static const std::string Sound = EndpointCrash::requestSuspect("sound");

namespace {

/// Endpoints of a plain service that crash while they run one request, in front
/// of which several VMs each have a quarantine and share what they see. Callers
/// repeat each request that failed, after a short time, up to MaxRepetitions
/// times.
class SimulatedService {
public:
  SimulatedService(unsigned Seed, int Endpoints) : m_Random(Seed) {
    m_Endpoints.resize(Endpoints);
  }

  void run(Duration Length, double SoundPerSecond, double GuiltyPerSecond) {
    for (Time End = m_Now + Length; m_Now < End; m_Now += Step) {
      double StepSeconds = std::chrono::duration<double>(Step).count();
      if (chance(SoundPerSecond * StepSeconds))
        m_Waiting.push_back({newSound(), m_Now, 0});
      if (chance(GuiltyPerSecond * StepSeconds))
        m_Waiting.push_back({Guilty, m_Now, 0});
      sendWaiting();
      finishRuns();
      receiveReports();
      for (CrashQuarantine &Each : m_Quarantines)
        Each.update(m_Now);
    }
  }
  /// All endpoints crash, one after the other.
  void crashAll(Duration Interval) {
    for (Endpoint &Each : m_Endpoints) {
      if (Each.m_DownUntil <= m_Now)
        crash(Each);
      run(Interval, 40, 0);
    }
  }

  int crashes() const { return m_Crashes; }
  int lateGuiltySends() const { return m_LateGuiltySends; }
  int refusedSound() const { return m_RefusedSound; }
  int sentSound() const { return m_NextSound; }
  bool isGuiltyKnown() const {
    return std::all_of(
        m_Quarantines.begin(), m_Quarantines.end(),
        [](const CrashQuarantine &Each) { return Each.isQuarantined(Guilty); });
  }
  /// Sound requests that are in quarantine, of all VMs.
  std::size_t quarantinedSound() const {
    std::size_t Count = 0;
    for (const CrashQuarantine &Each : m_Quarantines)
      Count += Each.size() - Each.isQuarantined(Guilty);
    return Count;
  }

private:
  struct Request {
    std::string m_Id;
    Time m_DueAt{};
    int m_Repetitions = 0;
    int m_CutOffs = 0; ///< Of the current attempt.
    int m_VM = 0;
    Time m_SentAt{};
    Time m_EndsAt{};
  };
  struct Endpoint {
    int m_Incarnation = 0;
    Time m_DownUntil{};
    std::vector<Request> m_Running;
  };
  /// A crash, or an answer if m_Answered is not empty.
  struct PendingReport {
    Time m_ReceivedAt{};
    int m_Receiver = 0;
    int m_Reporter = 0;
    EndpointCrash m_Crash;
    std::string m_Answered;
    Time m_AnsweredAt{};
  };

  static constexpr Duration Step = 5ms;
  /// Until a VM knows that an endpoint has crashed, and until the others know.
  static constexpr Duration CheckTime = 50ms;
  static constexpr Duration ReportDelay = 400ms;
  static constexpr Duration RestartTime = 3s;
  static constexpr Duration StableTime = 3s;
  static constexpr int MaxRepetitions = 3;
  static constexpr int VMs = 4;

  int pick(int Count) {
    return std::uniform_int_distribution<int>(0, Count - 1)(m_Random);
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
  }
  // A third of the requests is sent again and again, like those of a poller.
  std::string newSound() {
    int Number = ++m_NextSound;
    return EndpointCrash::requestSuspect(Number % 3 == 0
                                             ? "poll" + std::to_string(pick(4))
                                             : "s" + std::to_string(Number));
  }

  void repeat(Request Failed) {
    if (++Failed.m_Repetitions > MaxRepetitions)
      return;
    Failed.m_CutOffs = 0;
    Failed.m_DueAt = m_Now + std::chrono::milliseconds(pick(300));
    m_Waiting.push_back(std::move(Failed));
  }

  void sendWaiting() {
    std::vector<Request> Due;
    for (auto Entry = m_Waiting.begin(); Entry != m_Waiting.end();)
      if (Entry->m_DueAt <= m_Now) {
        Due.push_back(*Entry);
        Entry = m_Waiting.erase(Entry);
      } else {
        ++Entry;
      }
    for (Request &Each : Due) {
      Each.m_VM = pick(VMs);
      send(std::move(Each));
    }
  }

  void send(Request Sent) {
    if (m_Quarantines[Sent.m_VM].isQuarantined(Sent.m_Id)) {
      m_RefusedSound += Sent.m_Id != Guilty;
      repeat(std::move(Sent));
      return;
    }
    std::vector<Endpoint *> Available;
    for (Endpoint &Each : m_Endpoints)
      if (Each.m_DownUntil <= m_Now)
        Available.push_back(&Each);
    if (Available.empty()) {
      repeat(std::move(Sent));
      return;
    }
    if (Sent.m_Id == Guilty && m_GuiltyCrashes >= 3 &&
        m_Now > m_ThirdCrashAt + StableTime)
      ++m_LateGuiltySends;
    Sent.m_SentAt = m_Now;
    Sent.m_EndsAt = m_Now + std::chrono::milliseconds(20 + pick(100));
    Available[pick(Available.size())]->m_Running.push_back(std::move(Sent));
  }

  void finishRuns() {
    for (Endpoint &Each : m_Endpoints) {
      auto IsOver = [this](const Request &Running) {
        return Running.m_EndsAt <= m_Now;
      };
      if (std::any_of(Each.m_Running.begin(), Each.m_Running.end(),
                      [&](const Request &Running) {
                        return Running.m_Id == Guilty && IsOver(Running);
                      })) {
        if (++m_GuiltyCrashes == 3)
          m_ThirdCrashAt = m_Now;
        crash(Each);
        continue;
      }
      for (const Request &Running : Each.m_Running)
        if (IsOver(Running))
          noteAnswer(Running.m_VM, Running.m_Id);
      Each.m_Running.erase(
          std::remove_if(Each.m_Running.begin(), Each.m_Running.end(), IsOver),
          Each.m_Running.end());
    }
  }

  void report(int VM, const PendingReport &Seen) {
    for (int Receiver = 0; Receiver < VMs; ++Receiver) {
      PendingReport Sent = Seen;
      Sent.m_ReceivedAt = m_Now + (Receiver == VM ? CheckTime : ReportDelay);
      Sent.m_Receiver = Receiver;
      Sent.m_Reporter = VM;
      m_Reports.push_back(std::move(Sent));
    }
  }

  void noteAnswer(int VM, const std::string &Id) {
    if (m_Quarantines[VM].isAnswerNews(Id))
      report(VM, {{}, 0, 0, {}, Id, m_Now});
    m_Quarantines[VM].noteAnswer(Id, m_Now);
    m_Quarantines[VM].update(m_Now);
  }

  void crash(Endpoint &Crashed) {
    ++m_Crashes;
    std::vector<Request> CutOff = std::move(Crashed.m_Running);
    Crashed.m_Running.clear();
    Crashed.m_DownUntil = m_Now + RestartTime;
    std::string Name = std::to_string(&Crashed - m_Endpoints.data()) + "@" +
                       std::to_string(++Crashed.m_Incarnation);
    std::map<int, EndpointCrash> Reports;
    for (const Request &Each : CutOff) {
      EndpointCrash &Report = Reports[Each.m_VM];
      Report.m_Endpoint = Name;
      Report.m_At = m_Now;
      Report.m_Suspects.push_back(
          {Each.m_Id, 1, m_Quarantines[Each.m_VM].wasAnswered(Each.m_Id),
           Each.m_SentAt});
    }
    for (auto &[VM, Report] : Reports)
      report(VM, {{}, 0, 0, Report, {}, {}});
    for (Request &Each : CutOff) {
      if (++Each.m_CutOffs >= 2)
        repeat(std::move(Each));
      else
        send(std::move(Each));
    }
  }

  void receiveReports() {
    auto IsReceived = [this](PendingReport &Each) {
      if (Each.m_ReceivedAt > m_Now)
        return false;
      CrashQuarantine &Receiver = m_Quarantines[Each.m_Receiver];
      if (Each.m_Answered.empty())
        Receiver.addCrash("vm-" + std::to_string(Each.m_Reporter),
                          Each.m_Crash);
      else
        Receiver.noteAnswer(Each.m_Answered, Each.m_AnsweredAt);
      return true;
    };
    m_Reports.erase(
        std::remove_if(m_Reports.begin(), m_Reports.end(), IsReceived),
        m_Reports.end());
  }

  std::minstd_rand m_Random;
  Time m_Now = Start;
  std::vector<CrashQuarantine> m_Quarantines =
      std::vector<CrashQuarantine>(VMs);
  std::vector<Endpoint> m_Endpoints;
  std::vector<Request> m_Waiting;
  std::vector<PendingReport> m_Reports;
  int m_Crashes = 0;
  int m_GuiltyCrashes = 0;
  Time m_ThirdCrashAt{};
  int m_LateGuiltySends = 0;
  int m_RefusedSound = 0;
  int m_NextSound = 0;
};

} // namespace

TEST_GROUP(RequestQuarantine) {
  CrashQuarantine m_Quarantine;

  /// Requests are pairs of a suspect and the time of its sending.
  void addCrash(const std::string &Endpoint, Time At,
                const std::vector<std::pair<std::string, Time>> &Requests) {
    EndpointCrash Crash{Endpoint, At, {}};
    for (const auto &[Id, SentAt] : Requests)
      Crash.m_Suspects.push_back({Id, 1, false, SentAt});
    m_Quarantine.addCrash("vm-0", std::move(Crash));
    m_Quarantine.update(At);
  }
};

// Guards against a request that one attempt and its repetition send to three
// endpoints within a moment, and that is taken for the victim of one failure.
TEST(RequestQuarantine, RequestThatCrashesOneEndpointAfterTheOtherIsFound) {
  addCrash("e1", Start, {{Guilty, Start - 60ms}, {Sound, Start - 20ms}});
  addCrash("e2", Start + 60ms, {{Guilty, Start}, {Sound, Start + 10ms}});
  LONGS_EQUAL(0, m_Quarantine.size());
  addCrash("e3", Start + 120ms, {{Guilty, Start + 60ms}});
  CHECK(m_Quarantine.isQuarantined(Guilty));
  LONGS_EQUAL(1, m_Quarantine.size());
}

// Guards against a request that callers repeat all the time and that is refused
// since it ran everywhere when all endpoints failed at once.
TEST(RequestQuarantine, EndpointsThatEndTogetherProveNothing) {
  for (int Endpoint = 0; Endpoint < 20; ++Endpoint)
    addCrash("e" + std::to_string(Endpoint), Start + Endpoint * 10ms,
             {{Sound, Start - 5ms}});
  LONGS_EQUAL(0, m_Quarantine.size());
}

// Guards against a sound request that stays refused since it was repeated
// beside the guilty one: the next crash tells them apart.
TEST(RequestQuarantine, RequestBesideTheGuiltyOneIsReleased) {
  for (int Endpoint = 0; Endpoint < 3; ++Endpoint)
    addCrash("e" + std::to_string(Endpoint), Start + Endpoint * 100ms,
             {{Guilty, Start + Endpoint * 100ms - 60ms},
              {Sound, Start + Endpoint * 100ms - 60ms}});
  LONGS_EQUAL(1, m_Quarantine.size());
  addCrash("e3", Start + 3s, {{Guilty, Start + 3s - 60ms}});
  CHECK(m_Quarantine.isQuarantined(Guilty));
  CHECK_FALSE(m_Quarantine.isQuarantined(Sound));
}

// Guards against an answer that one VM has seen and that others never hear of,
// and against answers that are all written to the store.
TEST(RequestQuarantine, OnlyAnswersThatMatterAreNews) {
  addCrash("e1", Start, {{Sound, Start - 60ms}});
  m_Quarantine.noteAnswer(Sound, Start + 100ms);
  CHECK_FALSE(m_Quarantine.isAnswerNews(Sound));
  addCrash("e2", Start + 1s, {{Sound, Start + 940ms}});
  addCrash("e3", Start + 2s, {{Sound, Start + 1940ms}});
  CHECK(m_Quarantine.isAnswerNews(Sound));
  m_Quarantine.noteAnswer(Sound, Start + 3s);
  m_Quarantine.update(Start + 3s);
  CHECK_FALSE(m_Quarantine.isAnswerNews(Sound));
  addCrash("e4", Start + 4s, {{Sound, Start + 3940ms}});
  LONGS_EQUAL(0, m_Quarantine.size());
}

// Guards against a harmful prompt part that is found late, since the crashes
// are put down to one prompt that was repeated.
TEST(RequestQuarantine, PromptPartGoesBeforeTheRequest) {
  for (int Endpoint = 0; Endpoint < 3; ++Endpoint)
    addCrash("e" + std::to_string(Endpoint), Start + Endpoint * 300ms,
             {{"part", Time{}}, {Guilty, Time{}}});
  CHECK(m_Quarantine.isQuarantined("part"));
  LONGS_EQUAL(1, m_Quarantine.size());
}

// Guards against sound prompts that are refused for one that crashes engines,
// since they share a part with it and no engine is left that could answer them.
TEST(RequestQuarantine, RequestGoesBeforeAPartThatWasAnswered) {
  for (int Engine = 0; Engine < 6; ++Engine) {
    Time At = Start + Engine * 300ms;
    EndpointCrash Crash{"e" + std::to_string(Engine), At, {}};
    Crash.m_Suspects = {{"part", 4, true}, {Sound, 1, true, At - 60ms}};
    // The last crash has another reason.
    if (Engine < 5)
      Crash.m_Suspects.push_back({Guilty, 1, false, At - 60ms});
    m_Quarantine.addCrash("vm-0", std::move(Crash));
    m_Quarantine.update(At);
  }
  CHECK(m_Quarantine.isQuarantined(Guilty));
  LONGS_EQUAL(1, m_Quarantine.size());
}

// Guards against a sound part without an answer so far that is refused since it
// was on most of the engines that a request has crashed.
TEST(RequestQuarantine, RequestWithMoreCrashesGoesBeforeAPart) {
  for (int Engine = 0; Engine < 4; ++Engine) {
    Time At = Start + Engine * 300ms;
    EndpointCrash Crash{"e" + std::to_string(Engine), At, {}};
    Crash.m_Suspects = {{Guilty, 1, false, At - 60ms}};
    if (Engine > 0)
      Crash.m_Suspects.push_back({"part", 1, false});
    m_Quarantine.addCrash("vm-0", std::move(Crash));
    m_Quarantine.update(At);
  }
  CHECK(m_Quarantine.isQuarantined(Guilty));
  LONGS_EQUAL(1, m_Quarantine.size());
}

// Guards against a harmful part that is found late, since each of the requests
// that have it is taken for the cause of the crashes that it was on.
TEST(RequestQuarantine, PartOfSeveralRequestsGoesBeforeEach) {
  for (int Engine = 0; Engine < 6; ++Engine) {
    Time At = Start + Engine * 300ms;
    std::string Request =
        EndpointCrash::requestSuspect(std::to_string(Engine / 3));
    EndpointCrash Crash{"e" + std::to_string(Engine), At, {}};
    Crash.m_Suspects = {{"part", 1, true}, {Request, 1, false, At - 60ms}};
    m_Quarantine.addCrash("vm-0", std::move(Crash));
    m_Quarantine.update(At);
  }
  CHECK(m_Quarantine.isQuarantined("part"));
  LONGS_EQUAL(1, m_Quarantine.size());
}

// Guards against a request that reaches endpoints again and again in a service
// of any size, and against sound requests that stay refused.
TEST(RequestQuarantine, GuiltyRequestIsFoundAmongSoundOnes) {
  int Refused = 0;
  int Sent = 0;
  for (unsigned Seed : SeedRange(200)) {
    SimulatedService Service(Seed, 3 + Seed % 10);
    if (Seed % 2)
      Service.run(10s, 40, 0);
    Service.run(25s, 40, 1 + Seed % 4);
    std::string Message = "seed " + std::to_string(Seed) + ": " +
                          std::to_string(Service.crashes()) + " crashes, " +
                          std::to_string(Service.lateGuiltySends()) +
                          " late sends, " +
                          std::to_string(Service.quarantinedSound()) +
                          " sound requests in quarantine, " +
                          std::to_string(Service.refusedSound()) + " refused";
    Refused += Service.refusedSound();
    Sent += Service.sentSound();
    CHECK_TEXT(Service.isGuiltyKnown(), Message.c_str());
    CHECK_TEXT(Service.lateGuiltySends() <= 3, Message.c_str());
    CHECK_TEXT(Service.quarantinedSound() == 0, Message.c_str());
  }
  std::string Message = std::to_string(Refused) + " of " +
                        std::to_string(Sent) + " sound requests refused";
  CHECK_TEXT(Refused * 1000 <= Sent, Message.c_str());
}

// Guards against sound requests that are refused since all endpoints of their
// service have crashed for a reason of their own.
TEST(RequestQuarantine, FailureOfTheServiceLeavesNoRequestRefused) {
  int Refused = 0;
  int Sent = 0;
  for (unsigned Seed : SeedRange(200)) {
    SimulatedService Service(Seed, 3 + Seed % 10);
    Service.run(5s, 40, 0);
    Service.crashAll(std::chrono::milliseconds(Seed % 5 * 40));
    Service.run(6s, 40, 0);
    Refused += Service.refusedSound();
    Sent += Service.sentSound();
  }
  std::string Message = std::to_string(Refused) + " of " +
                        std::to_string(Sent) + " sound requests refused";
  CHECK_TEXT(Refused * 1000 <= Sent, Message.c_str());
}

// Guards against a search whose time grows with the square of the crashes: 300
// VMs that report 500 crashes and 10,000 requests would hold up the event loop.
TEST(RequestQuarantine, SearchAmongManyRequestsIsFast) {
  for (int Crash = 0; Crash < 500; ++Crash)
    for (int VM = 0; VM < 20; ++VM) {
      Time At = Start + Crash * 100ms;
      std::string Own = "s" + std::to_string(Crash * 20 + VM);
      std::string Repeated = "g" + std::to_string(Crash / 4 * 20 + VM);
      m_Quarantine.addCrash(
          "vm-" + std::to_string((Crash * 20 + VM) % 300),
          {"e" + std::to_string(Crash),
           At,
           {{EndpointCrash::requestSuspect(Own), 1, false, At - 50ms},
            {EndpointCrash::requestSuspect(Repeated), 1, false, At - 50ms}}});
    }
  auto Before = std::chrono::steady_clock::now();
  m_Quarantine.update(Start + 50s);
  auto Taken = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Before);
  LONGS_EQUAL(125, m_Quarantine.size());
  std::string Message = std::to_string(Taken.count()) + " ms";
  CHECK_TEXT(Taken < 1s, Message.c_str());
}

PARSLEYRING_TEST_MAIN
