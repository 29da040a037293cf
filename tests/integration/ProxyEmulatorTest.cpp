#include "support/Eventually.h"
#include "support/HttpCalls.h"
#include "support/ProcessRunner.h"
#include "support/ScriptedServer.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

TEST_GROUP(ProxyEmulator) {
  ProcessRunner m_Service{
      "parsleyring-emulator",
      {"service", "--listen", "127.0.0.1:0", "--endpoint", "s"}};
  std::string m_Target = m_Service.waitForLine("listening");
  ProcessRunner m_Proxy{"parsleyring-emulator",
                        {"proxy", "--listen", "127.0.0.1:0", "--to", m_Target}};
  std::string m_Address = m_Proxy.waitForLine("listening");
  std::string m_Admin = m_Proxy.waitForLine("admin");

  HttpAnswer call(const std::string &Key,
                  std::chrono::milliseconds Timeout = EventuallyLimit) {
    HttpRequest Call{"POST", "/x"};
    Call.m_Headers["Idempotency-Key"] = Key;
    Call.m_Timeout = Timeout;
    return sendHttp(m_Address, Call);
  }

  void setFaults(const Json &Faults) {
    LONGS_EQUAL(
        200,
        sendHttp(m_Admin, {"POST", "/admin/faults", Faults.dump()}).m_Status);
  }

  void heal() {
    LONGS_EQUAL(200, sendHttp(m_Admin, {"POST", "/admin/heal", "{}"}).m_Status);
  }

  unsigned executions(const std::string &Key) {
    std::string Body = sendHttp(m_Target, {"GET", "/admin/counts"}).m_Body;
    return Json::parse(Body).at("keys").value(Key, 0U);
  }
};

// Guards against a lost answer whose call was not executed, or a lost call that
// was executed: tests of at-most-once execution depend on the difference.
TEST(ProxyEmulator, LossIsPerDirection) {
  setFaults({{"lose_to_server", true}});
  LONGS_EQUAL(0, call("up", std::chrono::milliseconds(500)).m_Status);
  heal();
  setFaults({{"lose_to_client", true}});
  LONGS_EQUAL(0, call("down", std::chrono::milliseconds(500)).m_Status);
  heal();
  setFaults({{"drop_answer_after", 0}});
  LONGS_EQUAL(0, call("dropped").m_Status);
  heal();
  CHECK(eventually([&] { return call("good").m_Status == 200; }));
  LONGS_EQUAL(0, executions("up"));
  CHECK(eventually([&] { return executions("down") == 1; }));
  LONGS_EQUAL(1, executions("dropped"));
}

// Guards against a reset that reaches the client as an orderly close: a client
// that takes a part of an answer for a complete one would not be tested.
TEST(ProxyEmulator, ResetIsForwarded) {
  ScriptedServer Server(
      "HTTP/1.1 200 OK\r\n\r\npart",
      {ScriptedServer::End::Reset, std::chrono::milliseconds(50), 0, 0});
  ProcessRunner Proxy{
      "parsleyring-emulator",
      {"proxy", "--listen", "127.0.0.1:0", "--to", Server.address()}};
  HttpAnswer Received = sendHttp(Proxy.waitForLine("listening"), {"GET", "/x"});
  LONGS_EQUAL(0, Received.m_Status);
  STRCMP_EQUAL("part", Received.m_Body.c_str());
}

// Guards against a cut link that only delays calls instead of refusing them.
TEST(ProxyEmulator, CutRefusesUntilHealed) {
  LONGS_EQUAL(200, call("a").m_Status);
  setFaults({{"cut", true}});
  CHECK(eventually([&] { return call("b").m_Status == 0; }));
  unsigned Before = executions("b");
  LONGS_EQUAL(0, call("b").m_Status);
  LONGS_EQUAL(Before, executions("b"));
  heal();
  CHECK(eventually([&] { return call("b").m_Status == 200; }));
}

// Guards against a delay that is not added in both directions.
TEST(ProxyEmulator, DelayIsAddedEachWay) {
  setFaults({{"delay_ms", 100}});
  auto Begin = std::chrono::steady_clock::now();
  LONGS_EQUAL(200, call("a").m_Status);
  CHECK(std::chrono::steady_clock::now() - Begin >=
        std::chrono::milliseconds(200));
}

// Guards against faults that affect clients other than the selected ones, or no
// client: tests that cut off one router would then be meaningless.
TEST(ProxyEmulator, FaultsApplyToSelectedProcessesOnly) {
  setFaults({{"lose_to_server", true}, {"processes", {m_Service.pid()}}});
  LONGS_EQUAL(200, call("other").m_Status);
  setFaults({{"lose_to_server", true}, {"processes", {getpid()}}});
  LONGS_EQUAL(0, call("own", std::chrono::milliseconds(500)).m_Status);
  LONGS_EQUAL(0, executions("own"));
}

PARSLEYRING_TEST_MAIN
