#include "emulator/TokenText.h"
#include "support/CompletionBatch.h"
#include "support/Eventually.h"
#include "support/TestMain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

using Json = nlohmann::json;

static constexpr unsigned Tokens = 30;
static constexpr unsigned Callers = 6;
static constexpr unsigned WrongFrom = 7;
static constexpr std::uint32_t Layers = 24;
static constexpr std::uint32_t AmpleMillis = 100000;

namespace {

/// One computation of an engine's layers for one token, with its begin and
/// end times.
struct EngineRun {
  std::string m_Endpoint;
  std::int64_t m_Begin = 0;
  std::int64_t m_End = 0;
};

/// Request, epoch and position.
using TokenKey = std::tuple<std::string, unsigned, unsigned>;

} // namespace

TEST_GROUP(LayerOrder) {
  std::unique_ptr<TestCluster> m_Cluster;
  std::map<TokenKey, std::vector<EngineRun>> m_Runs;

  void start(const std::string &Engine, const std::string &Kind) {
    TestClusterOptions Options;
    Options.m_EmulatorFlags[Engine] = {"--wrong-hops", Kind, "--wrong-from",
                                       std::to_string(WrongFrom)};
    Options.m_Slots = 16;
    Options.m_AdjustDocument = [](Document &Changed) {
      Changed.m_Pools[0].m_RequestTimeoutMillis = AmpleMillis;
    };
    m_Cluster = std::make_unique<TestCluster>(Options);
  }

  void readRuns() {
    m_Runs.clear();
    for (const std::string &Name : TestCluster::engineNames()) {
      Json Counts = m_Cluster->counts(Name);
      for (const auto &[Request, Entry] : Counts.at("requests").items())
        for (const auto &[Position, Runs] : Entry.at("runs").items())
          for (const Json &Run : Runs)
            m_Runs[{Request, Run.at(0), std::stoul(Position)}].push_back(
                {Name, Run.at(1), Run.at(2)});
    }
  }

  std::vector<Json> auditRecords(const std::string &Router) {
    std::vector<Json> Records;
    std::istringstream Lines(m_Cluster->process(Router).output());
    for (std::string Line; std::getline(Lines, Line);)
      if (Json Record = Json::parse(Line, nullptr, false); Record.is_object())
        Records.push_back(Record);
    return Records;
  }

  /// Checks that each delivered token passed each stage of its route once and
  /// in order, in the attempt that delivered the token.
  void checkDelivered(const std::string &Request,
                      const std::vector<Json> &Routes) {
    CHECK(!Routes.empty());
    for (unsigned Position = 0; Position < Tokens; ++Position) {
      // An attempt that delivered nothing is followed by one that starts at
      // the same position.
      const Json *Route = nullptr;
      for (const Json &Each : Routes)
        if (Each.at("position") <= Position)
          Route = &Each;
      CHECK(Route != nullptr);
      std::vector<EngineRun> Runs =
          m_Runs[{Request, Route->at("epoch"), Position}];
      std::sort(Runs.begin(), Runs.end(),
                [](const EngineRun &Left, const EngineRun &Right) {
                  return Left.m_Begin < Right.m_Begin;
                });
      const Json &Stages = Route->at("stages");
      LONGS_EQUAL(Stages.size(), Runs.size());
      std::uint32_t NextLayer = 0;
      for (std::size_t Index = 0; Index < Runs.size(); ++Index) {
        const Json &Stage = Stages[Index];
        CHECK_EQUAL(Stage.at("endpoint").get<std::string>(),
                    Runs[Index].m_Endpoint);
        LONGS_EQUAL(NextLayer, Stage.at("first_layer").get<std::uint32_t>());
        NextLayer = Stage.at("end_layer");
        CHECK(Index == 0 || Runs[Index - 1].m_End <= Runs[Index].m_Begin);
      }
      LONGS_EQUAL(Layers, NextLayer);
    }
  }

  /// Checks that the router's audit records show the quarantine of the engine
  /// with its reason and request, and no later route over the engine.
  void checkQuarantine(const std::string &Router, const std::string &Engine) {
    bool IsQuarantined = false;
    std::string Request;
    bool HasEnded = false;
    for (const Json &Record : auditRecords(Router)) {
      std::string Kind = Record.at("kind");
      if (Kind == "endpoint" && Record.value("reason", "") == "wrong-hop") {
        CHECK_EQUAL(Engine, Record.at("endpoint").get<std::string>());
        CHECK_EQUAL(std::string("quarantined"),
                    Record.at("state").get<std::string>());
        IsQuarantined = true;
        Request = Record.at("request");
      }
      if (Kind == "attempt-end" && Record.value("reason", "") == "wrong-hop")
        HasEnded |= Record.at("request") == Request;
      if (Kind == "route" && Record.contains("stages") && IsQuarantined)
        CHECK(Record.at("stages").dump().find(Engine) == std::string::npos);
    }
    CHECK(IsQuarantined);
    CHECK(HasEnded);
  }

  void checkFault(const std::string &Engine, const std::string &Kind) {
    start(Engine, Kind);
    std::vector<std::string> Requests;
    auto Rejected = [&](const std::string &Router) {
      return m_Cluster->metric(Router, "tokens_rejected_hops_total") >= 1;
    };
    CHECK(eventually([&] {
      CompletionBatch Batch(*m_Cluster, Callers, Tokens);
      STRCMP_EQUAL("", Batch.problems().c_str());
      for (const std::string &Request : Batch.requests())
        Requests.push_back(Request);
      return Rejected("vm-0") && Rejected("vm-1");
    }));
    readRuns();
    std::map<std::string, std::vector<Json>> Routes;
    for (const std::string &Router : m_Cluster->routerNames()) {
      checkQuarantine(Router, Engine);
      for (const Json &Record : auditRecords(Router))
        if (Record.at("kind") == "route" && Record.contains("stages"))
          Routes[Record.at("request")].push_back(Record);
    }
    for (const std::string &Request : Requests)
      checkDelivered(Request, Routes[Request]);
  }
};

// Guards against delivering tokens that skipped a range of layers.
TEST(LayerOrder, SkippedRange) {
  checkFault("engine-a1", "skip");
  checkFault("engine-b0", "skip");
}

// Guards against delivering tokens that passed a range of layers twice.
TEST(LayerOrder, RepeatedRange) {
  checkFault("engine-a2", "repeat");
  checkFault("engine-b0", "repeat");
}

// Guards against delivering tokens that passed the layers in the wrong order.
TEST(LayerOrder, ReorderedRange) {
  checkFault("engine-a0", "reorder");
  checkFault("engine-b1", "reorder");
}

PARSLEYRING_TEST_MAIN
