#include "support/CrashingEndpoints.h"
#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

// Bounds of the platform: crashes after which a request must be known, the time
// that the VMs have for it, and how many sends may still reach an endpoint.
static constexpr int MaxCrashes = 3;
static constexpr std::chrono::milliseconds StableTime = 3000ms;
static constexpr int MaxLateSends = 3;

TEST_GROUP(CrashingRequest) {
  FakeMetadataStore m_Store;
  std::unique_ptr<CrashingEndpoints> m_Endpoints;
  std::vector<std::unique_ptr<GatewayProcess>> m_Gateways;
  std::atomic<int> m_Requests{0};

  void setup() override {
    auto Configuration = nlohmann::json::parse(gatewayConfiguration(1));
    for (auto &Route : Configuration["routes"])
      if (Route["name"] == "repeat")
        Route["max_attempts"] = 3;
    m_Store.put("op/config", Configuration.dump());
    m_Endpoints = std::make_unique<CrashingEndpoints>(m_Store, 3);
    for (int Count = 0; Count < 3; ++Count)
      startGateway();
  }
  void teardown() override {
    m_Gateways.clear();
    m_Endpoints.reset();
  }
  void startGateway() {
    m_Gateways.push_back(std::make_unique<GatewayProcess>(
        "vm-" + std::to_string(m_Gateways.size()), m_Store.address()));
    CHECK(m_Gateways.back()->waitUntilReady());
  }
  HttpAnswer send(const std::string &Path, const std::string &Body,
                  std::size_t Gateway) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = Body;
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "2000"}};
    return sendHttp(m_Gateways[Gateway]->callerAddress(), Request);
  }
};

// Guards against a request that crashes the endpoints of a plain service: no VM
// remembers that it never got an answer, and each sends its repetitions to the
// next endpoints. Others, some repeated at once, must be served between them.
TEST(CrashingRequest, RequestThatCrashesEndpointsReachesNoFurtherOnes) {
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> IsCounted{false};
  std::atomic<int> Sent{0};
  std::atomic<int> Answered{0};
  std::vector<std::thread> Callers;
  for (std::size_t Caller = 0; Caller < 3; ++Caller)
    Callers.emplace_back([&, Caller] {
      std::string Body = "sound " + std::to_string(Caller);
      for (int Number = 0; !IsStopping; ++Number) {
        int Status = send("/repeat/a", Body, (Caller + Number) % 3).m_Status;
        Sent += IsCounted;
        Answered += IsCounted && Status == 200;
        std::this_thread::sleep_for(20ms);
      }
    });
  std::this_thread::sleep_for(300ms);
  std::thread CrashingCaller([&] {
    for (std::size_t Number = 0; !IsStopping; ++Number) {
      send("/repeat/a", CrashingEndpoints::CrashingBody, Number % 3);
      std::this_thread::sleep_for(100ms);
    }
  });
  eventually([&] { return m_Endpoints->crashes() >= MaxCrashes; }, 5s);
  std::this_thread::sleep_for(StableTime);
  int SendsBefore = m_Endpoints->crashingRequests();
  IsCounted = true;
  std::this_thread::sleep_for(StableTime);
  IsStopping = true;
  CrashingCaller.join();
  for (std::thread &Caller : Callers)
    Caller.join();
  int LateSends = m_Endpoints->crashingRequests() - SendsBefore;
  std::string Message = std::to_string(LateSends) + " late sends, " +
                        std::to_string(SendsBefore) + " before, " +
                        std::to_string(m_Endpoints->crashes()) + " crashes, " +
                        std::to_string(Answered) + " of " +
                        std::to_string(Sent) + " sound requests answered";
  CHECK_TEXT(m_Endpoints->crashes() >= MaxCrashes, Message.c_str());
  CHECK_TEXT(LateSends <= MaxLateSends, Message.c_str());
  CHECK_TEXT(Sent >= 20 && Answered >= 0.9 * Sent, Message.c_str());
}

// Guards against repetitions that are not recognized since the query of their
// target differs each time.
TEST(CrashingRequest, RepetitionsMayDifferInTheirQuery) {
  for (int Count = 0; Count < MaxCrashes; ++Count) {
    send("/once/a?page=" + std::to_string(Count),
         CrashingEndpoints::CrashingBody, 0);
    std::this_thread::sleep_for(100ms);
  }
  LONGS_EQUAL(MaxCrashes, m_Endpoints->crashes());
  CHECK(eventually([&] { return send("/once/a", "sound", 0).m_Status == 200; },
                   StableTime));
  int SendsBefore = m_Endpoints->crashingRequests();
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
    LONGS_EQUAL(503,
                send("/once/a?page=9", CrashingEndpoints::CrashingBody, Gateway)
                    .m_Status);
  LONGS_EQUAL(SendsBefore, m_Endpoints->crashingRequests());
}

// Guards against crashes that only one VM knows of, since the store was not
// available then: another VM, or one that has just started, would repeat them.
TEST(CrashingRequest, AllVMsKnowOfCrashesAfterAnOutageOfTheStore) {
  m_Store.setDown(true);
  for (int Count = 0; Count < MaxCrashes; ++Count) {
    LONGS_EQUAL(502,
                send("/once/a", CrashingEndpoints::CrashingBody, 0).m_Status);
    std::this_thread::sleep_for(100ms);
  }
  LONGS_EQUAL(MaxCrashes, m_Endpoints->crashes());
  m_Store.setDown(false);
  std::this_thread::sleep_for(1500ms);
  startGateway();
  int SendsBefore = m_Endpoints->crashingRequests();
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway) {
    HttpAnswer Refusal =
        send("/once/a", CrashingEndpoints::CrashingBody, Gateway);
    LONGS_EQUAL(503, Refusal.m_Status);
    CHECK(std::stod("0" + Refusal.header("Retry-After")) > 1);
    // Endpoints that left the list during the outage stay in use for a while.
    CHECK(eventually(
        [&] { return send("/once/a", "sound", Gateway).m_Status == 200; },
        StableTime));
  }
  LONGS_EQUAL(SendsBefore, m_Endpoints->crashingRequests());
}

// Guards against a sound request that is refused after all endpoints of its
// service have failed at once, while its caller repeated it.
TEST(CrashingRequest, RequestOfAServiceThatFailsStaysAllowed) {
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Callers;
  for (std::size_t Gateway = 0; Gateway < 3; ++Gateway)
    Callers.emplace_back([&, Gateway] {
      while (!IsStopping) {
        send("/repeat/a", "sound", Gateway);
        std::this_thread::sleep_for(5ms);
      }
    });
  for (int Round = 0; Round < 2; ++Round) {
    std::this_thread::sleep_for(200ms);
    for (std::size_t Index = 0; Index < 3; ++Index) {
      m_Endpoints->crash(Index);
      std::this_thread::sleep_for(50ms);
    }
    std::this_thread::sleep_for(CrashingEndpoints::RestartDelay + 200ms);
  }
  IsStopping = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  for (std::size_t Gateway = 0; Gateway < 3; ++Gateway)
    CHECK(eventually(
        [&] { return send("/repeat/a", "sound", Gateway).m_Status == 200; },
        1s));
}

// Guards against requests that are refused since the connections of endpoints
// that still run were cut.
TEST(CrashingRequest, ConnectionThatIsCutIsNoCrash) {
  m_Endpoints->setCutting(true);
  for (int Count = 0; Count < 8; ++Count) {
    send("/once/a", "sound", 0);
    std::this_thread::sleep_for(100ms);
  }
  CHECK(m_Endpoints->soundRequests() >= 4);
  m_Endpoints->setCutting(false);
  CHECK(eventually([&] { return send("/once/a", "sound", 0).m_Status == 200; },
                   2s));
  std::string Output = m_Gateways[0]->process().output();
  CHECK(Output.find("crashed") == std::string::npos);
}

PARSLEYRING_TEST_MAIN
