#include "support/Eventually.h"
#include "support/FaultProxy.h"
#include "support/FreePort.h"
#include "support/GatewayTestServers.h"
#include "support/SeedRange.h"
#include "support/TestMain.h"

#include "core/SocketAddress.h"

#include <chrono>
#include <memory>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// The time within which a change must apply in the settings of GatewayProcess.
static constexpr std::chrono::milliseconds MaxApplyDelay = 2000ms;

namespace {

/// A way in which the store fails for all VMs.
struct OutageKind {
  const char *m_Name;
  const char *m_Faults; ///< Of the proxy before the store; null: 503 instead.
};

const OutageKind OutageKinds[] = {
    {"silent", R"({"lose_to_server": true, "lose_to_client": true})"},
    {"answers lost", R"({"lose_to_client": true})"},
    {"reset", R"({"cut": true})"},
    {"busy", nullptr},
};

std::uint64_t versionInForce(GatewayProcess &Gateway) {
  static const std::string Label = "\"event\":\"configuration\",\"version\":";
  std::string Output = Gateway.process().output();
  std::size_t At = Output.rfind(Label);
  return At == std::string::npos
             ? 0
             : std::strtoull(Output.c_str() + At + Label.size(), nullptr, 10);
}

} // namespace

TEST_GROUP(StoreOutage) {
  FakeMetadataStore m_Store;
  FaultProxy m_Proxy{m_Store.address()};
  FreePort m_DigestPort;
  std::vector<std::unique_ptr<GatewayProcess>> m_Gateways;
  std::minstd_rand m_Random;
  int m_Version = 1;

  void setup() override { m_Store.put("op/config", gatewayConfiguration(1)); }
  void teardown() override { m_Gateways.clear(); }
  void startGateway() {
    std::string Number = std::to_string(m_Gateways.size() + 1);
    GatewayOptions Options{"vm-" + Number, m_Proxy.address(), {}};
    for (const auto &Gateway : m_Gateways)
      Options.m_Seeds.push_back(Gateway->peerAddress());
    Options.m_Host = "127.0.0.1" + Number;
    Options.m_DigestPort = parseSocketAddress(m_DigestPort.address())->m_Port;
    m_Gateways.push_back(std::make_unique<GatewayProcess>(Options));
  }
  std::chrono::milliseconds randomTime(int First, int Last) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(First, Last)(m_Random));
  }
  void setOutage(const OutageKind &Kind, bool IsActive) {
    if (!Kind.m_Faults)
      m_Store.setDown(IsActive);
    else if (IsActive)
      m_Proxy.setFaults(Kind.m_Faults);
    else
      m_Proxy.heal();
  }
  /// Changes the configuration again and again while the store fails once;
  /// returns when the later of the last change and the end of the outage was.
  Clock::time_point changeDuringOutage(const OutageKind &Kind) {
    Clock::time_point Start = Clock::now();
    auto OutageStart = Start + randomTime(100, 1500);
    auto OutageEnd = OutageStart + randomTime(100, 3500);
    auto LastChange = OutageStart + randomTime(0, 4000);
    auto NewVMStart = OutageStart + randomTime(0, 1000);
    auto Gap = randomTime(20, 300);
    bool IsActive = false;
    bool IsNewVMStarted = false;
    while (Clock::now() < std::max(OutageEnd, LastChange)) {
      if (Clock::now() < LastChange)
        m_Store.put("op/config", gatewayConfiguration(++m_Version));
      if (!IsNewVMStarted && Clock::now() >= NewVMStart) {
        IsNewVMStarted = true;
        startGateway();
      }
      bool MustBeActive =
          Clock::now() >= OutageStart && Clock::now() < OutageEnd;
      if (MustBeActive != IsActive)
        setOutage(Kind, IsActive = MustBeActive);
      std::this_thread::sleep_for(Gap);
    }
    if (IsActive)
      setOutage(Kind, false);
    return Clock::now();
  }
  bool haveAllLastVersion() {
    for (const auto &Gateway : m_Gateways)
      if (versionInForce(*Gateway) != std::uint64_t(m_Version))
        return false;
    return true;
  }
};

// Guards against VMs that serve an old configuration for seconds after an
// outage of the store, since their polls hang, since they wait too long before
// the next one, or since no other VM tells them that there are newer items.
TEST(StoreOutage, AllVMsHaveTheLastVersionSoonAfterAnOutage) {
  for (unsigned Seed : SeedRange(4)) {
    m_Random.seed(Seed);
    const OutageKind &Kind = OutageKinds[Seed % std::size(OutageKinds)];
    m_Gateways.clear();
    for (int Count = 0; Count < 3; ++Count)
      startGateway();
    for (const auto &Gateway : m_Gateways)
      CHECK(Gateway->waitUntilReady());
    CHECK(eventually([this] { return haveAllLastVersion(); }));
    Clock::time_point End = changeDuringOutage(Kind);
    bool IsInTime = false;
    while (!IsInTime && Clock::now() < End + MaxApplyDelay) {
      IsInTime = haveAllLastVersion();
      std::this_thread::sleep_for(10ms);
    }
    std::string Message = "seed " + std::to_string(Seed) + ", " + Kind.m_Name +
                          ", last version " + std::to_string(m_Version) +
                          ", in force";
    for (const auto &Gateway : m_Gateways)
      Message += " " + std::to_string(versionInForce(*Gateway));
    CHECK_TEXT(IsInTime, Message.c_str());
  }
}

PARSLEYRING_TEST_MAIN
