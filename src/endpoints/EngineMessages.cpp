#include "endpoints/EngineMessages.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::json;

std::string engineCallJson(const EngineCall &Call) {
  const auto &Completion =
      std::get<CompletionPayload>(Call.m_Payload->m_Content);
  Json Stages = Json::array();
  for (const Stage &RouteStage : Call.m_Route)
    Stages.push_back({{"endpoint", RouteStage.m_Hop.m_Endpoint},
                      {"address", RouteStage.m_Address},
                      {"first_layer", RouteStage.m_Hop.m_Layers.m_First},
                      {"end_layer", RouteStage.m_Hop.m_Layers.m_End}});
  Json Body = Json::parse(Completion.m_ExtraJson);
  Body["model"] = Completion.m_Model;
  Body["prompt"] = Completion.m_Prompt;
  Body["max_tokens"] = Completion.m_MaxTokens;
  Body["stream"] = true;
  Body["priority"] = Completion.m_Priority;
  Body["pipeline"] = {{"request", Call.m_Payload->m_RequestId},
                      {"epoch", Call.m_Epoch},
                      {"stages", std::move(Stages)},
                      {"delivered", Call.m_Delivered},
                      {"position", Call.m_Delivered.size()}};
  return Body.dump();
}

static EndpointError parseErrorObject(const Json &Error) {
  return {Error.value("code", ""), Error.value("outcome", ""),
          Error.value("endpoint", ""), Error.value("message", ""),
          Error.value("reason", "")};
}

std::optional<EndpointError> parseEndpointError(const std::string &Text) {
  Json Body = Json::parse(Text, nullptr, false);
  if (!Body.is_object() || !Body.contains("error") ||
      !Body["error"].is_object())
    return std::nullopt;
  try {
    return parseErrorObject(Body["error"]);
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

static std::vector<Hop> parseHops(const Json &List) {
  std::vector<Hop> Hops;
  for (const Json &Entry : List)
    Hops.push_back({Entry.at("endpoint").get<std::string>(),
                    {Entry.at("first_layer").get<std::uint32_t>(),
                     Entry.at("end_layer").get<std::uint32_t>()}});
  return Hops;
}

EngineEvent parseEngineEvent(const std::string &Data) {
  EngineEvent Result;
  if (Data == "[DONE]") {
    Result.m_IsDoneEvent = true;
    return Result;
  }
  try {
    Json Body = Json::parse(Data);
    if (auto Error = Body.find("error"); Error != Body.end()) {
      Result.m_Error = parseErrorObject(*Error);
      return Result;
    }
    const Json &Choice = Body.at("choices").at(0);
    Result.m_Text = Choice.value("text", "");
    if (auto Reason = Choice.find("finish_reason");
        Reason != Choice.end() && !Reason->is_null())
      Result.m_FinishReason = Reason->get<std::string>();
    // An event that carries only the finish reason has no position.
    Result.m_HasToken = Body.contains("position");
    if (Result.m_HasToken) {
      Result.m_Position = Body.at("position").get<std::uint32_t>();
      Result.m_Hops = parseHops(Body.at("hops"));
    }
    return Result;
  } catch (const Json::exception &Error) {
    throw MessageError(std::string("event of the engine: ") + Error.what());
  }
}

LoadReported parseLoadReport(const std::string &Text) {
  try {
    Json Body = Json::parse(Text);
    LoadReported Result;
    Result.m_Endpoint = Body.at("endpoint").get<std::string>();
    Result.m_Incarnation = Body.at("incarnation").get<std::string>();
    Result.m_ReportedAt =
        Time(std::chrono::milliseconds(Body.at("at_ms").get<std::int64_t>()));
    Result.m_Running = Body.at("running").get<std::uint32_t>();
    Result.m_Waiting = Body.at("waiting").get<std::uint32_t>();
    Result.m_IsDraining = Body.value("draining", false);
    Result.m_CachedPrefixes =
        Body.value("cached_prefixes", std::vector<std::uint64_t>());
    return Result;
  } catch (const Json::exception &Error) {
    throw MessageError(std::string("load report: ") + Error.what());
  }
}

} // namespace parsleyring
