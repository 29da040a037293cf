#include "audit/Replayer.h"
#include "audit/TomlTraceCodec.h"
#include "support/CompletionBatch.h"
#include "support/Eventually.h"
#include "support/TestMain.h"
#include "support/TraceShortener.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static constexpr unsigned Tokens = 12;

/// Runs each kind of failure with tracing enabled, and replays the trace. If
/// PARSLEYRING_TRACE_FOLDER is set, writes the shortened traces to that folder;
/// the files in tests/traces are made this way.
TEST_GROUP(TraceRecording) {
  TestClusterOptions m_Options;
  std::unique_ptr<TestCluster> m_Cluster;

  void start() {
    m_Options.m_RouterSettings = "[limits]\ndrain_lead_ms = 0\n"
                                 "[audit]\ntrace = true\n";
    m_Cluster = std::make_unique<TestCluster>(m_Options);
  }

  void complete() { m_Cluster->complete("vm-0", "p", Tokens, true); }

  /// Runs Fault after the first tokens of a stream.
  void completeDuring(const std::function<void()> &Fault) {
    HttpRequest Call{
        "POST", "/v1/completions",
        R"({"model":"ledger","prompt":"p","max_tokens":12,"stream":true})"};
    bool HasFault = false;
    Call.m_OnChunk = [&](std::string_view) {
      if (!HasFault)
        Fault();
      return HasFault = true;
    };
    LONGS_EQUAL(200, m_Cluster->send("vm-0", Call).m_Status);
  }

  HttpAnswer payFee(const std::string &Key) {
    HttpRequest Call{"POST", "/services/registry/fees", "{}"};
    Call.m_Headers["Idempotency-Key"] = Key;
    return m_Cluster->send("vm-0", Call);
  }

  std::string running(const std::string &Stage) {
    std::string Found;
    CHECK(eventually([&] {
      for (const std::string Name : {"engine-a" + Stage, "engine-b" + Stage})
        if (Json::parse(
                sendHttp(m_Cluster->address(Name), {"GET", "/load"}).m_Body)
                .at("running") != 0)
          Found = Name;
      return !Found.empty();
    }));
    return Found;
  }

  /// Stops the router with SIGTERM, so that its trace is complete, and replays
  /// the trace.
  void checkTrace(const std::string &Name) {
    ProcessRunner &Router = m_Cluster->process("vm-0");
    Router.terminate();
    LONGS_EQUAL(0, Router.waitForExit().value_or(-1));
    std::istringstream Whole(Router.output());
    TraceCodec Codec = tomlTraceCodec();
    ReplayReport Report = Replayer(Codec).run(Whole);
    for (const ReplayDifference &Each : Report.m_Differences)
      FAIL((std::to_string(Each.m_Line) + ": " + Each.m_Message).c_str());
    LONGS_EQUAL(0, Report.m_DifferenceCount);
    CHECK(Report.m_Decisions > 0);
    if (const char *Folder = std::getenv("PARSLEYRING_TRACE_FOLDER"))
      std::ofstream(std::string(Folder) + "/" + Name + ".jsonl")
          << shortenedTrace(Router.output());
  }
};

// Each test guards against decisions about a failure that a replay of the trace
// does not reproduce.

TEST(TraceRecording, StageKilled) {
  start();
  completeDuring([&] { m_Cluster->process(running("1")).kill(); });
  complete();
  checkTrace("stage-killed");
}

TEST(TraceRecording, StageFrozen) {
  start();
  completeDuring([&] { m_Cluster->postAdmin(running("1"), "/admin/freeze"); });
  complete();
  checkTrace("stage-frozen");
}

TEST(TraceRecording, WrongHops) {
  m_Options.m_EmulatorFlags["engine-a1"] = {"--wrong-hops", "skip",
                                            "--wrong-from", "5"};
  m_Options.m_EmulatorFlags["engine-b1"] =
      m_Options.m_EmulatorFlags["engine-a1"];
  m_Options.m_EmulatorFlags["engine-b1"].back() = "9";
  m_Options.m_AdjustDocument = [](Document &Changed) {
    Changed.m_Pools[0].m_RequestTimeoutMillis = 1000;
  };
  start();
  complete();
  checkTrace("wrong-hops");
}

TEST(TraceRecording, ServiceKilled) {
  m_Options.m_ServiceDelayMillis = 500;
  start();
  std::thread Killer([&] {
    eventually([&] { return m_Cluster->serviceTotal("executions") > 0; });
    for (const std::string &Name : TestCluster::serviceNames())
      if (m_Cluster->counts(Name).at("executions") != 0)
        m_Cluster->process(Name).kill();
  });
  HttpAnswer Lost = payFee("fee-1");
  Killer.join();
  LONGS_EQUAL(504, Lost.m_Status);
  payFee("fee-1");
  payFee("fee-2");
  checkTrace("service-killed");
}

TEST(TraceRecording, PlatformOut) {
  start();
  m_Cluster->process("platform").pause();
  LONGS_EQUAL(503, payFee("fee-1").m_Status);
  m_Cluster->process("platform").resume();
  CHECK(eventually([&] { return payFee("fee-2").m_Status == 200; }));
  checkTrace("platform-out");
}

TEST(TraceRecording, EndpointLeaving) {
  start();
  completeDuring([&] { m_Cluster->postAdmin(running("0"), "/admin/drain"); });
  complete();
  complete();
  checkTrace("endpoint-leaving");
}

TEST(TraceRecording, Drain) {
  m_Options.m_TokenMicros = 10000;
  start();
  completeDuring([&] {
    m_Cluster->process("vm-0").terminate();
    CHECK(eventually(
        [&] { return m_Cluster->complete("vm-0", "p", 1).m_Status == 503; }));
  });
  checkTrace("drain");
}

TEST(TraceRecording, ConfigurationChange) {
  start();
  completeDuring([&] {
    Document Next = m_Cluster->document();
    std::vector<EndpointSpec> &Engines = Next.m_Pools[0].m_Endpoints;
    Engines.erase(Engines.begin());
    Next.m_Policy.m_RouteStrategy = "round-robin";
    m_Cluster->publish(Next);
  });
  CHECK(eventually(
      [&] { return m_Cluster->metric("vm-0", "configuration_version") == 2; }));
  complete();
  complete();
  checkTrace("configuration-change");
}

TEST(TraceRecording, Partition) {
  start();
  completeDuring([&] {
    for (const char *Name : {"vm-1", "engine-b0", "engine-b1", "engine-b2"})
      m_Cluster->process(Name).pause();
  });
  CHECK(eventually([&] {
    return m_Cluster->process("vm-0").output().find(
               R"("unreachable_domains":["fd-b"])") != std::string::npos;
  }));
  complete();
  for (const char *Name : {"vm-1", "engine-b0", "engine-b1", "engine-b2"})
    m_Cluster->process(Name).resume();
  CHECK(eventually(
      [&] { return m_Cluster->metric("vm-0", "peers_alive") == 1; }));
  complete();
  checkTrace("partition");
}

PARSLEYRING_TEST_MAIN
