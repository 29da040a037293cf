#include "emulator/EngineEmulator.h"

#include "core/NameTable.h"
#include "emulator/TokenText.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace parsleyring {

using Json = nlohmann::json;

static constexpr NameTable<HopFault, 4> HopFaultNames{
    {"none", "skip", "repeat", "reorder"}};

std::optional<HopFault> hopFaultFromName(std::string_view Name) {
  return HopFaultNames.value(Name);
}

static Json toJson(const std::vector<Hop> &Hops) {
  Json Out = Json::array();
  for (const Hop &Passed : Hops)
    Out.push_back({{"endpoint", Passed.m_Endpoint},
                   {"first_layer", Passed.m_Layers.m_First},
                   {"end_layer", Passed.m_Layers.m_End}});
  return Out;
}

static Hop toHop(const Json &In) {
  return {In.at("endpoint"), {In.at("first_layer"), In.at("end_layer")}};
}

static std::vector<Hop> toHops(const Json &In) {
  std::vector<Hop> Hops;
  for (const Json &Passed : In)
    Hops.push_back(toHop(Passed));
  return Hops;
}

static std::int64_t nowMillis(EngineBatch::Clock::time_point At) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             At.time_since_epoch())
      .count();
}

static Json errorJson(const std::string &Code, const std::string &Outcome,
                      const std::string &Endpoint, const std::string &Message) {
  return {{"error",
           {{"code", Code},
            {"outcome", Outcome},
            {"endpoint", Endpoint},
            {"message", Message}}}};
}

/// Whether a failed call to the next stage ran into a timeout: a refused or
/// closed connection fails at once. After a timeout any of the later stages may
/// be the silent one, so the error names no endpoint.
static bool isTimeout(EngineBatch::Clock::time_point SentAt) {
  static constexpr std::chrono::milliseconds MinTimeout{500};
  return EngineBatch::Clock::now() - SentAt >= MinTimeout;
}

/// A request as one of its stages sees it.
struct EngineEmulator::StageRequest {
  std::string m_RequestId;
  std::string m_AttemptKey; ///< Unique for each attempt of a request.
  std::uint32_t m_Epoch = 0;
  int m_Priority = 0;
  std::uint64_t m_Seed = 0;
  std::vector<std::uint64_t> m_Prefixes; ///< Used only for the first token.
  bool m_IsPrefilled = false;
  Json m_Stages; ///< This stage first, then the later ones.
  std::uint32_t m_Position = 0;
  std::uint32_t m_MaxTokens = 0;
  /// Later stage that gave no token; empty if it is not known which one.
  std::string m_FailedEndpoint;

  bool hasNext() const { return m_Stages.size() > 1; }
  std::string nextAddress() const { return m_Stages[1].at("address"); }
  std::string nextEndpoint() const { return m_Stages[1].at("endpoint"); }

  /// Body of POST /v1/forward to the next stage.
  Json forwardBody(const char *Operation) const {
    Json Body = {{"operation", Operation}, {"request", m_RequestId},
                 {"key", m_AttemptKey},    {"epoch", m_Epoch},
                 {"priority", m_Priority}, {"stages", m_Stages}};
    Body["stages"].erase(0);
    return Body;
  }
};

struct EngineEmulator::TokenResult {
  std::string m_Text;
  std::vector<Hop> m_Hops;
};

EngineEmulator::EngineEmulator(const EngineOptions &Options)
    : m_Options(Options),
      m_Incarnation(std::to_string(nowMillis(EngineBatch::Clock::now())) + "-" +
                    std::to_string(getpid())),
      m_OwnHop{Options.m_Endpoint, Options.m_Layers},
      m_Batch(Options.m_Slots,
              std::chrono::milliseconds(Options.m_ReportLagMillis)),
      m_PrefixCache(Options.m_CacheEntries),
      m_Server([this](const EmulatorCall &Call, HttpReply &Reply) {
        respond(Call, Reply);
      }) {}

EngineEmulator::~EngineEmulator() = default;

void EngineEmulator::run() {
  m_Server.bind(m_Options.m_Listen);
  m_Server.run();
}

void EngineEmulator::respond(const EmulatorCall &Call, HttpReply &Reply) try {
  std::string Name = Call.m_Method + " " + Call.m_Path;
  if (Name == "POST /v1/completions")
    return respondCompletion(Call, Reply);
  if (Name == "POST /v1/forward")
    return respondForward(Call, Reply);
  if (Name == "GET /load")
    return respondLoad(Reply);
  if (Name == "POST /admin/order")
    return respondOrder(Call, Reply);
  if (Name == "GET /admin/counts") {
    Reply.m_Body =
        m_Counts.json(std::to_string(m_Options.m_Layers.m_First) + "-" +
                          std::to_string(m_Options.m_Layers.m_End),
                      Call.query("request"), m_DrainState.lastStartMillis());
    return;
  }
  if (Name == "POST /admin/drain") {
    m_DrainState.drain(Call.m_Body);
    m_Batch.setReportedDraining(m_DrainState.isDrainReported());
  } else if (Name == "POST /admin/freeze")
    m_Server.freezeConnections();
  else
    Reply.m_Status = 404;
} catch (const Json::exception &Error) {
  Reply.m_Status = 400;
  Reply.m_Body =
      errorJson("malformed", "not-run", m_Options.m_Endpoint, Error.what())
          .dump();
}

void EngineEmulator::respondLoad(HttpReply &Reply) {
  EngineBatch::Load Load = m_Batch.reportedLoad();
  Reply.m_Body = Json{{"endpoint", m_Options.m_Endpoint},
                      {"incarnation", m_Incarnation},
                      {"at_ms", nowMillis(Load.m_At)},
                      {"running", Load.m_Running},
                      {"waiting", Load.m_Waiting},
                      {"slots", m_Options.m_Slots},
                      {"draining", Load.m_IsDraining},
                      {"cached_prefixes", m_PrefixCache.contents()}}
                     .dump();
}

void EngineEmulator::respondOrder(const EmulatorCall &Call, HttpReply &Reply) {
  std::uint64_t Token = Json::parse(Call.m_Body).at("fencing_token");
  std::lock_guard<std::mutex> Lock(m_OrderMutex);
  if (Token < m_FencingToken && !m_Options.m_IgnoresFencing)
    return refuse(Reply, 409, "fenced", "a newer fencing token is known");
  m_FencingToken = Token;
  Reply.m_Body = Json{{"fencing_token", Token}}.dump();
}

void EngineEmulator::refuse(HttpReply &Reply, int Status,
                            const std::string &Code,
                            const std::string &Message) {
  m_Counts.recordRefusal();
  Reply.m_Status = Status;
  Reply.m_Body =
      errorJson(Code, "not-run", m_Options.m_Endpoint, Message).dump();
}

void EngineEmulator::respondCompletion(const EmulatorCall &Call,
                                       HttpReply &Reply) {
  Json Body = Json::parse(Call.m_Body);
  const Json &Pipeline = Body.at("pipeline");
  auto Request = std::make_unique<StageRequest>();
  std::string Prompt = Body.at("prompt");
  Request->m_RequestId = Pipeline.at("request");
  Request->m_AttemptKey = Request->m_RequestId + "#" + m_Options.m_Endpoint +
                          "#" + std::to_string(m_NextAttemptNumber++);
  Request->m_Epoch = Pipeline.value("epoch", 0);
  Request->m_Priority = Body.value("priority", 0);
  Request->m_Seed = promptSeed(Prompt);
  Request->m_Stages = Pipeline.at("stages");
  Request->m_Position = Pipeline.value("position", 0);
  Request->m_MaxTokens = Body.at("max_tokens");
  for (const std::string Text : Pipeline.value("delivered", Json::array()))
    Prompt += Text;
  Request->m_Prefixes = prefixHashes(Prompt);
  if (!openStages(*Request, Reply))
    return;
  m_Counts.recordStart(Request->m_RequestId);
  // The deleter closes the stages when the last copy of m_WriteBody is
  // destroyed, also if the connection breaks before the stream begins.
  std::shared_ptr<StageRequest> OpenRequest(Request.release(),
                                            [this](StageRequest *Ended) {
                                              closeStages(*Ended);
                                              delete Ended;
                                            });
  Reply.m_ContentType = "text/event-stream";
  Reply.m_WriteBody = [this, OpenRequest](HttpBodyWriter &Out) {
    bool IsComplete = streamTokens(*OpenRequest, Out);
    if (!IsComplete)
      m_Counts.recordCancel();
    return IsComplete;
  };
}

bool EngineEmulator::openStages(const StageRequest &Request, HttpReply &Reply) {
  if (m_DrainState.takeRefusal()) {
    refuse(Reply, 503, "draining", "the engine is leaving");
    return false;
  }
  if (Request.m_Stages.empty() || !(toHop(Request.m_Stages[0]) == m_OwnHop)) {
    refuse(Reply, 503, "wrong-stage", "the engine holds other layers");
    return false;
  }
  m_Batch.removeAbandoned();
  if (!m_Batch.addRequest(Request.m_AttemptKey, Request.m_Priority)) {
    refuse(Reply, 429, "overloaded", "too many requests wait");
    return false;
  }
  m_DrainState.recordStart();
  if (!Request.hasNext())
    return true;
  auto SentAt = EngineBatch::Clock::now();
  auto Answer = m_Clients.post(Request.nextAddress(), "/v1/forward",
                               Request.forwardBody("open").dump());
  if (Answer && Answer->m_Status == 200)
    return true;
  bool IsTimedOut = isTimeout(SentAt);
  m_Batch.removeRequest(Request.m_AttemptKey);
  refuse(Reply, 503, "overloaded", "a later stage refused");
  Json Error = Answer
                   ? Json::parse(Answer->m_Body)
                   : errorJson(IsTimedOut ? "silent" : "unreachable", "not-run",
                               IsTimedOut ? "" : Request.nextEndpoint(),
                               "a later stage cannot be reached");
  // With the later stage's code "draining", the router would take this stage
  // for the one that is leaving.
  Error["error"]["reason"] =
      Error["error"].value("reason", Error["error"]["code"]);
  Error["error"]["code"] = "overloaded";
  Reply.m_Body = Error.dump();
  return false;
}

void EngineEmulator::closeStages(const StageRequest &Request) {
  m_Batch.removeRequest(Request.m_AttemptKey);
  if (Request.hasNext())
    m_Clients.post(Request.nextAddress(), "/v1/forward",
                   Request.forwardBody("close").dump());
}

bool EngineEmulator::streamTokens(StageRequest &Request, HttpBodyWriter &Out) {
  if (!m_Batch.waitForSlot(Request.m_AttemptKey, [&] { return Out.isOpen(); }))
    return false;
  // An earlier attempt delivered all tokens; only finish_reason is missing.
  if (Request.m_Position >= Request.m_MaxTokens)
    Out.write("data: {\"choices\":[{\"index\":0,\"text\":\"\","
              "\"finish_reason\":\"length\"}]}\n\n");
  for (std::uint32_t Position = Request.m_Position;
       Position < Request.m_MaxTokens; ++Position) {
    if (!Out.isOpen())
      return false;
    auto Token = computeToken(Request, Position, {});
    if (!Token) {
      Json Error = errorJson("stage-failed", "failed", Request.m_FailedEndpoint,
                             "a later stage did not answer");
      Out.write("data: " + Error.dump() + "\n\n");
      return false;
    }
    bool IsLast = Position + 1 == Request.m_MaxTokens;
    Json Choice = {{"index", 0},
                   {"text", Token->m_Text},
                   {"finish_reason", IsLast ? Json("length") : Json()}};
    Json Event = {{"choices", Json::array({Choice})},
                  {"position", Position},
                  {"hops", toJson(Token->m_Hops)}};
    if (!Out.write("data: " + Event.dump() + "\n\n"))
      return false;
  }
  return Out.write("data: [DONE]\n\n");
}

void EngineEmulator::computeLayers(StageRequest &Request,
                                   std::uint32_t Position) {
  // A prefill step takes as long as one token, because the positions of its
  // prefix are computed in parallel.
  std::size_t Steps = 1;
  if (!Request.m_IsPrefilled)
    Steps =
        std::max<std::size_t>(1, m_PrefixCache.insertAll(Request.m_Prefixes));
  EngineCounts::Computation Computed{
      Request.m_Epoch, EngineCounts::Clock::now(), {}};
  m_Batch.compute(Request.m_AttemptKey,
                  Steps * std::chrono::microseconds(m_Options.m_TokenMicros));
  Computed.m_End = EngineCounts::Clock::now();
  m_Counts.recordToken(Request.m_RequestId, Position, Computed);
}

std::optional<EngineEmulator::TokenResult>
EngineEmulator::computeToken(StageRequest &Request, std::uint32_t Position,
                             std::vector<Hop> Hops) {
  HopFault Fault = Position >= m_Options.m_FirstFaultyPosition
                       ? m_Options.m_HopFault
                       : HopFault::None;
  bool RunsAfterNext = Fault == HopFault::Reorder && Request.hasNext();
  int Repetitions = Fault == HopFault::Skip || RunsAfterNext ? 0
                    : Fault == HopFault::Repeat              ? 2
                                                             : 1;
  for (int Repetition = 0; Repetition < Repetitions; ++Repetition) {
    computeLayers(Request, Position);
    Hops.insert(Fault == HopFault::Reorder ? Hops.begin() : Hops.end(),
                m_OwnHop);
  }
  // Wrong hops also produce a wrong token text.
  std::uint64_t Seed = Request.m_Seed + (Fault == HopFault::None ? 0 : 1);
  bool IsPrefill = !Request.m_IsPrefilled;
  Request.m_IsPrefilled = true;
  if (!Request.hasNext())
    return TokenResult{tokenText(Seed, Position), std::move(Hops)};
  Json Body = Request.forwardBody("token");
  Body["position"] = Position;
  Body["seed"] = Seed;
  Body["hops"] = toJson(Hops);
  if (IsPrefill)
    Body["prefixes"] = Request.m_Prefixes;
  auto SentAt = EngineBatch::Clock::now();
  auto Answer =
      m_Clients.post(Request.nextAddress(), "/v1/forward", Body.dump());
  if (!Answer || Answer->m_Status != 200) {
    if (Answer)
      Request.m_FailedEndpoint =
          Json::parse(Answer->m_Body).at("error").at("endpoint");
    else if (!isTimeout(SentAt))
      Request.m_FailedEndpoint = Request.nextEndpoint();
    return std::nullopt;
  }
  Json Result = Json::parse(Answer->m_Body);
  Hops = toHops(Result.at("hops"));
  if (RunsAfterNext) {
    computeLayers(Request, Position);
    Hops.push_back(m_OwnHop);
  }
  return TokenResult{Result.at("text"), std::move(Hops)};
}

void EngineEmulator::respondForward(const EmulatorCall &Call,
                                    HttpReply &Reply) {
  Json Body = Json::parse(Call.m_Body);
  StageRequest Request;
  Request.m_RequestId = Body.at("request");
  Request.m_AttemptKey = Body.at("key");
  Request.m_Epoch = Body.at("epoch");
  Request.m_Priority = Body.at("priority");
  Request.m_Stages = Body.at("stages");
  std::string Operation = Body.at("operation");
  if (Operation == "open") {
    openStages(Request, Reply);
    return;
  }
  if (Operation == "close")
    return closeStages(Request);
  Request.m_Seed = Body.at("seed");
  Request.m_IsPrefilled = !Body.contains("prefixes");
  if (!Request.m_IsPrefilled)
    Request.m_Prefixes = Body.at("prefixes").get<std::vector<std::uint64_t>>();
  auto Token =
      computeToken(Request, Body.at("position"), toHops(Body.at("hops")));
  if (!Token) {
    Reply.m_Status = 502;
    Reply.m_Body = errorJson("stage-failed", "failed", Request.m_FailedEndpoint,
                             "a later stage did not answer")
                       .dump();
    return;
  }
  Reply.m_Body =
      Json{{"text", Token->m_Text}, {"hops", toJson(Token->m_Hops)}}.dump();
}

} // namespace parsleyring
