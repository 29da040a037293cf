#include "support/Eventually.h"
#include "support/TestCluster.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

TEST_GROUP(RequestState) {
  std::unique_ptr<TestCluster> m_Cluster;

  HttpAnswer state(const std::string &Router, const std::string &Id,
                   const std::string &Key) {
    HttpRequest Call{"GET", "/v1/requests/" + Id + "?from=2"};
    Call.m_Headers["Authorization"] = "Bearer " + Key;
    return sendHttp(m_Cluster->address(Router), Call);
  }

  Json body(const std::string &Router, const std::string &Id) {
    return Json::parse(state(Router, Id, "key-large").m_Body, nullptr, false);
  }
};

// Guards against an answer that cannot be fetched after the caller's connection
// was lost although its VM still keeps the answer, and against accounts that
// read each other's answers.
TEST(RequestState, AnyVMGivesTheAnswerToItsAccountOnly) {
  TestClusterOptions Options;
  Options.m_Routers = 2;
  m_Cluster = std::make_unique<TestCluster>(Options);
  HttpAnswer Answer = m_Cluster->complete("vm-0", "a prompt", 6);
  LONGS_EQUAL(200, Answer.m_Status);
  std::string Id = Answer.header("X-Request-Id");
  std::string Text = Json::parse(Answer.m_Body).at("choices").at(0).at("text");
  for (const char *Router : {"vm-0", "vm-1"}) {
    // A router that has just started may not know the other router's address.
    CHECK(eventually(
        [&] { return state(Router, Id, "key-large").m_Status == 200; }));
    Json Found = body(Router, Id);
    STRCMP_EQUAL("completed", Found.value("outcome", "").c_str());
    LONGS_EQUAL(6, Found.value("tokens", 0));
    // Tokens of the emulator are five bytes long.
    STRCMP_EQUAL(Text.substr(10).c_str(), Found.value("text", "").c_str());
    LONGS_EQUAL(404, state(Router, Id, "key-slow").m_Status);
    LONGS_EQUAL(404, state(Router, Id, "no key").m_Status);
  }
}

PARSLEYRING_TEST_MAIN
