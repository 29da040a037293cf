#include "support/Eventually.h"
#include "support/HttpCalls.h"
#include "support/ProcessRunner.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

TEST_GROUP(PlatformEmulator) {
  ProcessRunner m_Process{
      "parsleyring-emulator",
      {"platform", "--listen", "127.0.0.1:0", "--writes-per-second", "20"}};
  std::string m_Address = m_Process.waitForLine("listening");

  HttpAnswer put(const std::string &Path, const std::string &Body) {
    return sendHttp(m_Address, {"PUT", Path, Body});
  }

  HttpAnswer get(const std::string &Path,
                 std::chrono::milliseconds Timeout = EventuallyLimit) {
    HttpRequest Call{"GET", Path};
    Call.m_Timeout = Timeout;
    return sendHttp(m_Address, Call);
  }

  std::string index(const std::string &Key) {
    return get("/v1/kv/" + Key).header("X-Consul-Index");
  }

  void setMode(const Json &Mode) {
    LONGS_EQUAL(
        200,
        sendHttp(m_Address, {"POST", "/admin/mode", Mode.dump()}).m_Status);
  }

  std::uint64_t count(const std::string &Kind) {
    return Json::parse(get("/admin/counts").m_Body).value(Kind, 0U);
  }
};

// Guards against two compare-and-swap writes of one key that both succeed.
TEST(PlatformEmulator, CompareAndSwapChecksTheIndex) {
  STRCMP_EQUAL("true", put("/v1/kv/a?cas=0", "first").m_Body.c_str());
  STRCMP_EQUAL("false", put("/v1/kv/a?cas=0", "second").m_Body.c_str());
  std::string Index = index("a");
  STRCMP_EQUAL("true", put("/v1/kv/a?cas=" + Index, "third").m_Body.c_str());
  HttpRequest Removal{"DELETE", "/v1/kv/a?cas=" + Index};
  STRCMP_EQUAL("false", sendHttp(m_Address, Removal).m_Body.c_str());
  Json Entry = Json::parse(get("/v1/kv/a").m_Body).at(0);
  STRCMP_EQUAL("dGhpcmQ=", Entry.at("Value").get<std::string>().c_str());
}

// Guards against watches that miss a change or a deletion.
TEST(PlatformEmulator, WatchEndsWithAChangeOfTheKey) {
  put("/v1/kv/a", "1");
  for (const HttpRequest &Change : {HttpRequest{"PUT", "/v1/kv/a", "2"},
                                    HttpRequest{"DELETE", "/v1/kv/a"}}) {
    std::string Before = index("a");
    std::uint64_t Watches = count("watches");
    HttpAnswer Seen;
    std::thread Watch([&] { Seen = get("/v1/kv/a?wait=60s&index=" + Before); });
    bool IsWaiting = eventually([&] { return count("watches") > Watches; });
    put("/v1/kv/other", "x");
    sendHttp(m_Address, Change);
    Watch.join();
    CHECK(IsWaiting);
    CHECK(Seen.m_Status == (Change.m_Method == "PUT" ? 200 : 404));
    CHECK(Seen.header("X-Consul-Index") != Before);
  }
}

// Guards against losing the write together with its answer, which would hide
// errors of writers that do not read back.
TEST(PlatformEmulator, LostAnswerOfAWriteThatTookEffect) {
  setMode({{"lost_answers", 1}});
  LONGS_EQUAL(0, put("/v1/kv/a?cas=0", "x").m_Status);
  LONGS_EQUAL(200, get("/v1/kv/a").m_Status);
  STRCMP_EQUAL("false", put("/v1/kv/a?cas=0", "x").m_Body.c_str());
  STRCMP_EQUAL("true", put("/v1/kv/b?cas=0", "x").m_Body.c_str());
}

// Guards against an outage during which existing watches are still served.
TEST(PlatformEmulator, OutageClosesCallsAndWatches) {
  put("/v1/kv/a", "1");
  std::string Before = index("a");
  HttpAnswer Seen;
  Seen.m_Status = 200;
  std::thread Watch([&] { Seen = get("/v1/kv/a?wait=60s&index=" + Before); });
  bool IsWaiting = eventually([&] { return count("watches") == 1; });
  setMode({{"outage", true}});
  Watch.join();
  CHECK(IsWaiting);
  LONGS_EQUAL(0, Seen.m_Status);
  LONGS_EQUAL(0, get("/v1/kv/a").m_Status);
  setMode({{"outage", false}});
  LONGS_EQUAL(200, get("/v1/kv/a").m_Status);
}

// Guards against a frozen watch that answers after the next change: tests would
// then accept followers without a read timeout.
TEST(PlatformEmulator, FrozenWatchStaysSilent) {
  put("/v1/kv/a", "1");
  std::string Before = index("a");
  HttpAnswer Seen;
  Seen.m_Status = 200;
  std::thread Watch([&] {
    Seen = get("/v1/kv/a?wait=60s&index=" + Before,
               std::chrono::milliseconds(2000));
  });
  bool IsWaiting = eventually([&] { return count("watches") == 1; });
  setMode({{"frozen_watch", true}});
  put("/v1/kv/a", "2");
  LONGS_EQUAL(200, get("/v1/kv/a").m_Status);
  Watch.join();
  CHECK(IsWaiting);
  LONGS_EQUAL(0, Seen.m_Status);
}

// Guards against accepting calls beyond the platform's rate and size limits.
TEST(PlatformEmulator, RateAndSizeAreLimited) {
  LONGS_EQUAL(413, put("/v1/kv/a", std::string(1000001, 'x')).m_Status);
  CHECK(eventually([&] { return put("/v1/kv/a", "x").m_Status == 429; }));
  CHECK(eventually([&] { return put("/v1/kv/a", "x").m_Status == 200; }));
}

// Guards against sessions that never expire and keep their keys locked.
TEST(PlatformEmulator, SessionEndsAndReleasesItsKeys) {
  Json Created =
      Json::parse(put("/v1/session/create", R"({"TTL": "1s"})").m_Body);
  std::string Session = Created.at("ID");
  std::string Other =
      Json::parse(put("/v1/session/create", "{}").m_Body).at("ID");
  STRCMP_EQUAL("true", put("/v1/kv/l?acquire=" + Session, "x").m_Body.c_str());
  STRCMP_EQUAL("false", put("/v1/kv/l?acquire=" + Other, "y").m_Body.c_str());
  CHECK(eventually([&] {
    return get("/v1/kv/l").m_Body.find(Session) == std::string::npos;
  }));
  STRCMP_EQUAL("true", put("/v1/kv/l?acquire=" + Other, "y").m_Body.c_str());
  LONGS_EQUAL(404, put("/v1/session/renew/" + Session, "").m_Status);
}

PARSLEYRING_TEST_MAIN
