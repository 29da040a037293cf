#include "support/Eventually.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

/// Of the entry of a fake endpoint.
static constexpr int Slots = 8;

TEST_GROUP(FullSlots) {
  FakeMetadataStore m_Store;
  std::unique_ptr<GatewayProcess> m_Gateway;
  std::unique_ptr<FakeEndpoint> m_Engine;
  std::atomic<int> m_Running{0};
  std::atomic<int> m_Completed{0};
  std::atomic<bool> m_IsEnding{true};
  std::atomic<int> m_Requests{0};
  std::vector<std::thread> m_Callers;

  void setup() override {
    m_Store.put("op/config", gatewayConfiguration(1));
    m_Engine = std::make_unique<FakeEndpoint>([this](const ReceivedCall &Call) {
      FakeEndpointAnswer Answer;
      if (Call.header("Attempt-Id").empty()) {
        Answer.m_Body = "{\"pace\":1.0,\"stalled\":[]}";
        return Answer;
      }
      ++m_Running;
      Answer.m_Chunks = {"id: 1\ndata: first\n\n", "id: 2\ndata: last\n\n"};
      Answer.m_BeforeChunk = [this](std::size_t Index) {
        while (Index == 1 && !m_IsEnding)
          std::this_thread::sleep_for(10ms);
      };
      return Answer;
    });
    m_Store.put("servers/engine", serverEntry("model", m_Engine->address()));
    m_Gateway = std::make_unique<GatewayProcess>("vm-0", m_Store.address());
    CHECK(m_Gateway->waitUntilReady());
    // The gateway may know its configuration before it knows the engine.
    CHECK(eventually([this] { return send().m_Status == 200; }));
    m_IsEnding = false;
    m_Running = 0;
  }
  void teardown() override {
    m_IsEnding = true;
    for (std::thread &Caller : m_Callers)
      Caller.join();
    m_Gateway.reset();
  }
  HttpAnswer send() {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = "/stream/x";
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Token-Count", "100,20"},
                         {"Deadline-Ms", "15000"}};
    return sendHttp(m_Gateway->callerAddress(), Request);
  }
};

// Pattern: all slots of the only first engine are taken. Guards against a
// request that is sent there and begins late, or is refused although a slot has
// become free. admission/ServiceRoomTest covers that it is refused at once.
TEST(FullSlots, RequestIsRefusedAndSentOnceASlotIsFree) {
  for (int Caller = 0; Caller < Slots; ++Caller)
    m_Callers.emplace_back([this] { m_Completed += send().m_Status == 200; });
  for (int Check = 0; Check < 500 && m_Running < Slots; ++Check)
    std::this_thread::sleep_for(10ms);
  LONGS_EQUAL(Slots, m_Running);
  HttpAnswer Refusal = send();
  LONGS_EQUAL(503, Refusal.m_Status);
  CHECK(!Refusal.header("Retry-After").empty());
  STRCMP_CONTAINS("{outcome=\"refused\",reason=\"engine-slots\"} 1",
                  sendHttp(m_Gateway->metricsAddress(), {"GET", "/metrics"})
                      .m_Body.c_str());
  LONGS_EQUAL(Slots, m_Running);
  m_IsEnding = true;
  for (std::thread &Caller : m_Callers)
    Caller.join();
  m_Callers.clear();
  LONGS_EQUAL(Slots, m_Completed);
  LONGS_EQUAL(200, send().m_Status);
}

PARSLEYRING_TEST_MAIN
