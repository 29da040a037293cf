#include "fleet/EndpointCrash.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

static const std::string CrashingPart = "dead0001";
// Bounds of the platform: crashes after which a part must be known, the time
// that the VMs have for it, and how many requests may still reach an engine.
static constexpr int MaxCrashes = 5;
// The same for a single request.
static constexpr int MaxRequestCrashes = 3;
static constexpr std::chrono::milliseconds StableTime = 3000ms;
static constexpr int MaxLateRequests = 3;

namespace {

/// Engines that crash as soon as they begin to answer a prompt with
/// CrashingPart. All requests that they work on are then cut off, and they are
/// back after RestartDelay, under a new id.
class CrashingEngines {
public:
  CrashingEngines(FakeMetadataStore &Store, int Count) : m_Store(Store) {
    for (int Index = 0; Index < Count; ++Index) {
      m_Engines.push_back(std::make_unique<Engine>());
      Engine &Added = *m_Engines.back();
      Added.m_Name = "m" + std::to_string(Index);
      Added.m_Server = std::make_unique<FakeEndpoint>(
          [this, &Added](const ReceivedCall &Call) {
            return respond(Added, Call);
          });
      list(Added);
    }
    m_Restarter = std::thread([this] { restartCrashed(); });
  }
  ~CrashingEngines() {
    m_IsStopping = true;
    m_Restarter.join();
  }

  /// Writes the entries of all engines again.
  void listAgain() {
    for (const auto &Each : m_Engines)
      list(*Each);
  }
  int crashes() const { return m_Crashes; }
  /// Requests with CrashingPart that reached an engine.
  int crashingRequests() const { return m_CrashingRequests; }

private:
  struct Engine {
    std::string m_Name;
    std::unique_ptr<FakeEndpoint> m_Server;
    std::atomic<int> m_Incarnation{1};
    std::atomic<bool> m_IsDown{false};
    std::atomic<Clock::time_point> m_DownSince{};

    std::string id() const {
      return m_Name + "-" + std::to_string(m_Incarnation);
    }
  };

  static constexpr auto RestartDelay = 400ms;
  // The prompt is read before the answer begins.
  static constexpr auto ReadingTime = 60ms;

  void list(const Engine &Listed) {
    m_Store.put("servers/" + Listed.id(),
                serverEntry("model", Listed.m_Server->address()));
  }

  FakeEndpointAnswer respond(Engine &Called, const ReceivedCall &Call) {
    FakeEndpointAnswer Cut;
    Cut.m_ClosesConnection = true;
    if (Called.m_IsDown)
      return Cut;
    FakeEndpointAnswer Answer;
    if (Call.m_Path.rfind("/stream/", 0) != 0) {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    if (Call.header("Expect-Instance") != Called.id()) {
      Answer.m_Status = 421;
      Answer.m_Headers["Not-Executed"] = "1";
      return Answer;
    }
    bool IsCrashing =
        Call.header("Prompt-Prefix").find(CrashingPart) != std::string::npos;
    m_CrashingRequests += IsCrashing;
    int Incarnation = Called.m_Incarnation;
    std::this_thread::sleep_for(ReadingTime);
    if (Called.m_IsDown || Called.m_Incarnation != Incarnation)
      return Cut;
    if (IsCrashing) {
      Called.m_DownSince = Clock::now();
      if (!Called.m_IsDown.exchange(true))
        ++m_Crashes;
      return Cut;
    }
    Answer.m_Chunks = {"id: 1\ndata: first\n\n", "id: 2\ndata: last\n\n"};
    return Answer;
  }

  void restartCrashed() {
    while (!m_IsStopping) {
      for (const auto &Each : m_Engines) {
        if (!Each->m_IsDown ||
            Clock::now() < Each->m_DownSince.load() + RestartDelay)
          continue;
        m_Store.remove("servers/" + Each->id());
        ++Each->m_Incarnation;
        Each->m_IsDown = false;
        list(*Each);
      }
      std::this_thread::sleep_for(20ms);
    }
  }

  FakeMetadataStore &m_Store;
  std::vector<std::unique_ptr<Engine>> m_Engines;
  std::atomic<int> m_Crashes{0};
  std::atomic<int> m_CrashingRequests{0};
  std::atomic<bool> m_IsStopping{false};
  std::thread m_Restarter;
};

/// Counts of the answers to sound requests.
struct AnswerCount {
  std::atomic<int> m_Sent{0};
  std::atomic<int> m_Answered{0};

  double share() const { return double(m_Answered) / std::max(1, +m_Sent); }
};

} // namespace

TEST_GROUP(CrashingPrompt) {
  FakeMetadataStore m_Store;
  std::vector<std::unique_ptr<GatewayProcess>> m_Gateways;
  std::atomic<int> m_Requests{0};
  std::atomic<int> m_Prompts{0};

  void setup() override { m_Store.put("op/config", gatewayConfiguration(1)); }
  void teardown() override { m_Gateways.clear(); }
  void startGateway() {
    m_Gateways.push_back(std::make_unique<GatewayProcess>(
        "vm-" + std::to_string(m_Gateways.size()), m_Store.address()));
    CHECK(m_Gateways.back()->waitUntilReady());
  }
  /// Sends a prompt with this part between a part that all prompts share and
  /// one of its own.
  int sendStream(const std::string &Part, std::size_t Gateway) {
    return sendPrompt("aaaa0001:40," + Part + ":30,ffff" +
                          std::to_string(++m_Prompts) + ":30",
                      Gateway);
  }
  /// Sends a prompt of these parts; the last one is no part of others.
  int sendPrompt(const std::string &Parts, std::size_t Gateway) {
    std::string Number = std::to_string(++m_Requests);
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = "/stream/a";
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + Number},
                         {"Authorization", "Bearer key-1"},
                         {"Token-Count", "100,20"},
                         {"Prompt-Prefix", Parts},
                         {"Deadline-Ms", "2500"}};
    return sendHttp(m_Gateways[Gateway]->callerAddress(), Request).m_Status;
  }
};

// Guards against a prompt part that crashes engine after engine: no VM
// remembers that requests with it never got an answer, and each is sent to new
// engines, also by a VM that has just started. Sound requests that share the
// account and the other parts must still be served.
TEST(CrashingPrompt, PartThatCrashesEnginesReachesNoFurtherOnes) {
  CrashingEngines Engines(m_Store, 8);
  for (int Count = 0; Count < 3; ++Count)
    startGateway();
  AnswerCount Before;
  AnswerCount After;
  std::atomic<AnswerCount *> Counted{&Before};
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Callers;
  for (unsigned Caller = 0; Caller < 6; ++Caller)
    Callers.emplace_back([&, Caller] {
      std::minstd_rand Random(Caller + 1);
      while (!IsStopping) {
        std::string Part = "bbbb000" + std::to_string(Random() % 8);
        AnswerCount *Count = Counted;
        int Status = sendStream(Part, Random() % 3);
        if (Count) {
          ++Count->m_Sent;
          Count->m_Answered += Status == 200;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 40));
      }
    });
  std::this_thread::sleep_for(1s);
  Counted = nullptr;
  std::atomic<bool> IsCrashing{true};
  std::thread CrashingCaller([&] {
    for (std::size_t Number = 0; IsCrashing; ++Number) {
      sendStream(CrashingPart, Number % 3);
      std::this_thread::sleep_for(50ms);
    }
  });
  eventually([&] { return Engines.crashes() >= MaxCrashes; }, 5s);
  std::this_thread::sleep_for(StableTime);
  int RequestsBefore = Engines.crashingRequests();
  int CrashesBefore = Engines.crashes();
  std::this_thread::sleep_for(StableTime);
  Counted = &After;
  std::this_thread::sleep_for(2s);
  Counted = nullptr;
  IsCrashing = false;
  CrashingCaller.join();
  startGateway();
  for (int Count = 0; Count < 5; ++Count)
    sendStream(CrashingPart, m_Gateways.size() - 1);
  IsStopping = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  int LateRequests = Engines.crashingRequests() - RequestsBefore;
  std::string Message =
      std::to_string(LateRequests) + " late requests, " +
      std::to_string(Engines.crashes()) + " crashes, " +
      std::to_string(CrashesBefore) +
      " before; sound requests answered: " + std::to_string(Before.share()) +
      " before, " + std::to_string(After.share()) + " after";
  CHECK_TEXT(Engines.crashes() > 0, Message.c_str());
  CHECK_TEXT(LateRequests <= MaxLateRequests, Message.c_str());
  CHECK_TEXT(Before.m_Sent >= 20 && After.m_Sent >= 20, Message.c_str());
  CHECK_TEXT(After.share() >= Before.share() / 2, Message.c_str());
}

// Guards against a request that crashes engine after engine by the last part of
// its prompt, or whose prompt has no other part: no VM remembers that it never
// got an answer. Sound requests that share its other parts must still be
// served.
TEST(CrashingPrompt, RequestThatCrashesEnginesReachesNoFurtherOnes) {
  for (const std::string &Parts :
       {"aaaa0001:40,bbbb0001:30," + CrashingPart + ":30",
        CrashingPart + ":30"}) {
    CrashingEngines Engines(m_Store, 8);
    for (int Count = 0; Count < 3; ++Count)
      startGateway();
    AnswerCount Sound;
    std::atomic<bool> IsCounted{false};
    std::atomic<bool> IsStopping{false};
    std::vector<std::thread> Callers;
    for (unsigned Caller = 0; Caller < 6; ++Caller)
      Callers.emplace_back([&, Caller] {
        std::minstd_rand Random(Caller + 1);
        while (!IsStopping) {
          std::string Part = "bbbb000" + std::to_string(Random() % 4);
          bool Counts = IsCounted;
          int Status = sendStream(Part, Random() % 3);
          Sound.m_Sent += Counts;
          Sound.m_Answered += Counts && Status == 200;
          std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 40));
        }
      });
    std::this_thread::sleep_for(1s);
    std::thread CrashingCaller([&] {
      for (std::size_t Number = 0; !IsStopping; ++Number) {
        sendPrompt(Parts, Number % 3);
        std::this_thread::sleep_for(50ms);
      }
    });
    eventually([&] { return Engines.crashes() >= MaxRequestCrashes; }, 5s);
    std::this_thread::sleep_for(StableTime);
    int RequestsBefore = Engines.crashingRequests();
    IsCounted = true;
    std::this_thread::sleep_for(StableTime);
    IsStopping = true;
    CrashingCaller.join();
    for (std::thread &Caller : Callers)
      Caller.join();
    int LateRequests = Engines.crashingRequests() - RequestsBefore;
    std::string Message = Parts + ": " + std::to_string(LateRequests) +
                          " late requests, " + std::to_string(RequestsBefore) +
                          " before, " + std::to_string(Engines.crashes()) +
                          " crashes, " + std::to_string(Sound.m_Answered) +
                          " of " + std::to_string(Sound.m_Sent) +
                          " sound requests answered";
    CHECK_TEXT(Engines.crashes() >= MaxRequestCrashes, Message.c_str());
    CHECK_TEXT(LateRequests <= MaxLateRequests, Message.c_str());
    CHECK_TEXT(Sound.m_Sent >= 20, Message.c_str());
    CHECK_TEXT(Sound.share() >= 0.9, Message.c_str());
    // A prompt part that is refused takes sound requests with it.
    for (const auto &Gateway : m_Gateways)
      CHECK_TEXT(Gateway->process().output().find(
                     "suspect-quarantined\",\"suspect\":\"bbbb") ==
                     std::string::npos,
                 Message.c_str());
    m_Gateways.clear();
  }
}

// Guards against crashes that only the VM knows that saw them, since the store
// was not available then: the other VMs and a new one would repeat them.
TEST(CrashingPrompt, AllVMsKnowOfCrashesAfterAnOutageOfTheStore) {
  CrashingEngines Engines(m_Store, 8);
  for (int Count = 0; Count < 3; ++Count)
    startGateway();
  m_Store.setDown(true);
  for (int Count = 0; Count < 8; ++Count) {
    sendStream(CrashingPart, 0);
    std::this_thread::sleep_for(100ms);
  }
  CHECK(Engines.crashes() > 0 && Engines.crashes() <= MaxCrashes);
  m_Store.setDown(false);
  std::this_thread::sleep_for(StableTime);
  startGateway();
  int RequestsBefore = Engines.crashingRequests();
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
    for (int Count = 0; Count < 4; ++Count)
      sendStream(CrashingPart, Gateway);
  CHECK(Engines.crashingRequests() - RequestsBefore <= MaxLateRequests);
}

// Guards against crash reports that are lost when the store is restored from an
// older copy: a VM that starts later would repeat the crashes.
TEST(CrashingPrompt, CrashesStayKnownAfterARestoration) {
  CrashingEngines Engines(m_Store, 8);
  for (int Count = 0; Count < 3; ++Count)
    startGateway();
  m_Store.keepCopy();
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
    LONGS_EQUAL(200, sendStream("bbbb0001", Gateway));
  for (int Count = 0; Count < 8; ++Count) {
    sendStream(CrashingPart, 0);
    std::this_thread::sleep_for(100ms);
  }
  CHECK(Engines.crashes() > 0 && Engines.crashes() <= MaxCrashes);
  std::this_thread::sleep_for(1s);
  m_Store.restoreCopy();
  Engines.listAgain();
  std::this_thread::sleep_for(StableTime);
  startGateway();
  int RequestsBefore = Engines.crashingRequests();
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
    for (int Count = 0; Count < 4; ++Count)
      sendStream(CrashingPart, Gateway);
  LONGS_EQUAL(200, sendStream("bbbb0001", m_Gateways.size() - 1));
  CHECK(Engines.crashingRequests() - RequestsBefore <= MaxLateRequests);
}

// Guards against a part that one VM refuses although an answer that another VM
// has seen shows that it is harmless, and against items that are misread.
TEST(CrashingPrompt, AnswerSeenByAnotherVMReleasesAPart) {
  CrashingEngines Engines(m_Store, 2);
  Time Now =
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  for (int Number = 0; Number < 3; ++Number) {
    EndpointCrash Crash{"engine-" + std::to_string(Number),
                        Now + Number * 300ms - 2s,
                        {{"bbbb0001", 1, false}}};
    m_Store.put("parsleyring/engine-crashes/" + Crash.m_Endpoint + "/vm-9",
                Crash.encode());
  }
  m_Store.put("parsleyring/engine-crashes/other/vm-9", "not a crash");
  startGateway();
  LONGS_EQUAL(503, sendStream("bbbb0001", 0));
  LONGS_EQUAL(200, sendStream("bbbb0002", 0));
  m_Store.put("parsleyring/answered-prompt-parts/bbbb0001",
              std::to_string(Now.time_since_epoch().count()));
  CHECK(eventually([this] { return sendStream("bbbb0001", 0) == 200; }, 5s));
}

// Guards against prompts that are refused since the connections of engines that
// still run were cut.
TEST(CrashingPrompt, ConnectionThatIsCutIsNoCrash) {
  std::atomic<int> Streams{0};
  auto Respond = [&](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    if (Call.m_Path != "/stream/a") {
      Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
      return Answer;
    }
    ++Streams;
    Answer.m_ClosesConnection = true;
    return Answer;
  };
  std::vector<std::unique_ptr<FakeEndpoint>> Engines;
  for (int Number = 0; Number < 6; ++Number) {
    Engines.push_back(std::make_unique<FakeEndpoint>(Respond));
    m_Store.put("servers/m" + std::to_string(Number),
                serverEntry("model", Engines.back()->address()));
  }
  startGateway();
  for (int Count = 0; Count < 6; ++Count) {
    LONGS_EQUAL(502, sendStream("bbbb0001", 0));
    std::this_thread::sleep_for(100ms);
  }
  LONGS_EQUAL(12, Streams);
  std::string Output = m_Gateways[0]->process().output();
  CHECK(Output.find("endpoint-crashed") == std::string::npos);
}

// Guards against an engine that counts as crashed although it has answered, if
// with a head that is malformed.
TEST(CrashingPrompt, MalformedReportIsNoCrash) {
  std::atomic<int> Reports{0};
  FakeEndpoint Engine([&](const ReceivedCall &Call) {
    FakeEndpointAnswer Answer;
    Answer.m_ClosesConnection = Call.m_Path == "/stream/a";
    if (!Answer.m_ClosesConnection) {
      Answer.m_Headers["X Bad"] = "v";
      ++Reports;
    }
    return Answer;
  });
  m_Store.put("servers/m0", serverEntry("model", Engine.address()));
  startGateway();
  for (int Count = 0; Count < 3; ++Count) {
    LONGS_EQUAL(502, sendStream("bbbb0001", 0));
    std::this_thread::sleep_for(100ms);
  }
  CHECK(eventually([&] { return Reports >= 3; }));
  std::string Output = m_Gateways[0]->process().output();
  CHECK(Output.find("endpoint-crashed") == std::string::npos);
}

PARSLEYRING_TEST_MAIN
