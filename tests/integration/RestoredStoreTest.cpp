#include "support/Eventually.h"
#include "support/FaultProxy.h"
#include "support/FreePort.h"
#include "support/GatewayTestServers.h"
#include "support/HttpCalls.h"
#include "support/TestMain.h"

#include "core/SocketAddress.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// The time within which a change must apply in the settings of GatewayProcess.
static constexpr std::chrono::milliseconds MaxApplyDelay = 2000ms;
static constexpr std::size_t VMCount = 3;

/// The versions that a gateway has had in force, oldest first.
static std::vector<std::uint64_t> versions(GatewayProcess &Gateway) {
  static const std::string Label = "\"event\":\"configuration\",\"version\":";
  std::string Output = Gateway.process().output();
  std::vector<std::uint64_t> Result;
  for (std::size_t At = Output.find(Label); At != std::string::npos;
       At = Output.find(Label, At + 1))
    Result.push_back(
        std::strtoull(Output.c_str() + At + Label.size(), nullptr, 10));
  return Result;
}

TEST_GROUP(RestoredStore) {
  FakeMetadataStore m_Store;
  FaultProxy m_Proxy{m_Store.address()};
  FreePort m_DigestPort{"127.0.0.1"};
  std::vector<std::unique_ptr<GatewayProcess>> m_Gateways;
  int m_Requests = 0;

  void setup() override { m_Store.put("op/config", gatewayConfiguration(1)); }
  void teardown() override { m_Gateways.clear(); }
  /// The last VM reaches the store through m_Proxy.
  void startGateways() {
    for (std::size_t Number = 1; Number <= VMCount; ++Number)
      startGateway(Number == VMCount ? m_Proxy.address() : m_Store.address());
    for (const auto &Gateway : m_Gateways)
      CHECK(Gateway->waitUntilReady());
    for (std::size_t Number = 1; Number <= VMCount; ++Number)
      CHECK(eventually([&] {
        return m_Store.has("parsleyring/vms/vm-" + std::to_string(Number));
      }));
    std::this_thread::sleep_for(500ms);
  }
  GatewayProcess &startGateway(const std::string &StoreAddress) {
    GatewayOptions Options;
    std::string Number = std::to_string(m_Gateways.size() + 1);
    Options.m_Name = "vm-" + Number;
    Options.m_Host = "127.0.0." + Number;
    Options.m_DigestPort = parseSocketAddress(m_DigestPort.address())->m_Port;
    Options.m_StoreAddress = StoreAddress;
    m_Gateways.push_back(std::make_unique<GatewayProcess>(Options));
    return *m_Gateways.back();
  }
  void writeVersion(int Version, bool HasRepeatRoute = true) {
    m_Store.put("op/config", gatewayConfiguration(Version, HasRepeatRoute));
  }
  void writeEmptyAccountList(int Version) {
    auto Root = nlohmann::json::parse(gatewayConfiguration(Version));
    Root["tenants"] = nlohmann::json::array();
    m_Store.put("op/config", Root.dump());
  }
  void restore(std::chrono::milliseconds Outage) {
    m_Store.setDown(true);
    std::this_thread::sleep_for(Outage);
    m_Store.restoreCopy();
    m_Store.setDown(false);
  }
  bool isInForce(int Version) {
    for (const auto &Gateway : m_Gateways) {
      std::vector<std::uint64_t> All = versions(*Gateway);
      if (All.empty() || All.back() != std::uint64_t(Version))
        return false;
    }
    return true;
  }
  void checkInForceInTime(int Version) {
    Clock::time_point WrittenAt = Clock::now();
    while (!isInForce(Version) && Clock::now() < WrittenAt + MaxApplyDelay)
      std::this_thread::sleep_for(10ms);
    std::string Message = "in force";
    for (const auto &Gateway : m_Gateways) {
      std::vector<std::uint64_t> All = versions(*Gateway);
      Message += " " + std::to_string(All.empty() ? 0 : All.back());
      for (std::size_t Index = 1; Index < All.size(); ++Index)
        CHECK_TEXT(All[Index] >= All[Index - 1], "an older version came back");
    }
    Message += ", written " + std::to_string(Version);
    CHECK_TEXT(isInForce(Version), Message.c_str());
  }
  int send(std::size_t Gateway, const std::string &Path = "/once/a") {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = "the body";
    Request.m_Headers = {{"Host", "host"},
                         {"Attempt-Id", "id-" + std::to_string(++m_Requests)},
                         {"Authorization", "Bearer key-1"},
                         {"Deadline-Ms", "2500"}};
    return sendHttp(m_Gateways[Gateway]->callerAddress(), Request).m_Status;
  }
  /// Requests that the endpoint gets while every VM sends some for a second.
  std::size_t requestsInASecond(const FakeEndpoint &Endpoint) {
    std::size_t Before = Endpoint.calls().size();
    Clock::time_point Until = Clock::now() + 1s;
    while (Clock::now() < Until)
      for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
        LONGS_EQUAL(200, send(Gateway));
    return Endpoint.calls().size() - Before;
  }
};

// Guards against changes that are taken for old ones since the store gives the
// revisions out again that the VMs know.
TEST(RestoredStore, LaterChangesApply) {
  startGateways();
  m_Store.keepCopy();
  writeVersion(2);
  writeVersion(3);
  checkInForceInTime(3);
  restore(500ms);
  std::this_thread::sleep_for(300ms);
  writeVersion(3);
  std::this_thread::sleep_for(1s);
  writeVersion(4);
  checkInForceInTime(4);
  writeVersion(5);
  checkInForceInTime(5);
}

// Guards against the same when the store is restored once more at once, or
// while it is still away for some VM.
TEST(RestoredStore, ChangesApplyAfterTwoRestorations) {
  startGateways();
  m_Store.keepCopy();
  for (int Version = 2; Version < 6; ++Version)
    writeVersion(Version);
  checkInForceInTime(5);
  restore(300ms);
  std::this_thread::sleep_for(100ms);
  writeVersion(5);
  m_Proxy.setFaults(R"({"lose_to_server": true, "lose_to_client": true})");
  restore(300ms);
  writeVersion(6);
  std::this_thread::sleep_for(300ms);
  m_Proxy.heal();
  writeVersion(7);
  checkInForceInTime(7);
}

// Guards against a VM that is cut off from the store and takes the newer items
// of other VMs for old ones, since their revisions are lower.
TEST(RestoredStore, VMCutOffFromTheStoreTakesTheItemsOfOthers) {
  startGateways();
  m_Store.keepCopy();
  for (int Version = 2; Version < 8; ++Version)
    writeVersion(Version);
  checkInForceInTime(7);
  m_Proxy.setFaults(R"({"lose_to_server": true, "lose_to_client": true})");
  restore(300ms);
  std::this_thread::sleep_for(1s);
  writeVersion(8);
  checkInForceInTime(8);
}

// Guards against a VM that starts after the restoration, and takes an older
// configuration, with a route that has been removed, than the others have.
TEST(RestoredStore, VMThatStartsTakesTheConfigurationInForce) {
  startGateways();
  m_Store.keepCopy();
  writeVersion(2, false);
  checkInForceInTime(2);
  restore(300ms);
  std::this_thread::sleep_for(1s);
  CHECK(startGateway(m_Store.address()).waitUntilReady());
  LONGS_EQUAL(404, send(VMCount, "/repeat/a"));
  checkInForceInTime(2);
  writeVersion(3);
  checkInForceInTime(3);
  LONGS_EQUAL(2, versions(*m_Gateways.back()).front());
}

// Guards against a withdrawal of all accounts that is taken back, or that opens
// all routes, on a VM that has it from another one: the store is out of reach
// for one VM, and has an older copy when another VM starts.
TEST(RestoredStore, EmptyAccountListStaysInForce) {
  FakeEndpoint Endpoint(
      [](const ReceivedCall &) { return FakeEndpointAnswer(); });
  m_Store.put("servers/e1", serverEntry("plain", Endpoint.address()));
  startGateways();
  for (std::size_t Gateway = 0; Gateway < VMCount; ++Gateway)
    LONGS_EQUAL(200, send(Gateway));
  m_Store.keepCopy();
  m_Proxy.setFaults(R"({"lose_to_server": true, "lose_to_client": true})");
  writeEmptyAccountList(2);
  checkInForceInTime(2);
  restore(300ms);
  std::this_thread::sleep_for(1s);
  CHECK(startGateway(m_Store.address()).waitUntilReady());
  std::size_t CallsBefore = Endpoint.calls().size();
  for (std::size_t Gateway = 0; Gateway < m_Gateways.size(); ++Gateway)
    LONGS_EQUAL(401, send(Gateway));
  LONGS_EQUAL(CallsBefore, Endpoint.calls().size());
}

// Guards against a VM that was suspended while a change applied, and does not
// hear of it any more since the copy is older.
TEST(RestoredStore, VMThatMissedAChangeTakesItFromOthers) {
  startGateways();
  GatewayProcess &Suspended = *m_Gateways.back();
  m_Store.keepCopy();
  Suspended.process().pause();
  m_Proxy.setFaults(R"({"lose_to_server": true, "lose_to_client": true})");
  writeVersion(2, false);
  std::this_thread::sleep_for(MaxApplyDelay);
  restore(300ms);
  std::this_thread::sleep_for(500ms);
  m_Proxy.heal();
  Suspended.process().resume();
  checkInForceInTime(2);
  LONGS_EQUAL(404, send(VMCount - 1, "/repeat/a"));
}

// Guards against endpoints that are used again since the copy does not tell
// that they have left, or are leaving.
TEST(RestoredStore, EndpointsThatLeftAreNotUsedAgain) {
  auto Respond = [](const ReceivedCall &) { return FakeEndpointAnswer(); };
  FakeEndpoint Gone(Respond);
  FakeEndpoint Leaving(Respond);
  FakeEndpoint Staying(Respond);
  m_Store.put("servers/gone", serverEntry("plain", Gone.address()));
  m_Store.put("servers/leaving", serverEntry("plain", Leaving.address()));
  m_Store.put("servers/staying", serverEntry("plain", Staying.address()));
  startGateways();
  m_Store.keepCopy();
  m_Store.remove("servers/gone");
  m_Store.put("servers/leaving",
              serverEntry("plain", Leaving.address(), "draining"));
  std::this_thread::sleep_for(1s);
  LONGS_EQUAL(0, requestsInASecond(Gone) + requestsInASecond(Leaving));
  restore(300ms);
  LONGS_EQUAL(0, requestsInASecond(Gone));
  LONGS_EQUAL(0, requestsInASecond(Leaving));
  // An endpoint that has started again under its id is a new one.
  std::string Entry = serverEntry("plain", Gone.address());
  m_Store.put("servers/gone", Entry.replace(Entry.find("1000"), 4, "2000"));
  std::this_thread::sleep_for(1s);
  CHECK(requestsInASecond(Gone) > 0);
}

// Guards against a VM that starts after the restoration and uses endpoints that
// had left, or were leaving, before it.
TEST(RestoredStore, VMThatStartsDoesNotUseEndpointsThatLeft) {
  auto Respond = [](const ReceivedCall &) { return FakeEndpointAnswer(); };
  FakeEndpoint Gone(Respond);
  FakeEndpoint Leaving(Respond);
  FakeEndpoint Staying(Respond);
  m_Store.put("servers/gone", serverEntry("plain", Gone.address()));
  m_Store.put("servers/leaving", serverEntry("plain", Leaving.address()));
  m_Store.put("servers/staying", serverEntry("plain", Staying.address()));
  startGateways();
  m_Store.keepCopy();
  m_Store.remove("servers/gone");
  m_Store.put("servers/leaving",
              serverEntry("plain", Leaving.address(), "draining"));
  std::this_thread::sleep_for(1s);
  restore(300ms);
  CHECK(startGateway(m_Store.address()).waitUntilReady());
  LONGS_EQUAL(0, requestsInASecond(Gone));
  LONGS_EQUAL(0, requestsInASecond(Leaving));
  CHECK(requestsInASecond(Staying) > 0);
}

// Guards against VMs that stay unlisted since the copy has their lease, but not
// their entry; and against VMs that call the store again and again meanwhile.
TEST(RestoredStore, VMsListThemselvesAgain) {
  m_Store.keepCopy();
  startGateways();
  restore(500ms);
  std::size_t CallsBefore = m_Store.calls();
  std::this_thread::sleep_for(3s);
  for (std::size_t Number = 1; Number <= VMCount; ++Number)
    CHECK(m_Store.has("parsleyring/vms/vm-" + std::to_string(Number)));
  CHECK(m_Store.has("parsleyring/placement-duty"));
  std::string Message =
      std::to_string(m_Store.calls() - CallsBefore) + " calls in three seconds";
  CHECK_TEXT(m_Store.calls() - CallsBefore < VMCount * 30, Message.c_str());
}

PARSLEYRING_TEST_MAIN
